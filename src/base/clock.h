/// The runtime's clock, which tests pause and advance.
///
/// Use in a program: `Clock clock; clock.now();`
/// Use in a test: `Clock clock; clock.pause(); clock.advance(5s);` wakes each Condition whose deadline passed.
/// Pitfall: a paused clock never moves by itself; a thread in Condition::waitUntil then waits for advance().
#pragma once

#include "base/lock.h"
#include "base/time.h"

#include <atomic>
#include <functional>
#include <vector>

namespace damask {

/// Where the running time comes from; a test of clock jumps puts its own in.
struct ClockHooks {
    std::function<TimePoint()> now; // default: the system's clock that runs through a suspend
};

/// One per process (or test). Safe to use from all threads.
class Clock
{
public:
    explicit Clock(ClockHooks hooks = {});
    Clock(const Clock &) = delete;
    Clock &operator=(const Clock &) = delete;

    TimePoint now() const;          // ns since the machine's start, plus what was advanced
    void      pause();              // holds the time where it is
    void      advance(Duration by); // moves a paused time on and wakes all waiters; by >= 0
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
