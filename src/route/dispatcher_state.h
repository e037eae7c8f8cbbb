/// State shared by the dispatcher's source files.
#pragma once

#include "base/token_bucket.h"
#include "route/account_gate.h"
#include "route/call_trace.h"
#include "route/dispatcher.h"
#include "route/dispatcher_call.h"
#include "route/dispatcher_metrics.h"
#include "route/dispatcher_table.h"
#include "route/hedge.h"
#include "route/quota_shortage.h"

#include <atomic>
#include <memory>

namespace damask {

/// What a hedge takes over from the first attempt of its call. Owns what the call would take along when it ends.
struct HedgeTerms {
    std::shared_ptr<const RouteTable> routes; // keeps the objects alive that route points to
    Route                             route;
    AcquireRequest                    first;             // use request(); its texts and lists may be gone
    std::string                       caller;            // of first
    std::string                       account;           // of the attempt
    std::vector<std::string>          allowedRegions;    // of first
    std::vector<std::string>          accountRegions;    // of first
    bool                              hidesKeys = false; // of the attempt
    std::string                       key;               // of the request, to check it again; secret
    int                               keyCount = 0;      // of the request
    TimePoint                         deadline = Never;  // for attempts
    TimePoint                         objectiveAt;       // when the objective has passed, if the rule has one
    Duration                          typical{0};        // median answer time of the rule; 0: not hedged within a limit

    bool           limited() const;                                            // hedged within Service::hedgeLimit
    AcquireRequest request(std::string_view avoid, CancelToken &cancel) const; // refers to these terms
};

struct Dispatcher::State {
    State(Clock &runtimeClock, Metrics &metrics, const DispatcherOptions &dispatcherOptions,
          DispatcherHooks dispatcherHooks);
    ~State();
    State(const State &) = delete;
    State &operator=(const State &) = delete;

    std::shared_ptr<const RouteTable> current() const;
    bool                              endsBeforeShutdown(std::string_view service, TimePoint deadline) const;

    // Run on the thread that dispatches the call (dispatcher.cpp)
    Code           admit(CallState &call);
    CallResponse   run(CallState &call, CancelToken &cancel);
    AcquireRequest acquireRequest(const CallState &call, CancelToken &cancel) const;
    AttemptResult  attempt(CallState &call, const Permit &permit, CancelToken &cancel);
    AttemptResult  send(const CallState &call, const Permit &permit, CancelToken &cancel, const CancelToken &caller);
    Attempt        attemptOf(const CallState &call, const Permit &permit, Duration left, CancelToken &cancel) const;
    Code           checkStart(const Route &route, const KeyFields &key, const Permit &permit, TimePoint deadline) const;
    AttemptResult  notSent(const Permit &permit, Code code);
    RetryDenial    decideRetry(const CallState &call, const AttemptResult &last, const CancelToken &cancel);
    void           setRetryAfter(const CallState &call, CallResponse &response);
    void           saveTrace(CallState &call, const CallResponse &response);
    void           logCall(const CallTrace &trace);

    // Client accounts (dispatcher_accounts.cpp)
    Code         identify(CallState &call);
    Code         recheckKey(const Route &route, const KeyFields &key) const;
    KeyDecision  checkKey(const Rule &rule, const KeyFields &key, const RouteTable &routes) const;
    Code         takeQuota(CallState &call, CancelToken &cancel, Duration &retryAfter);
    void         giveBackQuota(const CallState &call);
    CallResponse quotaRefusal(Code code, Duration retryAfter) const;
    Code         checkPlacement(const CallState &call, CancelToken &cancel) const;
    static void  setAccount(const Route &route, double usage, AcquireRequest &request);

    // Hedges; runHedge() runs on a thread of hooks.runAsync, the others on the call's thread (dispatcher_hedge.cpp)
    AttemptResult sendHedged(CallState &call, const Permit &permit, Duration delay, CancelToken &cancel);
    HedgeTerms    hedgeTerms(const CallState &call, const Permit &permit, CancelToken &cancel) const;
    void          collectHedge(CallState &call, HedgeRace &race, const AttemptResult &first);
    void          runHedge(HedgeRace &race, const HedgeTerms &terms);
    void          withholdHedge(HedgeRace &race, HedgeDenial denial);
    bool          runTracked(std::function<void()> task);
    void          earnHedgeCredit(const Route &route);
    double        hedgeBalance(const Route &route, TimePoint now);
    bool          takeHedgeCredit(const Route &route, TimePoint now);
    bool          waitForHedgeCredit(HedgeRace &race, const Route &route, TimePoint now);

    std::optional<Duration> planHedge(CallState &call, const Permit &permit); // its delay; none: no hedge
    std::optional<Permit>   acquireHedge(HedgeRace &race, const HedgeTerms &terms);
    std::optional<Permit>   acquireLimitedHedge(HedgeRace &race, const HedgeTerms &terms);
    void                    recordAnswerTime(const CallState &call, const AttemptResult &first, Duration elapsed,
                                             const CancelToken &cancel);

    Clock            &clock;
    DispatcherOptions options;
    DispatcherHooks   hooks;
    DispatcherMetrics counters;
    CallTraceRing     traces;

    mutable RankedMutex               configurationMutex{LockRank::Configuration};
    std::shared_ptr<const RouteTable> table;
    ShutdownWindow                    shutdown;            // under configurationMutex
    std::atomic<bool>                 shuttingDown{false}; // startShutdown() has been called

    std::atomic<uint64_t> noRoomRefusals{0}; // spreads their Retry-After

    RankedMutex   quotaMutex{LockRank::Route};
    QuotaShortage quotaShortage; // under quotaMutex

    RankedMutex snapshotMutex{LockRank::Route}; // guards the limiters and log counters below
    TokenBucket snapshotLimiter;                // traces that include the state of all targets
    TokenBucket logLineLimiter;                 // call log lines
    uint64_t    logSampleCounter = 0;           // all calls while sampling is on
    uint64_t    droppedLogLines = 0;            // since the last call log line

    RankedMutex taskMutex{LockRank::Route};
    Condition   tasksChanged;
    int         tasks = 0; // passed to hooks.runAsync: queued or running

    std::unique_ptr<HedgeTimer> hedgeTimer;
};

} // namespace damask
