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

#include <cstddef>
#include <map>

namespace damask {

/// The order of calls: by the priority of their client account, then by that of their rule. Less is more urgent.
struct Urgency {
    int accountRank = 0;
    int rank = 0; // of the rule

    bool operator<(const Urgency &other) const
    {
        return accountRank != other.accountRank ? accountRank < other.accountRank : rank < other.rank;
    }
};

class Shortage
{
public:
    void record(const Urgency &urgency, Duration objective, TimePoint now); // a call that was in time found no slot
    bool holdsBack(const Urgency &urgency, TimePoint now) const;            // whether a late call has to make way
    bool active(TimePoint now) const;                                       // calls of any urgency are short

private:
    static constexpr size_t MaxRanks = 64; // that are short at once; a further one is not remembered

    std::map<Urgency, TimePoint> m_until; // at most MaxRanks
};

} // namespace damask
