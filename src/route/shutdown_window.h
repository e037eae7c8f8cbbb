/// Which calls an instance that shuts down may still send to targets.
///
/// Use: `dispatcher.startShutdown({.acceptsAnyUntil = noticed, .lastAnswerAt = end});` at the stop signal. The
/// dispatcher asks mayStart() for a new call, and again before each attempt of it.
#pragma once

#include "base/time.h"

namespace damask {

/// The moments that decide. By default the instance does not shut down.
struct ShutdownWindow {
    TimePoint acceptsAnyUntil = Never; // until then whoever routes callers may not have noticed the shutdown
    TimePoint lastAnswerAt = Never;    // an answer that is ready later may not reach its caller
};

/// Whether an attempt may start at `now`. Before acceptsAnyUntil it must be expected to end in time; afterwards even
/// its deadline must not be later than lastAnswerAt. `expected` is the usual time of an attempt; zero: unknown.
constexpr bool mayStart(const ShutdownWindow &window, TimePoint now, TimePoint deadline, Duration expected)
{
    if (deadline <= window.lastAnswerAt) {
        return true;
    }
    return now < window.acceptsAnyUntil && expected <= window.lastAnswerAt - now;
}

} // namespace damask
