/// Hedging: when a late idempotent call gets a second attempt, and which of the two responses is returned.
///
/// No call occupies a thread while it waits for its hedge: one task on the pool of the hooks waits for all pending
/// hedges.
#pragma once

#include "base/clock.h"
#include "base/lock.h"
#include "call/cancel.h"
#include "call/message.h"

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
};

/// Whether a result wins the race: a complete response with a status below 500.
bool winsRace(const AttemptResult &result);

/// State of the hedge when its race was closed.
struct HedgeOutcome {
    bool                       started = false; // it was sent, or about to be sent
    std::optional<HedgeResult> ended;           // its result; none: not sent, or cancelled while running
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
    void               run();           // calls the hedge hook
    bool               begin();         // copies the request; false: the race is closed
    CancelToken       &hedgeToken();    // cancels the hedge
    const CallRequest &request() const; // the copy, valid after begin()
    const std::string &firstTarget() const;
    bool               end(std::optional<HedgeResult> result); // once after begin(); false: closed, result discarded

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
};

/// Runs hedges at given times on the threads of a pool. A single task waits for all of them, and only while some are
/// pending.
class HedgeTimer
{
public:
    using Run = std::function<bool(std::function<void()>)>; // false when no thread is free

    HedgeTimer(Clock &clock, Run run);
    ~HedgeTimer(); // discards pending hedges, waits for the task

    bool schedule(TimePoint due, std::weak_ptr<HedgeRace> race); // false when no thread is free

private:
    struct Entry {
        TimePoint                due;
        std::weak_ptr<HedgeRace> race; // expired when its call has ended
    };
    static bool                later(const Entry &left, const Entry &right);
    bool                       start();
    void                       runDue();
    void                       dropPending();
    std::shared_ptr<HedgeRace> waitForDue();
    Entry                      popFront();

    Clock             &m_clock;
    Run                m_run;
    RankedMutex        m_mutex{LockRank::Route};
    Condition          m_changed;
    std::vector<Entry> m_pending; // a heap, earliest first
    bool               m_running = false;
    bool               m_closed = false;
};

} // namespace damask
