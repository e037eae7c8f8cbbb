/// The clock that all timing goes through. Tests can pause and advance it.
///
/// Use in a program: `Clock clock; clock.now();`
/// Use in a test: `Clock clock; clock.pause(); clock.advance(5s);` wakes every Condition whose deadline has passed.
/// Pitfall: a paused clock does not advance by itself, so a thread in Condition::waitUntil blocks until advance().
#pragma once

#include "base/lock.h"
#include "base/time.h"

#include <atomic>
#include <functional>
#include <vector>

namespace damask {

/// The source of time while the clock is not paused. Tests of clock jumps replace it.
struct ClockHooks {
    std::function<TimePoint()> now; // default: CLOCK_BOOTTIME, which includes time in suspend
};

/// One per process (or test). Safe to use from all threads.
class Clock
{
public:
    explicit Clock(ClockHooks hooks = {});
    Clock(const Clock &) = delete;
    Clock &operator=(const Clock &) = delete;

    TimePoint now() const;          // ns since boot; while paused: the time of pause() plus all advances
    void      pause();              // stops the clock at the current time
    void      advance(Duration by); // advances a paused clock and wakes all waiters; by >= 0
    bool      paused() const;

private:
    friend class Condition;
    void addWaiter(pthread_cond_t *condition);
    void removeWaiter(const pthread_cond_t *condition);

    ClockHooks                    m_hooks;
    std::atomic<bool>             m_paused{false};
    std::atomic<int64_t>          m_pausedAt{0}; // ns
    RankedMutex                   m_mutex{LockRank::ClockWaiters};
    std::vector<pthread_cond_t *> m_waiters;
};

} // namespace damask
