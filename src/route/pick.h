/// Choosing one target among those that may take a call: the policies behind one hook.
///
/// A policy is a pure function of what is known; it allocates nothing and takes no lock.
#pragma once

#include "base/random.h"
#include "base/time.h"

#include <cstdint>
#include <functional>
#include <span>
#include <string_view>

namespace damask {

/// What a policy sees of one target.
struct TargetView {
    uint32_t index = 0;          // in the pool
    int      inFlight = 0;       // calls of this entry
    int      slots = 1;          // requests it runs at once
    double   estimate = 0;       // all entries' calls in flight: last report, plus sent since, decayed by age
    float    reportAge = 1e9F;   // ms since the last report
    float    oldestCall = 0;     // ms that our oldest call is in flight
    float    typicalTime = 1;    // ms, of its answers
    float    linkDelay = 0;      // ms, there and back
    float    slowStartShare = 1; // 0 to 1: share of its slots it may use after a cold start
    float    failureShare = 0;   // 0 to 1: share of its last answers that failed
    int      reported = -1;      // calls in flight as last reported, as it was; -1: never
    float    limit = 1;          // calls in flight of all entries at which it counts as full
    float    fleetTime = 1;      // ms, of answers of all targets of the service
    float    slowdown = 1;       // times as long as usual that work takes there now, as far as reports tell
    float    penalty = 1;        // times as long as expected that it counts for: silent, unwell, or leaving
    int      trueInFlight = -1;  // for the oracle in benches only; -1: not known
    float    trueSpeed = 1;      // for the oracle in benches only
};

/// What a policy is given besides.
struct PickContext {
    const RandomSource *random = nullptr;       // never null
    uint64_t            sequence = 0;           // rises by one with each pick of the service
    float               waited = 0;             // ms that the call has waited for a slot
    bool                ignoreEstimate = false; // no answer is due that would tell more: do not wait on an estimate
};

constexpr int NoPick = -1; // every target is full: wait or refuse

/// Expected time in ms until the answer of a call sent now, as damaskPolicy() compares it.
double expectedCompletion(const TargetView &view);

/// Returns the position in views of the target to send to, or NoPick.
using PickPolicy = std::function<int(std::span<const TargetView> views, const PickContext &context)>;

PickPolicy damaskPolicy();        // ours: expected completion from an aged estimate, late binding
PickPolicy randomPolicy();        // baseline
PickPolicy roundRobinPolicy();    // baseline
PickPolicy leastInFlightPolicy(); // baseline: this entry's own calls
PickPolicy powerOfTwoPolicy();    // baseline: the better of two
PickPolicy hotColdPolicy();       // baseline: probes split in hot and cold (Prequal, NSDI 2024)
PickPolicy joinIdleQueuePolicy(); // baseline
PickPolicy oraclePolicy();        // bound: knows trueInFlight without lag

/// A policy by its name in benches and settings; an empty function when there is none.
PickPolicy policyByName(std::string_view name);

} // namespace damask
