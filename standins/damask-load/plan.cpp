#include "damask-load/plan.h"

#include "base/check.h"
#include "settings/settings.h"

#include <algorithm>
#include <cmath>

namespace damask::standin {

namespace {

constexpr double BurstShare = 0.1; // of each period
constexpr size_t MinWords = 4;     // method, host, path, weight

} // namespace

Plan::Plan(PlanOptions options)
    : m_options(std::move(options))
    , m_random(seededRandom(m_options.seed))
{
    DAMASK_ASSERT(!m_options.kinds.empty(), "configure at least one kind of call");
    for (const CallKind &it : m_options.kinds) {
        m_totalWeight += it.weight;
    }
}

PlannedCall Plan::next()
{
    const double gap = -std::log(1 - randomUnit(m_random)) / rateNow();
    m_at += fromMilliseconds(gap * 1e3);
    double left = randomUnit(m_random) * m_totalWeight;
    size_t kind = 0;
    while (kind + 1 < m_options.kinds.size() && left >= m_options.kinds[kind].weight) {
        left -= m_options.kinds[kind].weight;
        ++kind;
    }
    return {m_at, kind, ++m_number};
}

double Plan::rateNow() const
{
    if (m_options.burstPeriod <= Duration::zero()) {
        return m_options.callsPerSecond;
    }
    const double phase =
        std::fmod(toSeconds(m_at), toSeconds(m_options.burstPeriod)) / toSeconds(m_options.burstPeriod);
    const double offPeakFactor = (1 - BurstShare * m_options.burstFactor) / (1 - BurstShare);
    return m_options.callsPerSecond * (phase < BurstShare ? m_options.burstFactor : std::max(offPeakFactor, 0.01));
}

Result<CallKind> parseCallKind(std::string_view text)
{
    const std::vector<std::string> words = parseList(text);
    if (words.size() < MinWords) {
        return fail(Code::BadSettings,
                    "a call must be METHOD HOST PATH WEIGHT, optionally followed by chain=N and body=N");
    }
    CallKind kind;
    kind.method = words[0];
    kind.host = words[1] == "-" ? "" : words[1];
    kind.path = words[2];
    const auto weight = parseFraction(words[3]);
    if (!weight || *weight <= 0) {
        return fail(Code::BadSettings, "the weight of a call must be a number above 0");
    }
    kind.weight = *weight;
    for (size_t n = MinWords; n < words.size(); ++n) {
        const size_t equals = words[n].find('=');
        const auto number = parseNumber(equals == std::string::npos ? "" : words[n].substr(equals + 1));
        if (!number || *number < 0) {
            return fail(Code::BadSettings, "expected chain=N or body=N, got " + words[n]);
        }
        if (words[n].starts_with("chain=")) {
            kind.chain = static_cast<int>(*number);
        } else if (words[n].starts_with("body=")) {
            kind.bodyBytes = static_cast<size_t>(*number);
        } else {
            return fail(Code::BadSettings, "expected chain=N or body=N, got " + words[n]);
        }
    }
    return kind;
}

} // namespace damask::standin
