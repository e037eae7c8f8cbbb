/// Hedging: the second attempt of a late idempotent call, and which of the two responses is returned. hedge_policy.h
/// decides which calls get one where operators set a limit.
///
/// No call occupies a thread while it waits for its hedge: one task on the pool of the hooks waits for all pending
/// hedges.
#pragma once

#include "base/clock.h"
#include "base/lock.h"
#include "call/cancel.h"
#include "call/message.h"
#include "route/balancer.h"
#include "route/hedge_policy.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace damask {

/// Tracks the 95th percentile of the response time of a service. Thread-safe.
class HedgeDelay
{
public:
    void     addSample(Duration responseTime); // of a first attempt that was answered or cancelled by its hedge
    Duration percentile95() const;             // 0 before the first sample

private:
    std::atomic<int64_t> m_estimate{0}; // ns
};

/// Result of a hedge that has ended.
struct HedgeResult {
    AttemptResult result;
    std::string   target;
    Duration      waited{0};

    TargetLoadSnapshot snapshot = {}; // of the target, at the choice
    size_t             asked = 0;     // targets probed before the choice
};

/// Whether a result wins the race: a complete response with a status below 500.
bool winsRace(const AttemptResult &result);

/// State of the hedge when its race was closed.
struct HedgeOutcome {
    bool                       started = false;            // it was sent, or about to be sent
    std::optional<HedgeResult> ended;                      // its result; none: not sent, or cancelled while running
    HedgeDenial                denial = HedgeDenial::None; // why it was not sent when it was due
    bool                       postponed = false;          // it still waited to be due again
};

/// The race between the first attempt of a call and its hedge. The first complete response with a status below 500 wins
/// and cancels the other attempt. Results that arrive after close() are discarded.
class HedgeRace
{
public:
    using Hedge = std::function<void(HedgeRace &)>; // sends the second attempt: begin(), send, end()

    HedgeRace(Clock &clock, const CallRequest &request, std::string_view firstTarget, Hedge hedge);

    // The call's thread
    CancelToken &firstToken();                      // cancels the first attempt
    void         cancelBoth();                      // the caller cancelled the call
    HedgeOutcome close(bool wait, TimePoint until); // ends the race; wait: first waits for a running hedge

    // The hedge's thread
    void run();                                       // calls the hedge hook
    void withhold(HedgeDenial denial);                // it is not sent; instead of begin()
    bool postpone(TimePoint until, TimePoint latest); // for lack of credit; false: `until` is past the first `latest`
    bool postponed() const;                           // it was at least once
    std::optional<TimePoint> takeDueAgain();          // after run(): when it is due again, if it was postponed
    bool                     begin();                 // copies the request; false: the race is closed
    CancelToken             &hedgeToken();            // cancels the hedge
    const CallRequest       &request() const;         // the copy, valid after begin()
    const std::string       &firstTarget() const;
    bool                     overtaken() const;  // cancelled because the call ended, not by the caller
    bool end(std::optional<HedgeResult> result); // once after begin(); false: closed, result discarded

private:
    RankedMutex                m_mutex{LockRank::Route};
    Condition                  m_changed;
    CancelToken                m_firstToken{LockRank::Attempt};
    CancelToken                m_hedgeToken{LockRank::Attempt};
    Hedge                      m_hedge;
    const CallRequest         *m_callRequest; // valid until close()
    CallRequest                m_requestCopy;
    std::string                m_firstTarget;
    std::optional<HedgeResult> m_result;
    bool                       m_started = false;
    bool                       m_ended = false;
    bool                       m_closed = false;
    HedgeDenial                m_denial = HedgeDenial::None;
    bool                       m_waiting = false; // postponed
    std::optional<TimePoint>   m_dueAgain;        // the hedge's thread
    std::optional<TimePoint>   m_postponedUntil;  // the hedge's thread: the latest time that it may be postponed to
    std::atomic<bool>          m_cancelledByCaller{false};
};

/// Runs hedges at given times on the threads of a pool. A single task waits for all of them, and only while some are
/// pending.
class HedgeTimer
{
public:
    using Run = std::function<bool(std::function<void()>)>; // false when no thread is free

    using NoThread = std::function<void(HedgeRace &)>; // a hedge was due and no thread was free

    HedgeTimer(Clock &clock, Run run, NoThread noThread = {});
    ~HedgeTimer(); // closes

    bool schedule(TimePoint due, std::weak_ptr<HedgeRace> race); // false when no thread is free, or after close()
    void close();                                                // discards pending hedges, waits for the task

private:
    struct Entry {
        TimePoint                due;
        std::weak_ptr<HedgeRace> race; // expired when its call has ended
    };
    static bool                later(const Entry &left, const Entry &right);
    bool                       start();
    void                       runDue();
    void                       run(const std::shared_ptr<HedgeRace> &race);
    void                       dropPending();
    std::shared_ptr<HedgeRace> waitForDue();
    Entry                      popFront();

    Clock             &m_clock;
    Run                m_run;
    NoThread           m_noThread;
    RankedMutex        m_mutex{LockRank::Route};
    Condition          m_changed;
    std::vector<Entry> m_pending; // a heap, earliest first
    bool               m_running = false;
    bool               m_closed = false;
};

} // namespace damask
