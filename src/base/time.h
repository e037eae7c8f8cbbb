/// The types of time. Decisions take a TimePoint; only programs and tests hold a Clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace damask {

using Duration = std::chrono::nanoseconds;

/// Tag of the runtime clock: counts from the machine's start and runs on through a suspend.
struct RuntimeClock {
    using rep = int64_t;
    using period = std::nano;
    using duration = Duration;
    using time_point = std::chrono::time_point<RuntimeClock, Duration>;
    static constexpr bool is_steady = true;
};

using TimePoint = RuntimeClock::time_point;

constexpr TimePoint Never = TimePoint::max(); // a deadline that does not pass

/// A duration in milliseconds with fractions, for logs, headers and JSON.
constexpr double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// A duration in seconds with fractions.
constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// A duration from a count of milliseconds, which may have fractions.
constexpr Duration fromMilliseconds(double milliseconds)
{
    return Duration(static_cast<int64_t>(milliseconds * 1e6));
}

} // namespace damask
