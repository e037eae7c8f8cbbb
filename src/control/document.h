/// The one document in the store: the accepted configuration, the staged ticket and the journal of tickets.
///
/// It changes by compare-and-swap only. Its encoding lives in wire/; decisions see these plain values.
#pragma once

#include "base/result.h"
#include "config/model.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace damask {

/// The life of a ticket. Staged leads to Accepted or Withdrawn; the others are final.
enum class TicketState {
    Staged,    // instances confirm, one by one, that they use only what both states allow
    Accepted,  // in force; never reverts
    Refused,   // refused at submission, with its code
    Withdrawn, // taken back by an operator before it was accepted
};

/// One line of the journal.
struct TicketRecord {
    uint64_t    number = 0;      // given by the operator, unique for ever
    uint64_t    contentHash = 0; // of the ticket's text: a repeat has the same
    std::string operatorName;    // who submitted it
    std::string comment;         // in the ticket
    TicketState state = TicketState::Staged;
    Code        code = Code::Ok; // why, when refused
    std::string detail;          // for people
    uint64_t    revision = 0;    // of the configuration it made, when accepted
    int64_t     submittedAt = 0; // ms since 1970
    int64_t     endedAt = 0;     // ms since 1970; 0 while staged
    std::string undo;            // INI of a ticket that takes it back; empty: nothing to take back, or no longer kept

    bool operator==(const TicketRecord &) const = default;
};

/// A ticket that waits for the instances.
struct StagedTicket {
    uint64_t      number = 0;
    Configuration next; // whole state once accepted; its revision is the accepted one plus one

    bool operator==(const StagedTicket &) const = default;
};

struct ControlDocument {
    Configuration               accepted;
    std::optional<StagedTicket> staged;
    std::vector<TicketRecord>   journal;           // in the order of submission; old ones are cut by their count
    uint64_t                    highestPruned = 0; // numbers up to this one count as used: their records may be cut

    bool operator==(const ControlDocument &) const = default;
};

/// A document as read from the store.
struct VersionedDocument {
    ControlDocument document;
    uint64_t        version = 0; // of the store's key; 0: the key does not exist yet
};

/// The store as control sees it.
struct DocumentStore {
    std::function<Result<VersionedDocument>()>                                 load; // StoreUnavailable, StoreBadValue
    std::function<Result<uint64_t>(const ControlDocument &, uint64_t version)> swap; // also StoreConflict, StoreUnknown
};

} // namespace damask
