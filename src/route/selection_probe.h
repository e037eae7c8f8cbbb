/// Asking the targets that look best how they are, right before a call is sent.
///
/// A report that came with an earlier answer is stale by the time of the next call, and a call that may run once only
/// has no second chance. So the likeliest targets are asked together, for a moment, and what they say is absorbed
/// before one is chosen. Pure but for its hooks.
///
/// Use: `look.probe(request); auto permit = balancer.acquire(request);`
#pragma once

#include "base/clock.h"
#include "route/balancer.h"

#include <functional>
#include <span>
#include <vector>

namespace damask {

struct SelectionProbeOptions {
    size_t   probesPerRound = 2; // targets asked together; 0: none is ever asked
    size_t   rounds = 2;         // times that others are asked when all of those asked are slow or full
    Duration timeout = std::chrono::milliseconds(40);      // for their answers, each time
    Duration maxReportAge = std::chrono::milliseconds(30); // age of a report that needs no asking
    double   minTimeShareLeft = 0.25;                      // of the call's time that must be left for another round
};

/// What varies: what is known, and how targets are asked.
struct SelectionProbeHooks {
    std::function<std::vector<TargetCandidate>(const AcquireRequest &request, size_t most)> bestCandidates;
    std::function<std::vector<LoadUpdate>(std::span<const TargetCandidate> candidates, Duration timeout)> ask; // blocks
    std::function<void(std::span<const LoadUpdate> updates)>                                              updateLoad;
};

/// Safe from all threads.
class SelectionProbe
{
public:
    SelectionProbe(Clock &clock, const SelectionProbeOptions &options, SelectionProbeHooks hooks);

    size_t probe(const AcquireRequest &request); // targets asked

private:
    std::vector<TargetCandidate> candidatesToProbe(const AcquireRequest &request) const;

    Clock                &m_clock;
    SelectionProbeOptions m_options;
    SelectionProbeHooks   m_hooks;
};

} // namespace damask
