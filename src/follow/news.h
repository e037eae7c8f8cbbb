/// Messages by which nodes pass store changes on to each other, so that only few nodes poll the store.
///
/// Plain values. A follower sends a FollowRequest at a fixed interval, and the other node answers each with StoreNews.
/// It also sends StoreNews unsolicited as soon as it learns of changes. An answer to a node that does not follow
/// carries no changes. The operators' configuration travels packed, against the version that the follower has. Changes
/// too large for one message are sent in steps: the follower asks for the next at once. Changes are passed on only
/// within an era of the store: an answer to a request of another era has none.
#pragma once

#include "base/time.h"
#include "follow/packed_value.h"
#include "store/position.h"
#include "store/protocol.h"

#include <cstdint>
#include <string>
#include <vector>

namespace damask {

struct FollowRequest {
    uint64_t    number = 0;             // rises with each request of the sender; repeated in the answer
    uint64_t    revision = 0;           // store revision, of `era`, up to which the sender has all changes
    bool        follows = false;        // asks for changes; false: asks only how fresh the receiver's data is
    std::string endpoint = {};          // IP:PORT at which the sender can be followed; empty: it can't
    std::string dataCentre = {};        // of the sender
    uint64_t    linkBytesPerSecond = 0; // capacity of the sender's link; 0: unknown
    bool        unpacks = true;         // the sender can read packed changes
    uint64_t    era = 0;                // of the store, as the sender knows it; 0: none

    StorePosition position() const
    {
        return {era, revision};
    }
};

/// A change whose value is packed.
struct PackedChange {
    std::string key;
    PackedValue value;
    uint64_t    base = 0; // revision of the earlier value of the key that it was packed against; 0: none
    uint64_t    revision = 0;
};

struct StoreNews {
    uint64_t                  number = 0;   // of the request that it answers; 0: unsolicited
    uint64_t                  from = 0;     // store revision after which the changes begin
    uint64_t                  revision = 0; // store revision up to which the sender has all changes
    Duration                  age{0};       // since the store confirmed that it had nothing newer
    int                       hops = 0;     // nodes between the sender and the store; 0: it polls the store itself
    bool                      whole = true; // false: some changes are no longer logged and must be read from the store
    bool                      more = false; // the changes end before the sender's own revision: ask again for the next
    std::vector<StoreChange>  changes;      // by ascending revision; only the last of each key
    std::vector<PackedChange> packed = {};  // further changes, in place of those with large values
    std::string               relay = {};   // IP:PORT of a node nearby to follow instead of the sender; empty: none
    uint64_t                  era = 0;      // of all revisions in it; 0: the store names none
    std::vector<HistoryGap>   gaps = {};    // ascending; of changes in them only the differences are known

    StorePosition position() const
    {
        return {era, revision};
    }
};

} // namespace damask
