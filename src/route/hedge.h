/// Second attempts for late idempotent calls: when, and which of the two answers counts.
///
/// No thread waits for a call of its own: one task of the hooks' pool keeps the timer while calls are pending.
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

/// Follows the time that 95 in 100 answers of a service stay under. Safe from all threads.
class HedgeDelay
{
public:
    void     addSample(Duration answerTime); // of each first attempt that was answered
    Duration percentile95() const;           // 0 before the first answer

private:
    std::atomic<int64_t> m_estimate{0}; // ns
};

/// One attempt of each side that ended.
struct HedgeResult {
    AttemptResult result;
    std::string   target;
    Duration      waited{0};
};

/// Whether an attempt ends a race: a whole answer below 500.
bool winsRace(const AttemptResult &result);

/// What became of the second attempt when its race was closed.
struct HedgeOutcome {
    bool                       began = false; // it was sent, or was about to be
    std::optional<HedgeResult> ended;         // what it gave; none: it was not sent, or still ran and was cancelled
};

/// Two attempts of one call that race. The first whole answer below 500 wins and cancels the other; once the call is
/// closed, a later answer reaches nobody.
class HedgeRace
{
public:
    using Hedge = std::function<void(HedgeRace &)>; // sends the second attempt: begin(), send, end()

    HedgeRace(Clock &clock, const CallRequest &request, std::string_view firstTarget, Hedge hedge);

    // The call's thread
    CancelToken &firstToken();                      // cancels the first attempt
    void         cancelBoth();                      // the caller has gone
    HedgeOutcome close(bool wait, TimePoint until); // ends the race; with wait, a hedge under way may end first

    // The hedge's thread
    void               run();           // calls the hedge hook
    bool               begin();         // false: the race is closed. Copies the request otherwise.
    CancelToken       &hedgeToken();    // cancels the hedge
    const CallRequest &request() const; // the copy; after begin()
    const std::string &firstTarget() const;
    bool               end(std::optional<HedgeResult> result); // once after begin(); false: too late, reaches nobody

private:
    RankedMutex                m_mutex{LockRank::Route};
    Condition                  m_changed;
    CancelToken                m_firstToken{LockRank::Attempt};
    CancelToken                m_hedgeToken{LockRank::Attempt};
    Hedge                      m_hedge;
    const CallRequest         *m_callRequest; // valid until closed
    CallRequest                m_requestCopy;
    std::string                m_firstTarget;
    std::optional<HedgeResult> m_result;
    bool                       m_began = false;
    bool                       m_ended = false;
    bool                       m_closed = false;
};

/// Runs hedges at set times on a pool's threads. One task waits for all, only while something is pending.
class HedgeTimer
{
public:
    using Run = std::function<bool(std::function<void()>)>; // false when no thread is free

    HedgeTimer(Clock &clock, Run run);
    ~HedgeTimer(); // drops what is pending, waits for the task

    bool schedule(TimePoint due, std::weak_ptr<HedgeRace> race); // false when no thread is free

private:
    struct Entry {
        TimePoint                due;
        std::weak_ptr<HedgeRace> race; // gone when its call has ended
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
    std::vector<Entry> m_pending; // a heap, the earliest first
    bool               m_running = false;
    bool               m_closed = false;
};

} // namespace damask
