/// Recognizes calls that come back after a refusal or a failure, by the time that their callers have left.
///
/// Load pattern: an overload of seconds, in which refused callers return and compete with new ones for the same slots.
/// A caller that comes back has less time left than callers have when they send a request for the first time. The
/// lower end of what they allowed lately, while there was room, is compared with what a call allows: the difference is
/// the least time since its caller's first attempt. A caller that always allows little time lowers that end, so it is
/// not mistaken for one that comes back.
///
/// Not thread-safe: the caller holds any lock.
#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>

namespace damask {

class DeadlineHistory
{
public:
    static constexpr size_t Samples = 32;   // the latest calls that are remembered
    static constexpr size_t MinSamples = 8; // below, nothing is known

    void     record(Duration timeLeft);       // of a call that arrived while there was room
    Duration minAge(Duration timeLeft) const; // since the caller's first attempt, at least; 0: unknown

private:
    std::array<Duration, Samples> m_times{}; // a ring
    size_t                        m_count = 0;
};

} // namespace damask
