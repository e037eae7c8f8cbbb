#include "route/answer_times.h"

#include <algorithm>
#include <cmath>

namespace damask {

namespace {

constexpr double FirstBoundMs = 0.1;
constexpr double EarlyShare = 0.9;
constexpr double TypicalShare = 0.5;

size_t bucketOf(Duration time, size_t buckets)
{
    const double ratio = std::max(toMilliseconds(time) / FirstBoundMs, 1.0);
    const double position = std::ceil(std::log(ratio) / std::log(AnswerTimes::BucketRatio));
    return std::min(static_cast<size_t>(position), buckets - 1);
}

} // namespace

void AnswerTimes::add(Duration time)
{
    if (m_count >= MaxAnswers) {
        m_count = 0;
        for (uint32_t &it : m_buckets) {
            it /= 2;
            m_count += it;
        }
    }
    ++m_buckets[bucketOf(time, BucketCount)];
    ++m_count;
}

uint32_t AnswerTimes::count() const
{
    return m_count;
}

Duration AnswerTimes::quantile(double share) const
{
    if (m_count == 0) {
        return Duration(0);
    }
    const double wanted = share * m_count;
    double below = 0;
    size_t n = 0;
    for (; n + 1 < BucketCount; ++n) {
        below += m_buckets[n];
        if (below >= wanted && below > 0) {
            break;
        }
    }
    return fromMilliseconds(FirstBoundMs * std::pow(BucketRatio, static_cast<double>(n)));
}

void RuleAnswerTimes::add(std::string_view rule, Duration time)
{
    LockGuard lock(m_mutex);
    auto it = m_rules.find(rule);
    if (it == m_rules.end()) {
        if (m_rules.size() >= MaxRules) {
            m_rules.erase(std::min_element(m_rules.begin(), m_rules.end(), [](const auto &left, const auto &right) {
                return left.second.usedAt < right.second.usedAt;
            }));
        }
        it = m_rules.emplace(std::string(rule), Entry()).first;
    }
    it->second.times.add(time);
    it->second.usedAt = ++m_sequence;
}

AnswerTimeEstimate RuleAnswerTimes::estimate(std::string_view rule, double lateShare) const
{
    LockGuard lock(m_mutex);
    const auto it = m_rules.find(rule);
    if (it == m_rules.end()) {
        return {};
    }
    const AnswerTimes &times = it->second.times;
    return {.answers = times.count(),
            .typical = times.quantile(TypicalShare),
            .early = times.quantile(EarlyShare),
            .late = times.quantile(1 - lateShare)};
}

size_t RuleAnswerTimes::rules() const
{
    LockGuard lock(m_mutex);
    return m_rules.size();
}

} // namespace damask
