/// Handles one call from start to end: rule match, admission, attempts, retries, hedge and outcome.
///
/// Use: `CallResponse response = dispatcher.dispatch(request, cancel);` on a worker thread. The function returns when
/// the call has ended.
#pragma once

#include "base/clock.h"
#include "base/metrics.h"
#include "call/cancel.h"
#include "call/message.h"
#include "config/model.h"
#include "route/balancer.h"
#include "route/preview.h"
#include "route/shutdown_window.h"

#include <functional>
#include <memory>

namespace damask {

/// One attempt as passed to the `send` hook.
struct Attempt {
    const TargetAddress &address;
    const CallRequest   &request;
    Duration             timeLeft;           // until the call's deadline
    int                  number = 1;         // 1 for the first attempt
    bool                 idempotent = false; // false: use a connection that is known to be open, or a new one
    CancelToken         *cancel;             // cancelling it closes the attempt's connection; never null
    std::string_view     account = {};       // name of the client account; empty: none
    bool                 hidesKeys = false;  // the caller's key and account fields must not reach the target

    /// Asked once the connection is open, right before the first byte of the request. Anything but Ok ends the attempt
    /// as not sent, with this code. Empty: it may be sent.
    std::function<Code()> mayStart = {};
};

/// The answer to a request for quota.
struct QuotaAnswer {
    Code      code = Code::Ok; // Ok, QuotaExceeded, QuotaUnavailable or Cancelled
    Duration  retryAfter{0};   // until quota is expected, if exceeded
    double    usage = 0;       // requests of the last second over all instances as a share of the quota
    TimePoint expiresAt{};     // of the quota that was taken; passed to giveBackQuota
};

/// Credit for hedges within a limit that instances share. No function waits.
struct HedgeCreditHooks {
    std::function<void(std::string_view service)>   earn;    // once per call
    std::function<double(std::string_view service)> balance; // hedges that may be sent now; below 1: none
    std::function<bool(std::string_view service)>   tryTake; // right before a hedge
    std::function<void(std::string_view service)>   want;    // a hedge is due and waits for credit
};

/// Behaviour that varies: how an attempt is sent, how hedges run on another thread, and who grants permits.
struct DispatcherHooks {
    std::function<AttemptResult(const Attempt &)> send;     // blocks until the attempt has ended
    std::function<bool(std::function<void()>)>    runAsync; // returns false if no thread is free; empty: no hedges

    // When empty, the balancer's functions of the same names are used.
    std::function<Result<Permit>(const AcquireRequest &)>              acquire;
    std::function<void(const Permit &, const PermitReport &)>          finish;
    std::function<std::vector<TargetStatus>(std::string_view service)> status;
    std::function<Duration(std::string_view service)>                  pushBackLeft;
    std::function<ServicePreview(const AcquireRequest &)>              preview;

    // Ok, or why no target may take the request whatever their load, asked before quota. Default: the balancer's of
    // this name; empty without a balancer: not asked.
    std::function<Code(const AcquireRequest &)> checkPlacement;

    // Whether the target of a permit may still get its request: false once it is evacuated, drains or was replaced.
    // Default: the balancer's of this name; empty without a balancer: always.
    std::function<bool(const Permit &)> permitHolds;

    // Quotas of client accounts; empty: not enforced. takeQuota may wait until the time given.
    std::function<QuotaAnswer(const ClientAccount &, TimePoint until, CancelToken &)> takeQuota;
    std::function<void(const ClientAccount &, TimePoint expiresAt)> giveBackQuota; // its call was not sent

    std::function<QuotaPreview(const ClientAccount &)> quotaState; // for preview(); takes and asks for nothing

    HedgeCreditHooks hedgeCredit; // empty: each instance keeps to the share of its own calls

    std::function<Duration()> configurationAge; // since the store had no newer configuration; empty: never out of date
};

struct DispatcherOptions {
    Duration deadlineMargin = std::chrono::milliseconds(2); // reserved for returning the response to the caller
    size_t   traceCapacity = 4096;                          // calls kept for `damaskctl why`

    // One in this many calls is logged as a sample. 0: none. Calls that failed, exceeded their objective or needed more
    // than one attempt are always logged.
    uint64_t logSampleInterval = 0;

    // Retry-After of a rejected call as a share of the caller's remaining time. 0: always one second.
    double   retryAfterShare = 0;
    Duration minRetryAfter = std::chrono::milliseconds(10); // lower limit when retryAfterShare is used

    // The same for calls that found no slot: between half of it and all of it, spread evenly. 0: as retryAfterShare.
    double noRoomRetryAfterShare = 0;

    // The same for calls that a target with a free slot refused: it fails part of its requests, so another attempt may
    // succeed at once, and in time. 0: as retryAfterShare.
    Duration refusedRetryAfter{0};

    Duration maxConfigurationAge{0}; // beyond it an unknown key may be a new one; 0: it never is
    Duration maxKeyAge{0};           // configuration age beyond which known keys are refused as well; 0: never
};

class Dispatcher
{
public:
    Dispatcher(Clock &clock, Metrics &metrics, Balancer &balancer, const DispatcherOptions &options,
               DispatcherHooks hooks);
    /// Without a balancer: hooks must set acquire, finish, status and pushBackLeft.
    Dispatcher(Clock &clock, Metrics &metrics, const DispatcherOptions &options, DispatcherHooks hooks);
    ~Dispatcher(); // waits for running hedges; dispatch() must not be running

    void         apply(std::shared_ptr<const Configuration> configuration); // call after the balancer's apply()
    CallResponse dispatch(const CallRequest &request, CancelToken &cancel);
    void         startShutdown(const ShutdownWindow &window);   // from now on, calls that can't end in time are refused
    bool         streamsBody(const CallRequest &request) const; // its rule takes large bodies; `body` is not looked at
    bool         mayRepeat(const CallRequest &request) const;   // by its rule and method; `body` is not looked at
    RoutePreview preview(const PreviewQuery &query) const;      // where it would go now; nothing is sent or counted
    std::string  explainCall(std::string_view requestId) const; // JSON trace of a call; empty if no longer kept
    std::string  recentCalls(std::string_view service, size_t limit) const; // JSON list of traces, newest first

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
