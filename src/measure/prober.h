/// Decides which targets of a service are worth a probe now, within hard budgets.
///
/// Use: `prober.run(candidates, now)` on a timer; it calls the send hook for each probe that it decided on.
/// Pure: the caller passes the time and holds any lock. What our own calls tell anyway is never probed for.
#pragma once

#include "measure/probe_budget.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace damask {

/// What is known of one target before a probe.
struct ProbeCandidate {
    std::string_view target;                      // "pool/target"
    std::string_view region;                      // where it stands
    Duration         linkDelay{0};                // there and back
    Duration         reportAge = Duration::max(); // since its last report; the greatest: never
    int              inFlight = 0;                // our calls there: their answers will tell
    Duration         oldestCall{0};               // age of the oldest of them
};

struct ProberOptions {
    std::string        region;                                     // of this entry
    ProbeBudgetOptions service;                                    // budget of this service
    ProbeBudgetOptions regionPair{2048, 10};                       // budget towards each other region
    double             probeBytes = 256;                           // of one probe, request and answer
    Duration           worthAfter = std::chrono::milliseconds(20); // age of a report from which a probe is worth it
    Duration           minProbeInterval = std::chrono::milliseconds(50); // least time between two probes of one target
};

struct ProberHooks {
    std::function<void(std::string_view target)> send; // starts a probe and returns at once
};

class Prober
{
public:
    Prober(const ProberOptions &options, ProberHooks hooks, TimePoint now);

    size_t   run(std::span<const ProbeCandidate> candidates, TimePoint now); // probes sent
    double   bytes() const;                                                  // spent so far
    uint64_t probes() const;                                                 // spent so far
    double   overBudget(TimePoint now) const;                                // bytes beyond the budget; 0 or below

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
