/// What the parts of the dispatcher share.
#pragma once

#include "base/token_bucket.h"
#include "route/dispatcher.h"
#include "route/dispatcher_call.h"
#include "route/dispatcher_metrics.h"
#include "route/dispatcher_table.h"
#include "route/hedge.h"
#include "route/why.h"

#include <memory>

namespace damask {

struct Dispatcher::State {
    State(Clock &runtimeClock, Metrics &metrics, const DispatcherOptions &dispatcherOptions,
          DispatcherHooks dispatcherHooks);
    ~State();
    State(const State &) = delete;
    State &operator=(const State &) = delete;

    std::shared_ptr<const RouteTable> current() const;

    // One call, on the thread that dispatches it (dispatcher.cpp)
    Code          admit(CallState &call) const;
    Answer        run(CallState &call, CancelToken &cancel);
    AttemptResult attempt(CallState &call, const Permit &permit, CancelToken &cancel);
    AttemptResult send(const CallState &call, const Permit &permit, CancelToken &cancel);
    RetryDenial   judge(const CallState &call, const AttemptResult &last, const CancelToken &cancel);
    void          sayWhenToComeBack(const CallState &call, Answer &answer) const;
    void          keep(CallState &call, const Answer &answer);
    void          log(const WhyRecord &record);

    // Hedges: the call's thread, then the thread beside (dispatcher_hedge.cpp)
    AttemptResult sendHedged(CallState &call, const Permit &permit, CancelToken &cancel);
    bool          mayHedge(const CallState &call) const;
    void          takeHedge(CallState &call, HedgeRace &race, const AttemptResult &first);
    void          hedge(HedgeRace &race, const Route &route, TimePoint deadline);
    bool          runCounted(std::function<void()> task);

    Clock            &clock;
    DispatcherOptions options;
    DispatcherHooks   hooks;
    DispatcherMetrics counters;
    WhyRing           ring;

    mutable RankedMutex               configurationMutex{LockRank::Configuration};
    std::shared_ptr<const RouteTable> table;

    RankedMutex snapshotMutex{LockRank::Route};
    TokenBucket snapshots;         // records that carry what was known of all targets
    TokenBucket logLines;          // on calls
    uint64_t    ordinaryCalls = 0; // that might be sampled into the log
    uint64_t    linesLeftOut = 0;  // since the last line on a call

    RankedMutex taskMutex{LockRank::Route};
    Condition   tasksChanged;
    int         tasks = 0; // beside, queued or running

    std::unique_ptr<HedgeTimer> timer;
};

} // namespace damask
