/// Time types. Decision code takes a TimePoint as a parameter; only programs and tests own a Clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace damask {

using Duration = std::chrono::nanoseconds;

/// Clock type of TimePoint: time since the machine's boot, including time in suspend.
struct RuntimeClock {
    using rep = int64_t;
    using period = std::nano;
    using duration = Duration;
    using time_point = std::chrono::time_point<RuntimeClock, Duration>;
    static constexpr bool is_steady = true;
};

using TimePoint = RuntimeClock::time_point;

constexpr TimePoint Never = TimePoint::max(); // a deadline that never passes

/// A duration in fractional milliseconds, for logs, headers and JSON.
constexpr double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// A duration in fractional seconds.
constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// A duration from fractional milliseconds.
constexpr Duration fromMilliseconds(double milliseconds)
{
    return Duration(static_cast<int64_t>(milliseconds * 1e6));
}

} // namespace damask
