/// What nodes tell each other of the store, so that few of them ask it.
///
/// Plain values. A node that follows another sends a FollowRequest at a steady beat; the other answers each with
/// StoreNews, and tells changes unasked as soon as it knows them. An answer to a node that does not follow carries no
/// changes.
#pragma once

#include "base/time.h"
#include "store/protocol.h"

#include <cstdint>
#include <vector>

namespace damask {

struct FollowRequest {
    uint64_t number = 0;      // rises with each request of the asker; the answer repeats it
    uint64_t revision = 0;    // of the store, up to which the asker knows everything
    bool     follows = false; // it hears changes from the node that it asks; false: it only asks how old news are there
};

struct StoreNews {
    uint64_t                 number = 0;   // of the request that it answers; 0: told unasked
    uint64_t                 from = 0;     // revision after which the changes begin
    uint64_t                 revision = 0; // up to which the sender knows everything
    Duration                 age{0};       // since the store proved to the sender that there was nothing newer
    int                      hops = 0;     // nodes between the sender and the store; 0: it asks the store itself
    bool                     whole = true; // false: there are changes that are not carried; the store has them
    std::vector<StoreChange> changes;      // in the order of revisions; of a key only the last
};

} // namespace damask
