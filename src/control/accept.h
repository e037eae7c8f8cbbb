/// Whether a staged ticket can be accepted now, and who still has to confirm.
#pragma once

#include "base/time.h"
#include "control/document.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

/// What a keeper knows of one instance: everyone in the instance list, everyone with a lease, itself included.
struct InstanceView {
    std::string name;
    uint64_t    incarnation = 0;       // of its current start
    bool        listed = true;         // the instance list shows it
    bool        leaseHeld = true;      // its lease in the store is held
    Duration    lapsedFor{0};          // since its lease was last known to be held
    uint64_t    confirmedRevision = 0; // effective revision that this incarnation has in force; 0: none yet
};

struct AcceptOptions {
    Duration listLag = std::chrono::seconds(10); // the instance list may show an instance that late
};

/// An instance that holds the ticket up.
struct WaitingInstance {
    std::string name;
    std::string why;           // for people
    uint64_t    confirmed = 0; // effective revision it has in force
    int64_t     since = 0;     // ms since 1970: when the ticket was staged

    bool operator==(const WaitingInstance &) const = default;
};

struct AcceptDecision {
    bool                         accept = false; // swap it in now, with TicketController::accept(number)
    uint64_t                     number = 0;     // of the staged ticket; 0: none is staged
    std::vector<WaitingInstance> waiting;        // in the order of names
    std::vector<std::string>     passedOver;     // gone: not listed, and lease lapsed for longer than the list's lag
};

/// Pure. An instance is waited for while the list shows it or its lease may be held: alive and cut off, it holds the
/// ticket up in plain sight. At least one instance has to have confirmed: an empty view accepts nothing.
AcceptDecision decideAcceptance(const ControlDocument &document, std::span<const InstanceView> instances,
                                const AcceptOptions &options = {});

} // namespace damask
