/// The entry point for tickets: submit, check, show, list, withdraw, revert, export, accept. Applies decisions to the
/// control document in the store.
///
/// Use: `TicketController controller(metrics, store, hooks); controller.submit(text, "12.ini");`
/// Safe to call from all threads and from several processes at once: the document changes by compare-and-swap only.
#pragma once

#include "base/metrics.h"
#include "base/result.h"
#include "control/accept.h"
#include "control/document.h"
#include "control/ticket_decision.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

/// Hooks supplied by the owner. An empty `instances` hook means that show() reports no confirmations.
struct TicketControllerHooks {
    std::function<int64_t()>                   wallClock; // ms since 1970
    std::function<std::vector<InstanceView>()> instances; // those that have to confirm a staged ticket
};

struct TicketControllerOptions {
    JournalLimits limits;
    AcceptOptions accept;
    int           maxAttempts = 8; // writes tried before StoreConflict is returned
};

/// One ticket as shown to operators.
struct TicketView {
    TicketRecord   record;
    AcceptDecision confirmation; // while staged
};

struct TicketList {
    std::vector<TicketRecord> records;            // in order of submission
    uint64_t                  revision = 0;       // of the accepted configuration
    uint64_t                  nextFreeNumber = 1; // for the next ticket
};

class TicketController
{
public:
    TicketController(Metrics &metrics, DocumentStore store, TicketControllerHooks hooks,
                     const TicketControllerOptions &options = {});

    /// Returns the record: staged, or refused with its code. A resubmission of the same content gets the same record.
    /// BadTicket, TicketBusy, TicketNumberTaken and 6xx record nothing, but StoreUnknown may: submit the ticket again.
    Result<TicketRecord> submit(std::string_view text, std::string_view source);
    Result<TicketPlan>   check(std::string_view text, std::string_view source); // changes nothing
    Result<TicketView>   show(uint64_t number);
    Result<TicketList>   list();
    Result<TicketRecord> withdraw(uint64_t number); // BadTicket when it was accepted or refused
    Result<std::string>  revertOf(uint64_t number); // INI text of a new inverse ticket; submits nothing
    Result<std::string>  exportConfiguration();     // INI text of a ticket with all objects, based on their versions
    Result<TicketRecord> accept(uint64_t number);   // called by a keeper once decideAcceptance() allows it

private:
    using DecideFunction = std::function<TicketDecision(const ControlDocument &)>;

    Result<VersionedDocument> load();
    Result<TicketRecord>      updateDocument(const DecideFunction &decision);
    Result<void>              resolveUnknownWrite(uint64_t version);

    Metrics                &m_metrics;
    DocumentStore           m_store;
    TicketControllerHooks   m_hooks;
    TicketControllerOptions m_options;
};

} // namespace damask
