/// A point in the history of the store.
///
/// Revisions rise with each change, but a store that returns from a copy assigns those after the copy again and begins
/// a new era. Two positions are ordered by era, then by revision; two revisions alone can be compared only within one
/// era. docs/design/order.md states the invariant that follows from it.
#pragma once

#include <compare>
#include <cstdint>
#include <tuple>

namespace damask {

struct StorePosition {
    uint64_t era = 0;      // 0: the store names none
    uint64_t revision = 0; // 0: before all changes

    bool operator==(const StorePosition &) const = default;
    auto operator<=>(const StorePosition &other) const
    {
        return std::tie(era, revision) <=> std::tie(other.era, other.revision);
    }
};

/// Revisions of one era between which the single changes were not seen, only what differs between both ends. A state in
/// between may have keys that were created and removed again, of which the differences say nothing.
struct HistoryGap {
    uint64_t after = 0; // the last revision before it
    uint64_t upTo = 0;  // the first one at which all changes are known again; above `after`

    bool operator==(const HistoryGap &) const = default;
    bool contains(uint64_t revision) const
    {
        return revision > after && revision < upTo;
    }
};

} // namespace damask
