/// The shared table of targets and what is known of their load: grants permits to send, one for each attempt.
///
/// Use, from any thread that serves a call:
///     auto permit = balancer.acquire({.service = "listings", .deadline = deadline});
///     ... send to permit->target ...
///     balancer.finish(*permit, report);   // exactly once for each permit
/// A front that does not block uses acquireLater(), and runWaits() when the time that it returned has come.
/// Pitfall: acquire() may wait (late binding) until the deadline or the service's queueWait.
#pragma once

#include "base/clock.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/result.h"
#include "call/cancel.h"
#include "call/message.h"
#include "config/model.h"
#include "route/pick.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

/// Where a permit lets its holder send. Lives as long as the permit that points to it.
struct TargetAddress {
    std::string name;                // "pool/target"
    std::string address;             // IP number
    uint16_t    port = 0;            // TCP
    int         connectionShare = 8; // connections this entry may hold to it
    std::string instance;            // identity that it has to confirm; empty: not checked
    std::string healthPath;          // where it can be asked how it is; empty: as the target form says
};

/// What an attempt needs.
struct AcquireRequest {
    std::string_view             service;            // name of a Service
    std::string_view             caller;             // for fairness
    std::span<const std::string> dataCentres = {};   // allowed; empty: all
    TimePoint                    deadline = Never;   // of the call
    bool                         idempotent = false; // trials after an ejection take idempotent calls only
    std::string_view             avoid = {};         // name of a target that failed this call before
    size_t                       bodyBytes = 0;      // for the budget across regions
    bool                         mayWait = true;     // false: refuse at once when no slot is free (hedges)
    int                          rank = 0;           // 0 is the most urgent: it waits before all others
    Duration                     objective{0};       // answers are wanted within it; 0: none
    CancelToken                 *cancel = nullptr;   // ends a wait early
};

/// What a choice rested on.
struct TargetKnown {
    float reportAge = -1; // ms since the target's last report; -1: it never reported
    float estimate = 0;   // all entries' calls in flight there
    float slowdown = 1;   // times as long as usual that work was taken to need there
    int   others = 0;     // targets that it was compared with
};

/// Leave to send one attempt to one target.
struct Permit {
    uint64_t                             id = 0;    // unique in this process
    std::shared_ptr<const TargetAddress> address;   // where to send
    std::string                          service;   // name
    TimePoint                            grantedAt; // when
    TargetKnown                          known;     // of the target, when it was chosen
    size_t                               asked = 0; // targets asked for the choice
    Duration                             waited{0}; // for a slot
};

/// What is handed back with a permit.
struct PermitReport {
    AttemptEnd                end = AttemptEnd::NotSent;
    Code                      code = Code::Ok;
    std::optional<LoadReport> load;       // as carried on the answer
    int                       status = 0; // HTTP status when answered; 5xx counts against the target
};

/// News of a target's load or drain that came from a probe, a peer or the instance list.
struct LoadNews {
    std::string target;          // "pool/target"
    LoadReport  report;          // what it says
    Duration    age{0};          // how old the report was when it came in
    bool        leaving = false; // the instance list or a peer says it is leaving
    bool        silent = false;  // it was asked and gave no answer; report is not filled
    bool        asked = false;   // it was asked by this entry, and so proved that it answers
};

/// A target that looks best for a call, by what is known.
struct Prospect {
    std::shared_ptr<const TargetAddress> address;
    Duration                             reportAge{0};    // of its last report; Duration::max(): none yet
    double                               expected = 0;    // ms until the answer
    bool                                 good = false;    // has a free slot and works about as fast as usual
    bool                                 onTrial = false; // ejected, and due to show that it is well
};

/// What is known of one target, for status pages and `damaskctl why`.
struct TargetStatus {
    std::string name;
    std::string dataCentre;
    int         inFlight = 0; // ours
    double      estimate = 0; // of all entries' calls in flight, decayed by age
    Duration    reportAge{0}; // since the last report; 0 with reported == false
    bool        reported = false;
    bool        draining = false;
    bool        ejected = false;
    Duration    oldestCall{0};  // age of our oldest call in flight
    Duration    typicalTime{0}; // time of answers
};

struct BalancerOptions {
    std::string dataCentre;                              // of this entry
    Duration    reportHalfLife{0};                       // how fast a report loses weight; 0: in the usual answer time
    size_t      traceCapacity = 4096;                    // decisions kept for `damaskctl why`
    Duration    waitStep = std::chrono::milliseconds(2); // a waiting call looks again at the aged estimates
    Duration    slowdownHalfLife = std::chrono::milliseconds(250); // how fast a report of slow work loses weight
    double      queueShare = 1;     // of a call's latency objective that it may wait for a slot
    Duration    elsewhereCost{0};   // that a target in another data centre has to save, beside the way there
    Duration    otherRegionCost{0}; // that a target in another region has to save, beside the way there
};

/// A target got no more work because it failed, or gets work again.
struct HealthChange {
    std::string_view target;      // "pool/target"
    bool             out = false; // true: ejected now
    float            failing = 0; // 0 to 1: share of its last answers that failed
    std::string_view reason;      // what made the difference: "answer", "failure", "question"
};

/// What varies: the policy and the random source.
struct BalancerHooks {
    PickPolicy                                pick;          // default: damaskPolicy()
    RandomSource                              random;        // default: systemRandom(); safe from all threads
    std::function<void(const HealthChange &)> healthChanged; // under a lock: it must not call back; default: none
    std::function<void(std::string_view target, TargetView &view)> truth; // benches of the oracle only; default: none
};

/// Gets the permit, or the refusal, of one acquireLater(); called once, without any lock held.
using GrantHook = std::function<void(Result<Permit>)>;

class Balancer
{
public:
    Balancer(Clock &clock, Metrics &metrics, const BalancerOptions &options, BalancerHooks hooks = {});
    ~Balancer();

    void           apply(std::shared_ptr<const Configuration> configuration); // revision never decreases (asserted)
    Result<Permit> acquire(const AcquireRequest &request);                    // 1xx codes; nothing was sent
    uint64_t       acquireLater(const AcquireRequest &request, GrantHook granted); // as acquire(), without blocking
    void           giveUp(std::string_view service, uint64_t waiting); // ends a wait by its id with Cancelled
    TimePoint      runWaits(std::string_view service); // grants and refuses what is due; when to call it next, or Never
    void           finish(const Permit &permit, const PermitReport &report); // exactly once for each permit
    void           absorb(std::span<const LoadNews> news);
    std::vector<Prospect>     promising(const AcquireRequest &request, size_t most); // the best first; grants nothing
    std::vector<LoadNews>     ownNews() const; // what this entry knows, for its peers
    std::vector<TargetStatus> status(std::string_view service) const;
    int                       inFlight() const; // permits out now

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
