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

} // namespace damask
