/// Tracks the load of all targets and grants permits to send: one permit for each attempt of a call.
///
/// Usage, from any thread that serves a call:
///     if (balancer.admit(request) != Code::Ok) ... refuse the call at once
///     auto permit = balancer.acquire(request);
///     ... send to permit->address ...
///     balancer.finish(*permit, report);   // exactly once for each permit
/// A non-blocking front end uses acquireLater() and calls processQueue() again at the time that it returned.
/// Pitfall: acquire() may block until the deadline or the service's queueWait: a call is bound to a target only when a
/// slot is free (late binding).
#pragma once

#include "base/clock.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/result.h"
#include "call/cancel.h"
#include "call/message.h"
#include "config/model.h"
#include "route/cold_start.h"
#include "route/pick.h"
#include "route/preview.h"
#include "route/spillover.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

/// The address that a permit allows sending to. Shared by all permits that refer to it.
struct TargetAddress {
    std::string name;                // "pool/target"
    std::string address;             // IP address
    uint16_t    port = 0;            // TCP port
    int         connectionShare = 8; // max connections from this instance
    std::string instance;            // identity that the target must confirm; empty: not checked
    std::string healthPath;          // path of its health check; empty: the default of the target form
    int64_t     startedAt = 0;       // start of its process, ms since 1970; 0: unknown
};

/// The requirements of one attempt.
struct AcquireRequest {
    std::string_view             service;            // name of a Service
    std::string_view             caller;             // client account, for fair queueing
    std::span<const std::string> dataCentres = {};   // allowed; empty: all
    TimePoint                    deadline = Never;   // of the call
    bool                         idempotent = false; // half-open targets get idempotent calls only
    std::string_view             avoid = {};         // name of a target that already failed this call
    size_t                       bodyBytes = 0;      // charged to the cross-region budget
    bool                         mayWait = true;     // false: refuse at once if no slot is free (hedges)

    // Only if the service has spare room: an active, warm target other than `avoid` with a free slot, while no call is
    // queued (else QueueFull) and no shortage is active (else ObjectiveMissed). Implies !mayWait; not counted as a
    // call.
    bool onlyFree = false;

    int          rank = 0;          // priority; 0 is the most urgent and is served first
    Duration     objective{0};      // latency objective; 0: none
    Duration     callerTimeLeft{0}; // as the caller stated it on arrival; 0: not stated
    CancelToken *cancel = nullptr;  // ends a wait early; may be null

    // Home regions; a target must be in one of both lists. Empty: all.
    std::span<const std::string> allowedRegions = {}; // of the rule
    std::span<const std::string> accountRegions = {}; // of the client account

    // The client account, for ranks and fair sharing
    std::string_view account = {};     // name; empty: none
    int              accountRank = 0;  // compared before rank
    double           accountUsage = 0; // its requests of the last second over all instances as a share of its quota
};

/// What was known of the chosen target at the time of the choice.
struct TargetLoadSnapshot {
    float reportAge = -1; // ms since the target's last report; -1: never
    float estimate = 0;   // calls in flight from all instances
    float slowdown = 1;   // estimated service time relative to normal
    float coldLeft = 0;   // ms that the target stays cold
    int   others = 0;     // candidates compared
};

/// Permission to send one attempt to one target.
struct Permit {
    uint64_t                             id = 0;             // unique in this process
    std::shared_ptr<const TargetAddress> address;            // where to send
    std::string                          service;            // name
    TimePoint                            grantedAt;          // time of the grant
    TimePoint                            sendBefore = Never; // it lapses then: the token of a cold target expires
    TargetLoadSnapshot                   snapshot;           // of the target, at the choice
    size_t                               asked = 0;          // targets probed before the choice
    Duration                             waited{0};          // time spent in the queue
    int                                  rank = 0;           // of the call
    int                                  accountRank = 0;
    Duration                             objective{0};
    bool                                 late = false; // the call could not meet its objective any more
};

/// The result of an attempt, returned with its permit.
struct PermitReport {
    AttemptEnd                end = AttemptEnd::NotSent;
    Code                      code = Code::Ok;
    std::optional<LoadReport> load;              // carried on the answer
    int                       status = 0;        // HTTP status if answered; 5xx counts as a failure
    TargetNotice              notice = {};       // carried on any answer
    bool                      overtaken = false; // cancelled because another attempt of its call was answered first
};

/// An update on a target's load or draining, from a probe, a peer or the instance list.
struct LoadUpdate {
    std::string  target;          // "pool/target"
    LoadReport   report;          // the load
    Duration     age{0};          // age of the report on arrival
    bool         leaving = false; // reported as leaving by the instance list or a peer
    bool         silent = false;  // a probe got no answer; report is not set
    bool         asked = false;   // was probed by this instance and answered
    TargetNotice notice = {};     // carried on the answer to a probe of this instance
    int64_t      startedAt = 0;   // of the process that sent the notice
};

/// A target with a low expected completion time for a call.
struct TargetCandidate {
    std::shared_ptr<const TargetAddress> address;
    Duration                             reportAge{0};      // Duration::max(): never reported
    double                               expected = 0;      // ms until the answer
    bool                                 available = false; // has a free slot and runs at about normal speed
    bool                                 halfOpen = false;  // ejected, and due for a trial
    bool spillover = false; // the first to be probed in a data centre that may have room
};

/// The state of one target, for status pages and `damaskctl why`.
struct TargetStatus {
    std::string name;
    std::string dataCentre;
    int         inFlight = 0; // calls of this instance
    double      estimate = 0; // calls in flight from all instances, decayed by age
    Duration    reportAge{0}; // since the last report; 0 if never reported
    bool        reported = false;
    bool        draining = false;
    bool        ejected = false;
    bool        evacuated = false; // its data centre gets no requests
    Duration    coldLeft{0};       // it stays cold for so long
    Duration    oldestCall{0};     // age of the oldest call in flight from here
    Duration    typicalTime{0};    // smoothed answer time
};

struct BalancerOptions {
    std::string dataCentre;                                        // of this instance
    Duration    reportHalfLife{0};                                 // of the weight of a report; 0: the mean answer time
    size_t      traceCapacity = 4096;                              // decisions kept for `damaskctl why`
    Duration    queuePollInterval = std::chrono::milliseconds(2);  // between re-evaluations, because estimates age
    Duration    slowdownHalfLife = std::chrono::milliseconds(250); // of a reported slowdown
    Duration    trustedReportAge{0};    // with a report this young, targets that are not known to have room get no call
    double      queueShare = 1;         // share of a call's latency objective that it may spend queued
    Duration    otherDataCentreCost{0}; // time that a target there must save to be chosen; added to its link delay
    Duration    otherRegionCost{0};     // the same for a target in another region
    Duration    costPerMegabyte{0};     // of request body, added to both: large bodies are worth more waiting nearby
    bool        spillover = false;      // while this data centre is short of slots, others with room cost as near ones
};

/// A target was ejected because of failures, or reinstated.
struct HealthChange {
    std::string_view target;           // "pool/target"
    bool             out = false;      // true: ejected; false: reinstated
    float            failureShare = 0; // 0 to 1: share of its last answers that failed
    std::string_view reason;           // "answer", "failure" or "question" (probe)
};

/// A target has said something about its availability that was not known yet.
struct NoticeReceived {
    std::string_view target;      // "pool/target"
    TargetNotice     notice;      // as received
    Duration         pushBack{0}; // for how long it gets nothing from this instance; 0: not pushed back
};

/// A target has become cold or warm otherwise than by the end of its time.
struct ColdChange {
    std::string_view target;      // "pool/target"
    Duration         coldLeft{0}; // how long it stays cold; 0: it is warm
    ColdReason       reason = ColdReason::Entry;
};

/// A cold target whose requests per second over all instances are limited.
struct ColdTarget {
    std::string_view target;                // "pool/target"
    int64_t          startedAt = 0;         // of its process
    double           requestsPerSecond = 0; // limit over all instances together
};

/// Replaceable parts: the policy, the random source and observers.
struct BalancerHooks {
    PickPolicy                                pick;          // default: damaskPolicy()
    RandomSource                              random;        // default: systemRandom(); safe from all threads
    std::function<void(const HealthChange &)> healthChanged; // called under a lock, must not call back; default: none
    std::function<void(const NoticeReceived &)>
        noticeReceived; // called under a lock, must not call back; default: none
    std::function<void(const ColdChange &)>
        coldChanged; // of services with a cold phase; called under a lock, must not call back; default: none
    std::function<void(const SpilloverChange &)>
        spilloverChanged; // called under a lock, must not call back; default: none
    std::function<void(std::string_view target, TargetView &view)> fillTrueLoad; // for oraclePolicy(); default: none

    // Tokens of cold targets, called under a lock of rank Route; they must not call back. Default: no limit.
    std::function<bool(const ColdTarget &)> hasColdToken; // whether takeColdToken() would succeed; takes nothing
    std::function<std::optional<TimePoint>(const ColdTarget &)>
        takeColdToken; // takes a token for one request that is sent before the result; none: there is no token
    std::function<void(const ColdTarget &)> wantColdToken; // asks for a token for a later request
};

/// Receives the permit or refusal of one acquireLater(). Called once, without any lock held.
using GrantHook = std::function<void(Result<Permit>)>;

class Balancer
{
public:
    Balancer(Clock &clock, Metrics &metrics, const BalancerOptions &options, BalancerHooks hooks = {});
    ~Balancer();

    void           apply(std::shared_ptr<const Configuration> configuration); // revision must not decrease (asserted)
    Code           admit(const AcquireRequest &request);          // Ok, or why the call is refused without further work
    Code           checkPlacement(const AcquireRequest &request); // Ok, or that it has no target whatever their load
    Result<Permit> acquire(const AcquireRequest &request); // fails with a 1xx Code or Cancelled; nothing was sent
    uint64_t       acquireLater(const AcquireRequest &request, GrantHook granted); // non-blocking; wait id or 0
    void           cancelWait(std::string_view service, uint64_t waitId);    // refuses a queued call with Cancelled
    TimePoint      processQueue(std::string_view service);                   // returns when to call it next, or Never
    bool           permitHolds(const Permit &permit);                        // its target may still get the request
    void           finish(const Permit &permit, const PermitReport &report); // exactly once for each permit
    void           updateLoad(std::span<const LoadUpdate> updates);
    std::vector<TargetCandidate> bestCandidates(const AcquireRequest &request, size_t limit); // best first
    ServicePreview               preview(const AcquireRequest &request) const; // where it would go now; changes nothing
    Duration pushBackLeft(std::string_view service) const; // until the first target that pushes back takes requests
    std::vector<LoadUpdate>   loadSnapshot() const;        // latest reports, for the peers
    std::vector<TargetStatus> status(std::string_view service) const;
    int                       inFlight() const; // permits not finished yet

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
