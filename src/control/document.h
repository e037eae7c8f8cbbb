/// The control document in the store: the accepted configuration, the staged ticket and the journal of tickets.
///
/// It changes by compare-and-swap only. Its encoding is in wire/; decision code works on these plain values.
#pragma once

#include "base/result.h"
#include "config/model.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace damask {

/// The state of a ticket. Staged changes to Accepted or Withdrawn; the other states are final.
enum class TicketState {
    Staged,    // instances confirm one by one that they use only what both configurations allow
    Accepted,  // active; never reverts
    Refused,   // refused at submission, with a code
    Withdrawn, // withdrawn by an operator before it was accepted
};

/// One record of the journal.
struct TicketRecord {
    uint64_t    number = 0;      // chosen by the operator, never reused
    uint64_t    contentHash = 0; // of the ticket's content: a resubmission has the same
    std::string operatorName;    // who submitted it
    std::string comment;         // from the ticket
    TicketState state = TicketState::Staged;
    Code        code = Code::Ok; // reason, when refused
    std::string detail;          // human-readable
    uint64_t    revision = 0;    // of the configuration it produced, when accepted
    int64_t     submittedAt = 0; // ms since 1970
    int64_t     endedAt = 0;     // ms since 1970; 0 while staged
    std::string undo;            // INI text of the inverse ticket; empty: nothing to undo, or no longer kept

    bool operator==(const TicketRecord &) const = default;
};

/// A ticket that waits for confirmation by the instances.
struct StagedTicket {
    uint64_t      number = 0;
    Configuration next; // complete state once accepted; its revision is the accepted one plus one

    bool operator==(const StagedTicket &) const = default;
};

struct ControlDocument {
    Configuration               accepted;
    std::optional<StagedTicket> staged;
    std::vector<TicketRecord>   journal;           // in order of submission; old records are pruned by count
    uint64_t                    highestPruned = 0; // numbers up to this one count as used; their records may be pruned

    bool operator==(const ControlDocument &) const = default;
};

/// A document as read from the store.
struct VersionedDocument {
    ControlDocument document;
    uint64_t        version = 0; // of the store's key; 0: the key does not exist yet
};

/// The store operations that the control package needs, each with the errors that it may return.
struct DocumentStore {
    std::function<Result<VersionedDocument>()>                                 load; // StoreUnavailable, StoreBadValue
    std::function<Result<uint64_t>(const ControlDocument &, uint64_t version)> swap; // also StoreConflict, StoreUnknown
};

} // namespace damask
