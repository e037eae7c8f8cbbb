/// Decides whether a staged ticket can be accepted, and lists the instances that still have to confirm it.
#pragma once

#include "base/time.h"
#include "control/document.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

/// A keeper's view of one instance. There is one for each instance in the instance list and for each lease holder,
/// the keeper's own instance included.
struct InstanceView {
    std::string name;
    uint64_t    incarnation = 0;       // of its current process start
    bool        listed = true;         // present in the instance list
    bool        leaseHeld = true;      // its lease in the store is held
    Duration    lapsedFor{0};          // time since its lease was last known to be held
    uint64_t    confirmedRevision = 0; // effective revision that this incarnation has applied; 0: none yet
};

struct AcceptOptions {
    Duration listLag = std::chrono::seconds(10); // longest delay until the instance list shows a new instance
};

/// An instance that blocks acceptance of the ticket.
struct WaitingInstance {
    std::string name;
    std::string why;           // human-readable reason
    uint64_t    confirmed = 0; // effective revision it has applied
    int64_t     since = 0;     // when the ticket was staged, ms since 1970

    bool operator==(const WaitingInstance &) const = default;
};

struct AcceptDecision {
    bool                         accept = false; // accept it now, with TicketController::accept(number)
    uint64_t                     number = 0;     // of the staged ticket; 0: none is staged
    std::vector<WaitingInstance> waiting;        // sorted by name
    std::vector<std::string>     passedOver;     // presumed dead: not listed, and lease lapsed for at least listLag
};

/// Pure function. An instance has to confirm while the list shows it or its lease may be held. One that is alive but
/// partitioned therefore blocks the ticket, and the decision names it. At least one instance has to have confirmed, so
/// that an empty view accepts nothing.
AcceptDecision decideAcceptance(const ControlDocument &document, std::span<const InstanceView> instances,
                                const AcceptOptions &options = {});

} // namespace damask
