/// Decides which targets of a service to probe now, within hard budgets.
///
/// Use: `prober.run(candidates, now)` on a timer; it calls the send hook for each probe.
///
/// Pure: the caller passes the time and holds any lock. A target whose state regular calls already show is not probed.
#pragma once

#include "measure/probe_budget.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace damask {

/// The known state of one target before a probe.
struct ProbeCandidate {
    std::string_view target;                      // "pool/target"
    std::string_view region;                      // of the target
    Duration         linkDelay{0};                // round trip
    Duration         reportAge = Duration::max(); // since its last report; max(): none yet
    int              inFlight = 0;                // own calls to it, whose answers carry reports
    Duration         oldestCall{0};               // age of the oldest call in flight
};

struct ProberOptions {
    std::string        region;                                           // of this entry
    ProbeBudgetOptions service;                                          // budget of this service
    ProbeBudgetOptions regionPair{2048, 10};                             // budget for each other region
    double             probeBytes = 256;                                 // of one probe, request and answer together
    Duration           worthAfter = std::chrono::milliseconds(20);       // a younger report makes a probe needless
    Duration           minProbeInterval = std::chrono::milliseconds(50); // between two probes of one target
};

struct ProberHooks {
    std::function<void(std::string_view target)> send; // sends a probe without blocking
};

class Prober
{
public:
    Prober(const ProberOptions &options, ProberHooks hooks, TimePoint now);

    size_t   run(std::span<const ProbeCandidate> candidates, TimePoint now); // returns the number of probes sent
    double   bytes() const;                                                  // spent so far
    uint64_t probes() const;                                                 // spent so far
    double   overBudget(TimePoint now) const;                                // bytes spent minus allowed; at most 0

private:
    const ProbeCandidate *best(std::span<const ProbeCandidate> candidates, TimePoint now) const;
    bool                  isWorthProbing(const ProbeCandidate &candidate, TimePoint now) const;
    ProbeBudget          *pairBudget(std::string_view region, TimePoint now);
    bool                  spend(const ProbeCandidate &candidate, TimePoint now);

    ProberOptions                                   m_options;
    ProberHooks                                     m_hooks;
    ProbeBudget                                     m_budget;
    std::map<std::string, ProbeBudget, std::less<>> m_regionBudgets;
    std::map<std::string, TimePoint, std::less<>>   m_probedAt;
};

} // namespace damask
