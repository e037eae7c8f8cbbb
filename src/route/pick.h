/// Load balancing policies: each chooses one of the targets that are allowed to take a call.
///
/// A policy is a pure function of its arguments. It does not allocate and takes no lock.
#pragma once

#include "base/random.h"
#include "base/time.h"

#include <cstdint>
#include <functional>
#include <span>
#include <string_view>

namespace damask {

/// The state of one target as a policy sees it.
struct TargetView {
    uint32_t index = 0;          // in the pool
    int      inFlight = 0;       // calls of this instance
    int      slots = 1;          // requests that it runs concurrently
    double   estimate = 0;       // calls in flight from all instances: aged last report plus own calls
    float    reportAge = 1e9F;   // ms since the last report
    float    oldestCall = 0;     // ms, age of the oldest call of this instance
    float    typicalTime = 1;    // ms, smoothed answer time
    float    linkDelay = 0;      // ms, round trip
    float    slowStartShare = 1; // 0 to 1: usable share of its slots during slow start
    float    failureShare = 0;   // 0 to 1: share of its recent answers that failed
    int      reported = -1;      // calls in flight in the last report, not aged; -1: never
    float    limit = 1;          // calls in flight from all instances at which it is full
    float    fleetTime = 1;      // ms, smoothed over all targets of the service
    float    slowdown = 1;       // estimated service time relative to normal
    float    penalty = 1;        // factor on the expected time: raised if unresponsive or unhealthy
    int      trueInFlight = -1;  // for the oracle in benchmarks only; -1: not known
    float    trueSpeed = 1;      // for the oracle in benchmarks only
};

/// The context of one choice.
struct PickContext {
    const RandomSource *random = nullptr;       // never null
    uint64_t            sequence = 0;           // incremented by each choice of the service
    float               waited = 0;             // ms that the call has been queued
    bool                ignoreEstimate = false; // no fresh report is expected: do not queue because of an estimate
};

constexpr int NoPick = -1; // all targets are full: queue or refuse

/// Expected time in ms until the answer to a call sent now. damaskPolicy() picks the target with the lowest.
double expectedCompletion(const TargetView &view);

/// Returns the position in views of the target to send to, or NoPick.
using PickPolicy = std::function<int(std::span<const TargetView> views, const PickContext &context)>;

PickPolicy damaskPolicy();        // default: lowest expected completion from aged estimates, late binding
PickPolicy randomPolicy();        // baseline
PickPolicy roundRobinPolicy();    // baseline
PickPolicy leastInFlightPolicy(); // baseline: fewest calls of this instance
PickPolicy powerOfTwoPolicy();    // baseline: the less loaded of two random targets
PickPolicy hotColdPolicy();       // baseline: hot-cold lexicographic rule (Prequal, NSDI 2024)
PickPolicy joinIdleQueuePolicy(); // baseline
PickPolicy oraclePolicy();        // upper bound: knows trueInFlight without lag

/// Returns a policy by its name in benchmarks and settings, or an empty function for an unknown name.
PickPolicy policyByName(std::string_view name);

} // namespace damask
