/// Waits for a condition that other threads establish: polls it in real time until a timeout.
#pragma once

#include "base/clock.h"
#include "base/lock.h"

#include <functional>

namespace damask {

/// Returns true as soon as reached() does, and false after 30 s, which is long enough to be a failure on a slow machine
/// too.
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
