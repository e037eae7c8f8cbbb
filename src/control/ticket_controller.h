/// Where tickets come in: submit, check, show, list, withdraw, go back. Decisions over the one document in the store.
///
/// Use: `TicketController desk(metrics, store, hooks); desk.submit(text, "12.ini");`
/// Safe from all threads and from many processes at once: the document changes by compare-and-swap only.
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

/// What varies. An empty `instances` says that nobody is known to confirm.
struct TicketControllerHooks {
    std::function<int64_t()>                   wallClock; // ms since 1970
    std::function<std::vector<InstanceView>()> instances; // who has to confirm a staged ticket
};

struct TicketControllerOptions {
    JournalLimits limits;
    AcceptOptions accept;
    int           maxAttempts = 8; // decisions after a StoreConflict, before giving up
};

/// One ticket as an operator sees it.
struct TicketView {
    TicketRecord   record;
    AcceptDecision confirmation; // while staged
};

struct TicketList {
    std::vector<TicketRecord> records;            // in the order of submission
    uint64_t                  revision = 0;       // of the accepted configuration
    uint64_t                  nextFreeNumber = 1; // for the next ticket
};

class TicketController
{
public:
    TicketController(Metrics &metrics, DocumentStore store, TicketControllerHooks hooks,
                     const TicketControllerOptions &options = {});

    /// The record: staged, or refused with its code. A repeat with the same content gets the same record.
    /// BadTicket, TicketBusy, TicketNumberTaken and 6xx keep nothing; StoreUnknown: submit the same again.
    Result<TicketRecord> submit(std::string_view text, std::string_view source);
    Result<TicketPlan>   check(std::string_view text, std::string_view source); // changes nothing
    Result<TicketView>   show(uint64_t number);
    Result<TicketList>   list();
    Result<TicketRecord> withdraw(uint64_t number); // BadTicket when it is accepted or refused
    Result<std::string>  revertOf(uint64_t number); // INI of a new ticket that goes back; submits nothing
    Result<std::string>  exportConfiguration();     // INI of a ticket with all there is, built on its versions
    Result<TicketRecord> accept(uint64_t number);   // by a keeper, after decideAcceptance() said so

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
