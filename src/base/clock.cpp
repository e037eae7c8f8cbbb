#include "base/clock.h"

#include "base/check.h"

#include <algorithm>
#include <ctime>

namespace damask {

namespace {

TimePoint systemNow()
{
    timespec n{};
    clock_gettime(CLOCK_BOOTTIME, &n);
    return TimePoint(std::chrono::seconds(n.tv_sec) + Duration(n.tv_nsec));
}

} // namespace

Clock::Clock(ClockHooks hooks)
    : m_hooks(std::move(hooks))
{
    if (!m_hooks.now) {
        m_hooks.now = systemNow;
    }
}

TimePoint Clock::now() const
{
    if (m_paused.load(std::memory_order_acquire)) {
        return TimePoint(Duration(m_pausedAt.load(std::memory_order_acquire)));
    }
    return m_hooks.now();
}

void Clock::pause()
{
    m_pausedAt = m_hooks.now().time_since_epoch().count();
    m_paused = true;
}

void Clock::advance(Duration by)
{
    DAMASK_ASSERT(m_paused, "call pause() before advance()");
    DAMASK_ASSERT(by >= Duration::zero(), "time never goes backwards: pass a duration of zero or more");
    m_pausedAt += by.count();
    LockGuard lock(m_mutex);
    for (pthread_cond_t *it : m_waiters) {
        // Taking the waiter's own mutex here would violate the lock order, so the broadcast goes out without it and
        // may be missed. waitUntil() polls at short intervals while the clock is paused, which bounds the delay.
        pthread_cond_broadcast(it);
    }
}

bool Clock::paused() const
{
    return m_paused;
}

void Clock::addWaiter(pthread_cond_t *condition)
{
    LockGuard lock(m_mutex);
    m_waiters.push_back(condition);
}

void Clock::removeWaiter(const pthread_cond_t *condition)
{
    LockGuard lock(m_mutex);
    const auto it = std::find(m_waiters.begin(), m_waiters.end(), condition);
    DAMASK_ASSERT(it != m_waiters.end(), "remove each waiter exactly once, in the thread that added it");
    m_waiters.erase(it);
}

} // namespace damask
