/// The life of one call: rule, admission, attempts, retries, hedge, outcome.
///
/// Use: `CallResponse answer = dispatcher.dispatch(request, cancel);` on a worker thread; it returns when the call
/// ended.
#pragma once

#include "base/clock.h"
#include "base/metrics.h"
#include "call/cancel.h"
#include "call/message.h"
#include "config/model.h"
#include "route/balancer.h"

#include <functional>
#include <memory>

namespace damask {

/// One attempt as given to the sender.
struct Attempt {
    const TargetAddress &address;
    const CallRequest   &request;
    Duration             timeLeft;   // until the call's deadline
    int                  number = 1; // from 1
    bool         idempotent = false; // a non-idempotent attempt goes on a connection proven alive, or a fresh one
    CancelToken *cancel;             // cancelling closes the attempt's connection; never null
};

/// What varies: how an attempt is sent, how work is run beside the caller's thread (hedges), and who grants permits.
struct DispatcherHooks {
    std::function<AttemptResult(const Attempt &)> send;     // blocks until the attempt ended
    std::function<bool(std::function<void()>)>    runAsync; // false when no thread is free; empty: no hedges

    // Empty: the balancer's functions of these names.
    std::function<Result<Permit>(const AcquireRequest &)>              acquire;
    std::function<void(const Permit &, const PermitReport &)>          finish;
    std::function<std::vector<TargetStatus>(std::string_view service)> status;
};

struct DispatcherOptions {
    Duration deadlineMargin = std::chrono::milliseconds(2); // kept of the deadline for the way back
    size_t   traceCapacity = 4096;                          // calls kept for `damaskctl why`
    uint64_t logSampleInterval =
        0; // one ordinary call in so many is logged; 0: none. Calls that failed or were late always are
    double   retryAfterShare = 0; // of its time left, after which a refused caller may come back; 0: after a second
    Duration minRetryAfter = std::chrono::milliseconds(10); // with retryAfterShare
};

class Dispatcher
{
public:
    Dispatcher(Clock &clock, Metrics &metrics, Balancer &balancer, const DispatcherOptions &options,
               DispatcherHooks hooks);
    Dispatcher(Clock &clock, Metrics &metrics, const DispatcherOptions &options,
               DispatcherHooks hooks); // without a balancer: hooks has acquire, finish and status
    ~Dispatcher();                     // waits for hedges that still run; no dispatch() may be running

    void         apply(std::shared_ptr<const Configuration> configuration); // the balancer gets it first
    CallResponse dispatch(const CallRequest &request, CancelToken &cancel);
    std::string  explainCall(std::string_view requestId) const; // JSON of what was decided and known; empty when gone
    std::string  recentCalls(std::string_view service, size_t limit) const; // JSON list of its last calls

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
