#include "measure/prober.h"

#include <algorithm>

namespace damask {

namespace {

constexpr Duration NeverReportedAge = std::chrono::seconds(10);   // age of a target without a report; caps all ages
constexpr Duration HalfValueDelay = std::chrono::milliseconds(4); // round trip at which the value of a probe is halved

/// The value of a probe: the age of the last report, discounted by distance, since few calls go to distant targets.
double valueOf(const ProbeCandidate &candidate)
{
    const Duration age = std::min(candidate.reportAge, NeverReportedAge);
    return toSeconds(age) / (1 + toSeconds(candidate.linkDelay) / toSeconds(HalfValueDelay));
}

} // namespace

Prober::Prober(const ProberOptions &options, ProberHooks hooks, TimePoint now)
    : m_options(options)
    , m_hooks(std::move(hooks))
    , m_budget(options.service, now)
{
}

size_t Prober::run(std::span<const ProbeCandidate> candidates, TimePoint now)
{
    size_t sent = 0;
    while (sent < candidates.size() && m_budget.allows(m_options.probeBytes, now)) {
        const ProbeCandidate *candidate = best(candidates, now);
        if (candidate == nullptr) {
            break;
        }
        m_probedAt.insert_or_assign(std::string(candidate->target), now);
        if (spend(*candidate, now)) {
            m_hooks.send(candidate->target);
            ++sent;
        }
    }
    return sent;
}

double Prober::bytes() const
{
    return m_budget.bytes();
}

uint64_t Prober::probes() const
{
    return m_budget.probes();
}

double Prober::overBudget(TimePoint now) const
{
    double over = m_budget.overBudget(now);
    for (const auto &[region, budget] : m_regionBudgets) {
        over = std::max(over, budget.overBudget(now));
    }
    return over;
}

const ProbeCandidate *Prober::best(std::span<const ProbeCandidate> candidates, TimePoint now) const
{
    const ProbeCandidate *found = nullptr;
    for (const ProbeCandidate &it : candidates) {
        if (isWorthProbing(it, now) && (found == nullptr || valueOf(it) > valueOf(*found))) {
            found = &it;
        }
    }
    return found;
}

bool Prober::isWorthProbing(const ProbeCandidate &candidate, TimePoint now) const
{
    if (candidate.reportAge < m_options.worthAfter) {
        return false;
    }
    if (candidate.inFlight > 0 && candidate.oldestCall < m_options.worthAfter) {
        return false; // the pending answer will carry a report
    }
    const auto it = m_probedAt.find(candidate.target);
    return it == m_probedAt.end() || now - it->second >= m_options.minProbeInterval;
}

ProbeBudget *Prober::pairBudget(std::string_view region, TimePoint now)
{
    if (region == m_options.region) {
        return nullptr;
    }
    const auto it = m_regionBudgets.find(region);
    if (it != m_regionBudgets.end()) {
        return &it->second;
    }
    return &m_regionBudgets.emplace(std::string(region), ProbeBudget(m_options.regionPair, now)).first->second;
}

bool Prober::spend(const ProbeCandidate &candidate, TimePoint now)
{
    ProbeBudget *pair = pairBudget(candidate.region, now);
    if (pair != nullptr) {
        if (!pair->allows(m_options.probeBytes, now)) {
            return false;
        }
        pair->spend(m_options.probeBytes, now);
    }
    m_budget.spend(m_options.probeBytes, now);
    return true;
}

} // namespace damask
