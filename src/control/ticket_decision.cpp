#include "control/ticket_decision.h"

#include "config/apply.h"
#include "config/diff.h"

#include <algorithm>

namespace damask {

namespace {

TicketDecision refuseWithoutRecord(Code code, std::string_view detail)
{
    return {std::nullopt, fail(code, detail)};
}

TicketRecord *findMutableRecord(ControlDocument &document, uint64_t number)
{
    const auto it = std::find_if(document.journal.begin(), document.journal.end(),
                                 [number](const TicketRecord &record) { return record.number == number; });
    return it == document.journal.end() ? nullptr : &*it;
}

/// Joins the lines and cuts the text to at most `limit` bytes, at a character boundary.
std::string truncatedLine(std::string_view text, size_t limit)
{
    size_t end = std::min(limit, text.size());
    while (end > 0 && end < text.size() && (static_cast<unsigned char>(text[end]) & 0xC0U) == 0x80U) {
        --end;
    }
    std::string out(text.substr(0, end));
    std::replace(out.begin(), out.end(), '\n', ' ');
    return end < text.size() ? out + " ..." : out;
}

void pruneRecords(ControlDocument &document, const JournalLimits &limits)
{
    auto &journal = document.journal;
    while (journal.size() > limits.records) {
        const auto rank = [](const TicketRecord &it) {
            return it.state == TicketState::Staged ? UINT64_MAX : it.number;
        };
        const auto lowest = std::min_element(journal.begin(), journal.end(),
                                             [&](const auto &a, const auto &b) { return rank(a) < rank(b); });
        document.highestPruned = std::max(document.highestPruned, lowest->number);
        journal.erase(lowest);
    }
}

void pruneUndo(ControlDocument &document, const JournalLimits &limits)
{
    size_t kept = 0;
    for (auto it = document.journal.rbegin(); it != document.journal.rend(); ++it) {
        kept += it->undo.size();
        if (kept > limits.undoBytes) {
            kept -= it->undo.size();
            it->undo.clear();
        }
    }
}

TicketDecision appendRecord(const ControlDocument &document, TicketRecord record, const JournalLimits &limits)
{
    TicketDecision decision{document, record};
    record.detail = truncatedLine(record.detail, limits.detailBytes);
    decision.next->journal.push_back(std::move(record));
    pruneRecords(*decision.next, limits);
    pruneUndo(*decision.next, limits);
    return decision;
}

Result<void> checkNumber(const ControlDocument &document, uint64_t number, const JournalLimits &limits)
{
    const uint64_t nextFree = nextFreeNumber(document);
    if (number <= document.highestPruned) {
        return fail(Code::TicketNumberTaken, "numbers up to " + std::to_string(document.highestPruned)
                                                 + " count as used; the next free one is " + std::to_string(nextFree));
    }
    if (number >= nextFree + limits.maxNumberGap) {
        return fail(Code::BadTicket, "number = " + std::to_string(number) + ": allowed is up to "
                                         + std::to_string(nextFree + limits.maxNumberGap - 1)
                                         + "; the next free one is " + std::to_string(nextFree));
    }
    return {};
}

std::string capacityDetail(const Effect &effect)
{
    std::string out;
    for (const auto &it : effect.capacityLosses) {
        out += it + "; ";
    }
    return out + "if this is intended, write allow-capacity-loss = yes under [ticket]";
}

std::string busyDetail(const ControlDocument &document)
{
    const std::string number = std::to_string(document.staged->number);
    return "ticket " + number + " is staged and waits for instances to confirm; see `damaskctl ticket show " + number
           + "`, then submit this one again with the same number";
}

/// Applies the ticket and fills in its consequences.
void planChange(TicketPlan &plan, const ControlDocument &document, const Ticket &ticket)
{
    auto next = applyTicket(document.accepted, ticket);
    if (!next) {
        plan.code = next.error().code;
        plan.detail = next.error().detail;
        return;
    }
    plan.next = std::move(*next);
    plan.diff = diff(document.accepted, plan.next);
    plan.unchanged = unchangedObjects(document.accepted, ticket);
    plan.effect = effectOf(document.accepted, plan.next);
    if (!plan.effect.capacityLosses.empty() && !ticket.allowCapacityLoss) {
        plan.code = Code::TicketLosesCapacity;
        plan.detail = capacityDetail(plan.effect);
    }
}

TicketRecord makeRecord(const Ticket &ticket, int64_t now)
{
    TicketRecord record;
    record.number = ticket.number;
    record.contentHash = contentHash(ticket);
    record.operatorName = ticket.operatorName;
    record.comment = ticket.comment;
    record.submittedAt = now;
    return record;
}

} // namespace

uint64_t nextFreeNumber(const ControlDocument &document)
{
    uint64_t highest = document.highestPruned;
    for (const TicketRecord &it : document.journal) {
        highest = std::max(highest, it.number);
    }
    return highest + 1;
}

Result<TicketRecord> findRecord(const ControlDocument &document, uint64_t number)
{
    for (const TicketRecord &it : document.journal) {
        if (it.number == number) {
            return it;
        }
    }
    const std::string hint = number <= document.highestPruned
                                 ? "records up to " + std::to_string(document.highestPruned) + " may have been pruned"
                                 : "see `damaskctl ticket list`";
    return fail(Code::UnknownTicket, "ticket " + std::to_string(number) + " is not in the journal; " + hint);
}

TicketPlan planTicket(const ControlDocument &document, const Ticket &ticket, const JournalLimits &limits)
{
    TicketPlan plan;
    plan.number = ticket.number;
    planChange(plan, document, ticket);
    const auto record = findRecord(document, ticket.number);
    const auto number = checkNumber(document, ticket.number, limits);
    if (record && record->contentHash != contentHash(ticket)) {
        plan.code = Code::TicketNumberTaken;
        plan.detail = "another ticket has number " + std::to_string(ticket.number) + "; the next free one is "
                      + std::to_string(nextFreeNumber(document));
    } else if (!record && !number) {
        plan.code = number.error().code;
        plan.detail = number.error().detail;
    } else if (plan.code == Code::Ok && document.staged && document.staged->number != ticket.number) {
        plan.code = Code::TicketBusy;
        plan.detail = busyDetail(document);
    }
    return plan;
}

TicketDecision decideSubmit(const ControlDocument &document, const Ticket &ticket, int64_t now,
                            const JournalLimits &limits)
{
    const auto existing = findRecord(document, ticket.number);
    if (existing && existing->contentHash == contentHash(ticket)) {
        return {std::nullopt, *existing};
    }
    if (document.staged && !existing) {
        return refuseWithoutRecord(Code::TicketBusy, busyDetail(document));
    }
    TicketPlan plan = planTicket(document, ticket, limits);
    const bool numberRefused = existing || !checkNumber(document, ticket.number, limits);
    if (numberRefused) {
        return refuseWithoutRecord(plan.code, plan.detail);
    }
    TicketRecord record = makeRecord(ticket, now);
    if (plan.code != Code::Ok) {
        record.state = TicketState::Refused;
        record.code = plan.code;
        record.detail = plan.detail;
        record.endedAt = now;
        return appendRecord(document, std::move(record), limits);
    }
    Ticket inverse = inverseTicket(document.accepted, plan.next);
    inverse.number = ticket.number;
    inverse.operatorName = ticket.operatorName;
    record.undo = renderTicket(inverse);
    TicketDecision decision = appendRecord(document, std::move(record), limits);
    decision.next->staged = StagedTicket{ticket.number, std::move(plan.next)};
    return decision;
}

TicketDecision decideAccept(const ControlDocument &document, uint64_t number, int64_t now)
{
    const auto existing = findRecord(document, number);
    if (!existing || existing->state != TicketState::Staged) {
        return {std::nullopt, existing};
    }
    TicketDecision decision{document, existing};
    decision.next->accepted = document.staged->next;
    decision.next->staged.reset();
    TicketRecord *record = findMutableRecord(*decision.next, number);
    record->state = TicketState::Accepted;
    record->revision = decision.next->accepted.revision;
    record->endedAt = now;
    decision.result = *record;
    return decision;
}

TicketDecision decideWithdraw(const ControlDocument &document, uint64_t number, int64_t now)
{
    const auto existing = findRecord(document, number);
    if (existing && (existing->state == TicketState::Accepted || existing->state == TicketState::Refused)) {
        return refuseWithoutRecord(Code::BadTicket,
                                   "ticket " + std::to_string(number)
                                       + (existing->state == TicketState::Refused
                                              ? " was refused and changed nothing"
                                              : " is accepted and can't be withdrawn; undo it with `damaskctl "
                                                "ticket revert-of "
                                                    + std::to_string(number) + "`"));
    }
    if (!existing || existing->state != TicketState::Staged) {
        return {std::nullopt, existing};
    }
    TicketDecision decision{document, existing};
    decision.next->staged.reset();
    decision.next->accepted.revision += 1; // so that effective revisions never decrease
    TicketRecord *record = findMutableRecord(*decision.next, number);
    record->state = TicketState::Withdrawn;
    record->undo.clear();
    record->endedAt = now;
    decision.result = *record;
    return decision;
}

} // namespace damask
