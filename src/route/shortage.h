/// Remembers that a service lacked slots for calls that could still meet their latency objective.
///
/// Load pattern: an overload of seconds. Slots that go to calls which are late already are missing for those that are
/// not, so that in the end nearly all answers are late. While a rank is short of slots, its late calls are refused on
/// arrival, and so are those of less urgent ranks; the more urgent ranks are not affected. The memory lasts for one
/// latency objective after the last call in time that found no slot, so late calls are served again as soon as there
/// is room for them.
///
/// Not thread-safe: the caller holds any lock and passes the time.
#pragma once

#include "base/time.h"

#include <map>

namespace damask {

class Shortage
{
public:
    void record(int rank, Duration objective, TimePoint now); // a call that was in time found no slot
    bool holdsBack(int rank, TimePoint now) const;            // whether a late call of the rank has to make way
    bool active(TimePoint now) const;                         // any rank is short

private:
    static constexpr size_t MaxRanks = 64;

    std::map<int, TimePoint> m_until; // by rank; at most MaxRanks
};

} // namespace damask
