/// Decides what happens to a ticket, given a document. Pure functions: no store, no clock.
#pragma once

#include "base/result.h"
#include "config/effect.h"
#include "config/ticket.h"
#include "control/document.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace damask {

struct JournalLimits {
    size_t   records = 256;          // kept; the finished one with the lowest number is pruned first
    size_t   undoBytes = 128 * 1024; // of all undo texts; the oldest are dropped first
    size_t   detailBytes = 400;      // of one record
    uint64_t maxNumberGap = 1000;    // allowed above the highest used number, so that a typo can't use up the range
};

/// The document to write, if any, and the result to report to the operator once it is written.
struct TicketDecision {
    std::optional<ControlDocument> next;   // empty: nothing to write
    Result<TicketRecord>           result; // a refused ticket that is recorded has its record here
};

/// What a ticket would change in a document.
struct TicketPlan {
    uint64_t                 number = 0;
    Code                     code = Code::Ok; // with which submit() would refuse it now; Ok: it would not
    std::string              detail;          // reason, with all errors
    std::vector<std::string> diff;            // against the accepted configuration
    std::vector<std::string> unchanged;       // objects that the ticket states with their current value
    Effect                   effect;
    Configuration            next; // valid with code Ok
};

TicketPlan planTicket(const ControlDocument &document, const Ticket &ticket, const JournalLimits &limits = {});

/// A resubmission of the same content gets the existing record. Stale, invalid and capacity-losing tickets are recorded
/// as refused: their result never changes, and a corrected ticket needs a new number. TicketBusy and TicketNumberTaken
/// record nothing, so the ticket can be submitted again.
TicketDecision decideSubmit(const ControlDocument &document, const Ticket &ticket, int64_t now,
                            const JournalLimits &limits = {});

/// Finishes the staged ticket. Idempotent: a ticket that has already finished in that state gets its record.
TicketDecision decideAccept(const ControlDocument &document, uint64_t number, int64_t now);
TicketDecision decideWithdraw(const ControlDocument &document, uint64_t number, int64_t now);

/// The record with that number; UnknownTicket says whether it may have been pruned from the journal.
Result<TicketRecord> findRecord(const ControlDocument &document, uint64_t number);

/// The lowest number above all used ones.
uint64_t nextFreeNumber(const ControlDocument &document);

} // namespace damask
