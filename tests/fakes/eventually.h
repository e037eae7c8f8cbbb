/// Waiting for what other threads bring about: asks again and again on the running clock, for a bounded time.
#pragma once

#include "base/clock.h"
#include "base/lock.h"

#include <functional>

namespace damask {

/// True as soon as reached() is; false after half a minute, which is a failure and not a matter of timing.
inline bool eventually(const std::function<bool()> &reached)
{
    constexpr Duration Step = std::chrono::milliseconds(5);
    constexpr Duration Bound = std::chrono::seconds(30);
    Clock              clock;
    RankedMutex        mutex{LockRank::Program};
    Condition          condition(clock);
    const TimePoint    deadline = clock.now() + Bound;
    while (!reached()) {
        if (clock.now() >= deadline) {
            return false;
        }
        LockGuard lock(mutex);
        condition.waitUntil(lock, clock.now() + Step);
    }
    return true;
}

} // namespace damask
