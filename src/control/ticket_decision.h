/// What becomes of a ticket for a given document. Pure: no store, no clock.
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
    size_t   records = 256;          // kept; the ended one with the lowest number goes first
    size_t   undoBytes = 128 * 1024; // of all undo texts; the oldest go first
    size_t   detailBytes = 400;      // of one record
    uint64_t maxNumberGap = 1000;    // a number may be that far above the highest used: a typo can't use them up
};

/// The document to write, if any, and what the operator is told once it is written.
struct TicketDecision {
    std::optional<ControlDocument> next;   // empty: nothing to write
    Result<TicketRecord>           result; // a refused ticket that is kept has its record here
};

/// What a ticket would do to a document.
struct TicketPlan {
    uint64_t                 number = 0;
    Code                     code = Code::Ok; // with which submit() would refuse it now
    std::string              detail;          // why, with all errors
    std::vector<std::string> diff;            // from the accepted configuration
    std::vector<std::string> unchanged;       // things that the ticket states as they are already
    Effect                   effect;
    Configuration            next; // valid with code Ok
};

TicketPlan planTicket(const ControlDocument &document, const Ticket &ticket, const JournalLimits &limits = {});

/// A repeat of the same content gets the record that is there. Stale, invalid and capacity-losing tickets are kept
/// as refused: the same answer for ever, and a corrected ticket takes a new number. TicketBusy and TicketNumberTaken
/// keep nothing: they can be submitted again.
TicketDecision decideSubmit(const ControlDocument &document, const Ticket &ticket, int64_t now,
                            const JournalLimits &limits = {});

/// Ends the staged ticket. Idempotent: an ended ticket of that state gets its record.
TicketDecision decideAccept(const ControlDocument &document, uint64_t number, int64_t now);
TicketDecision decideWithdraw(const ControlDocument &document, uint64_t number, int64_t now);

/// The record of that number; UnknownTicket says whether it was cut from the journal.
Result<TicketRecord> findRecord(const ControlDocument &document, uint64_t number);

/// The lowest number that is above all used ones.
uint64_t nextFreeNumber(const ControlDocument &document);

} // namespace damask
