#include "control/ticket_controller.h"

#include "base/check.h"
#include "base/log.h"
#include "config/apply.h"
#include "control/effective_configuration.h"

#include <utility>

namespace damask {

namespace {

constexpr std::string_view RefusalsName = "damask_ticket_refusals_total";
constexpr std::string_view RetriesName = "damask_ticket_retries_total";

/// Checks the invariants of the control package before a document is written.
void assertTransition(const ControlDocument &before, const ControlDocument &after)
{
    DAMASK_ASSERT(after.accepted.revision >= before.accepted.revision, "an accepted revision never decreases");
    DAMASK_ASSERT(effectiveRevision(after) >= effectiveRevision(before), "an effective revision never decreases");
    DAMASK_ASSERT(after.highestPruned >= before.highestPruned, "a used number stays used");
    DAMASK_ASSERT(checkDocument(after).has_value(), "a written document must pass checkDocument()");
}

std::string join(std::span<const std::string> items)
{
    std::string out;
    for (const auto &it : items) {
        out += (out.empty() ? "" : ", ") + it;
    }
    return out;
}

} // namespace

TicketController::TicketController(Metrics &metrics, DocumentStore store, TicketControllerHooks hooks,
                                   const TicketControllerOptions &options)
    : m_metrics(metrics)
    , m_store(std::move(store))
    , m_hooks(std::move(hooks))
    , m_options(options)
{
}

Result<VersionedDocument> TicketController::load()
{
    auto loaded = m_store.load();
    if (!loaded) {
        return loaded;
    }
    const auto checked = checkDocument(loaded->document);
    if (!checked) {
        return tl::make_unexpected(checked.error());
    }
    return loaded;
}

/// Called after a write whose response was lost. Ok: the version has changed, so that write is applied or can never
/// take effect. While the version is unchanged, the write may still be in flight: nothing is written again, and the
/// operator gets StoreUnknown.
Result<void> TicketController::resolveUnknownWrite(uint64_t version)
{
    const auto loaded = load();
    if (loaded && loaded->version != version) {
        return {};
    }
    return fail(Code::StoreUnknown,
                "the store did not confirm the write, and the document does not show it yet; check with"
                " `damaskctl ticket show`, or send the same request again: it takes effect once");
}

Result<TicketRecord> TicketController::updateDocument(const DecideFunction &decision)
{
    for (int n = 0; n < m_options.maxAttempts; ++n) {
        const auto loaded = load();
        if (!loaded) {
            return tl::make_unexpected(loaded.error());
        }
        TicketDecision decided = decision(loaded->document);
        if (!decided.next) {
            return decided.result;
        }
        assertTransition(loaded->document, *decided.next);
        const auto swapped = m_store.swap(*decided.next, loaded->version);
        if (swapped) {
            return decided.result;
        }
        const Code code = swapped.error().code;
        if (code != Code::StoreConflict && code != Code::StoreUnknown) {
            return tl::make_unexpected(swapped.error());
        }
        m_metrics.countCode(RetriesName, code);
        if (code == Code::StoreUnknown) {
            const auto resolved = resolveUnknownWrite(loaded->version);
            if (!resolved) {
                return tl::make_unexpected(resolved.error());
            }
        }
    }
    return fail(Code::StoreConflict,
                "the document changed during every attempt to write it; send the same request again");
}

Result<TicketRecord> TicketController::submit(std::string_view text, std::string_view source)
{
    const auto ticket = parseTicket(text, source);
    if (!ticket) {
        m_metrics.countCode(RefusalsName, ticket.error().code);
        return tl::make_unexpected(ticket.error());
    }
    const int64_t now = m_hooks.wallClock();
    auto result = updateDocument(
        [&](const ControlDocument &document) { return decideSubmit(document, *ticket, now, m_options.limits); });
    const Code code = result ? result->code : result.error().code;
    if (code != Code::Ok) {
        m_metrics.countCode(RefusalsName, code);
    }
    logEvent(Severity::Info, "ticket-submitted",
             {{"number", ticket->number}, {"operator", ticket->operatorName}, {"code", codeName(code)}});
    return result;
}

Result<TicketPlan> TicketController::check(std::string_view text, std::string_view source)
{
    const auto ticket = parseTicket(text, source);
    if (!ticket) {
        return tl::make_unexpected(ticket.error());
    }
    const auto loaded = load();
    if (!loaded) {
        return tl::make_unexpected(loaded.error());
    }
    return planTicket(loaded->document, *ticket, m_options.limits);
}

Result<TicketView> TicketController::show(uint64_t number)
{
    const auto loaded = load();
    if (!loaded) {
        return tl::make_unexpected(loaded.error());
    }
    auto record = findRecord(loaded->document, number);
    if (!record) {
        return tl::make_unexpected(record.error());
    }
    TicketView view;
    view.record = std::move(*record);
    if (view.record.state == TicketState::Staged && m_hooks.instances) {
        view.confirmation = decideAcceptance(loaded->document, m_hooks.instances(), m_options.accept);
    }
    return view;
}

Result<TicketList> TicketController::list()
{
    auto loaded = load();
    if (!loaded) {
        return tl::make_unexpected(loaded.error());
    }
    const uint64_t nextFree = damask::nextFreeNumber(loaded->document);
    return TicketList{std::move(loaded->document.journal), loaded->document.accepted.revision, nextFree};
}

Result<TicketRecord> TicketController::withdraw(uint64_t number)
{
    const int64_t now = m_hooks.wallClock();
    return updateDocument([&](const ControlDocument &document) { return decideWithdraw(document, number, now); });
}

Result<TicketRecord> TicketController::accept(uint64_t number)
{
    const int64_t now = m_hooks.wallClock();
    return updateDocument([&](const ControlDocument &document) { return decideAccept(document, number, now); });
}

Result<std::string> TicketController::revertOf(uint64_t number)
{
    const auto loaded = load();
    if (!loaded) {
        return tl::make_unexpected(loaded.error());
    }
    const auto record = findRecord(loaded->document, number);
    if (!record) {
        return tl::make_unexpected(record.error());
    }
    if (record->state != TicketState::Accepted || record->undo.empty()) {
        return fail(Code::BadTicket, "ticket " + std::to_string(number)
                                         + (record->state == TicketState::Accepted
                                                ? ": its undo text is no longer kept; write"
                                                  " a ticket from the output of `damaskctl ticket export`"
                                                : " is not accepted; there is nothing to undo"));
    }
    const auto undo = parseTicket(record->undo, "journal");
    if (!undo) {
        return fail(Code::BadConfiguration, undo.error().detail);
    }
    std::vector<std::string> changedSince;
    Ticket ticket = rebased(*undo, loaded->document.accepted, changedSince);
    ticket.number = damask::nextFreeNumber(loaded->document);
    ticket.operatorName = "your-name";
    ticket.comment = "Restores the state before ticket " + std::to_string(number);
    const std::string warning =
        changedSince.empty()
            ? ""
            : "; Changed since by later tickets, whose changes this undoes too: " + join(changedSince) + "\n";
    return warning + renderTicket(ticket);
}

Result<std::string> TicketController::exportConfiguration()
{
    const auto loaded = load();
    if (!loaded) {
        return tl::make_unexpected(loaded.error());
    }
    Ticket ticket = ticketFrom(loaded->document.accepted);
    ticket.number = damask::nextFreeNumber(loaded->document);
    ticket.operatorName = "your-name";
    ticket.comment =
        "Accepted revision " + std::to_string(loaded->document.accepted.revision) + "; keep only what you change";
    return renderTicket(ticket);
}

} // namespace damask
