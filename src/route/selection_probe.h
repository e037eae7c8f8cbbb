/// Probes the best candidates right before a target is chosen for a call.
///
/// A report carried on an earlier answer is stale by the time of the next call, and a non-idempotent call cannot be
/// retried. So the best candidates are probed in parallel with a short timeout, and their reports are applied before
/// one is chosen. No side effects except through the hooks.
///
/// Usage: `selectionProbe.probe(request); auto permit = balancer.acquire(request);`
#pragma once

#include "base/clock.h"
#include "route/balancer.h"

#include <functional>
#include <span>
#include <vector>

namespace damask {

struct SelectionProbeOptions {
    size_t   probesPerRound = 2;                      // targets probed in parallel; 0: probing is off
    size_t   rounds = 2;                              // at most; another round if all probed targets are slow or full
    Duration timeout = std::chrono::milliseconds(40); // for the answers of one round
    Duration maxReportAge = std::chrono::milliseconds(30); // a younger report needs no probe
    double   minTimeShareLeft = 0.25;                      // share of the call's time required for another round
};

/// Access to the load table and the transport of probes.
struct SelectionProbeHooks {
    std::function<std::vector<TargetCandidate>(const AcquireRequest &request, size_t limit)> bestCandidates;
    std::function<std::vector<LoadUpdate>(std::span<const TargetCandidate> candidates, Duration timeout)> ask; // blocks
    std::function<void(std::span<const LoadUpdate> updates)>                                              updateLoad;
};

/// Thread-safe.
class SelectionProbe
{
public:
    SelectionProbe(Clock &clock, const SelectionProbeOptions &options, SelectionProbeHooks hooks);

    size_t probe(const AcquireRequest &request); // returns how many targets were probed

private:
    std::vector<TargetCandidate> candidatesToProbe(const AcquireRequest &request) const;

    Clock                &m_clock;
    SelectionProbeOptions m_options;
    SelectionProbeHooks   m_hooks;
};

} // namespace damask
