#include "route/selection_probe.h"

#include <algorithm>
#include <utility>

namespace damask {

SelectionProbe::SelectionProbe(Clock &clock, const SelectionProbeOptions &options, SelectionProbeHooks hooks)
    : m_clock(clock)
    , m_options(options)
    , m_hooks(std::move(hooks))
{
}

size_t SelectionProbe::probe(const AcquireRequest &request)
{
    const TimePoint began = m_clock.now();
    size_t asked = 0;
    for (size_t round = 0; round < m_options.rounds && m_options.probesPerRound > 0; ++round) {
        const std::vector<TargetCandidate> candidates = candidatesToProbe(request);
        if (candidates.empty() || (request.cancel != nullptr && request.cancel->cancelled())) {
            break;
        }
        const TimePoint now = m_clock.now();
        if (request.deadline != Never
            && request.deadline - now < (request.deadline - began) * m_options.minTimeShareLeft) {
            break;
        }
        const Duration timeout =
            request.deadline == Never ? m_options.timeout : std::min(m_options.timeout, request.deadline - now);
        const std::vector<LoadUpdate> updates = m_hooks.ask(candidates, timeout);
        m_hooks.updateLoad(updates);
        asked += candidates.size();
    }
    return asked;
}

/// Returns no targets if a fresh report shows the best candidate to be available. Otherwise returns the best candidates
/// without a fresh report, and a half-open target and one of another data centre if they are listed.
std::vector<TargetCandidate> SelectionProbe::candidatesToProbe(const AcquireRequest &request) const
{
    const std::vector<TargetCandidate> all =
        m_hooks.bestCandidates(request, m_options.probesPerRound * m_options.rounds);
    if (all.empty()
        || (!all.front().halfOpen && all.front().available && all.front().reportAge <= m_options.maxReportAge)) {
        return {};
    }
    std::vector<TargetCandidate> out;
    for (const TargetCandidate &it : all) {
        if (it.halfOpen || it.spillover
            || (it.reportAge > m_options.maxReportAge && out.size() < m_options.probesPerRound)) {
            out.push_back(it);
        }
    }
    return out;
}

} // namespace damask
