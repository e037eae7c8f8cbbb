#include "control/ticket_decision.h"

#include "config/apply.h"
#include "config/diff.h"

#include <algorithm>

namespace damask {

namespace {

TicketDecision refuseUnkept(Code code, std::string_view detail)
{
    return {std::nullopt, fail(code, detail)};
}

TicketRecord *recordOf(ControlDocument &document, uint64_t number)
{
    const auto it = std::find_if(document.journal.begin(), document.journal.end(),
                                 [number](const TicketRecord &record) { return record.number == number; });
    return it == document.journal.end() ? nullptr : &*it;
}

/// Cut to at most limit bytes, at the end of a line or of a character.
std::string shortened(std::string_view text, size_t limit)
{
    if (text.size() <= limit) {
        return std::string(text);
    }
    size_t end = limit;
    while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0U) == 0x80U) {
        --end;
    }
    return std::string(text.substr(0, end)) + " ...";
}

void cutRecords(ControlDocument &document, const JournalLimits &limits)
{
    auto &journal = document.journal;
    while (journal.size() > limits.records) {
        const auto rank = [](const TicketRecord &it) {
            return it.state == TicketState::Staged ? UINT64_MAX : it.number;
        };
        const auto lowest = std::min_element(journal.begin(), journal.end(),
                                             [&](const auto &a, const auto &b) { return rank(a) < rank(b); });
        document.highestCut = std::max(document.highestCut, lowest->number);
        journal.erase(lowest);
    }
}

void cutUndo(ControlDocument &document, const JournalLimits &limits)
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

TicketDecision keep(const ControlDocument &document, TicketRecord record, const JournalLimits &limits)
{
    TicketDecision decision{document, record};
    record.detail = shortened(record.detail, limits.detailBytes);
    decision.next->journal.push_back(std::move(record));
    cutRecords(*decision.next, limits);
    cutUndo(*decision.next, limits);
    return decision;
}

Result<void> checkNumber(const ControlDocument &document, uint64_t number, const JournalLimits &limits)
{
    const uint64_t free = nextFreeNumber(document);
    if (number <= document.highestCut) {
        return fail(Code::TicketNumberTaken, "numbers up to " + std::to_string(document.highestCut)
                                                 + " count as used; the next free one is " + std::to_string(free));
    }
    if (number >= free + limits.numberGap) {
        return fail(Code::BadTicket, "number = " + std::to_string(number) + ": allowed is up to "
                                         + std::to_string(free + limits.numberGap - 1) + "; the next free one is "
                                         + std::to_string(free));
    }
    return {};
}

std::string capacityDetail(const Effect &effect)
{
    std::string out;
    for (const auto &it : effect.losesAll) {
        out += it + "; ";
    }
    return out + "if that is meant, write allow-capacity-loss = yes under [ticket]";
}

std::string busyDetail(const ControlDocument &document)
{
    const std::string number = std::to_string(document.staged->number);
    return "ticket " + number + " is staged and waits for instances; see `damaskctl ticket show " + number
           + "`, then submit this one again with the same number";
}

/// Applies the ticket and fills in what it would do.
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
    plan.effect = effectOf(document.accepted, plan.next);
    if (!plan.effect.losesAll.empty() && !ticket.allowCapacityLoss) {
        plan.code = Code::TicketLosesCapacity;
        plan.detail = capacityDetail(plan.effect);
    }
}

TicketRecord recordFor(const Ticket &ticket, int64_t now)
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
    uint64_t highest = document.highestCut;
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
    const std::string cut = number <= document.highestCut ? "it may have been: records up to "
                                                                + std::to_string(document.highestCut) + " may be cut"
                                                          : "see `damaskctl ticket list`";
    return fail(Code::UnknownTicket, "ticket " + std::to_string(number) + " is not in the journal; " + cut);
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
    const auto there = findRecord(document, ticket.number);
    if (there && there->contentHash == contentHash(ticket)) {
        return {std::nullopt, *there};
    }
    if (document.staged && !there) {
        return refuseUnkept(Code::TicketBusy, busyDetail(document));
    }
    TicketPlan plan = planTicket(document, ticket, limits);
    const bool numberWrong = there || !checkNumber(document, ticket.number, limits);
    if (numberWrong) {
        return refuseUnkept(plan.code, plan.detail);
    }
    TicketRecord record = recordFor(ticket, now);
    if (plan.code != Code::Ok) {
        record.state = TicketState::Refused;
        record.code = plan.code;
        record.detail = plan.detail;
        record.endedAt = now;
        return keep(document, std::move(record), limits);
    }
    Ticket back = ticketBack(document.accepted, plan.next);
    back.number = ticket.number;
    back.operatorName = ticket.operatorName;
    record.undo = renderTicket(back);
    TicketDecision decision = keep(document, std::move(record), limits);
    decision.next->staged = StagedTicket{ticket.number, std::move(plan.next)};
    return decision;
}

TicketDecision decideAccept(const ControlDocument &document, uint64_t number, int64_t now)
{
    const auto there = findRecord(document, number);
    if (!there || there->state != TicketState::Staged) {
        return {std::nullopt, there};
    }
    TicketDecision decision{document, there};
    decision.next->accepted = document.staged->next;
    decision.next->staged.reset();
    TicketRecord *record = recordOf(*decision.next, number);
    record->state = TicketState::Accepted;
    record->revision = decision.next->accepted.revision;
    record->endedAt = now;
    decision.answer = *record;
    return decision;
}

TicketDecision decideWithdraw(const ControlDocument &document, uint64_t number, int64_t now)
{
    const auto there = findRecord(document, number);
    if (there && (there->state == TicketState::Accepted || there->state == TicketState::Refused)) {
        return refuseUnkept(Code::BadTicket,
                            "ticket " + std::to_string(number)
                                + (there->state == TicketState::Refused
                                       ? " was refused and changed nothing"
                                       : " is accepted and can't be withdrawn; go back with `damaskctl "
                                         "ticket revert-of "
                                             + std::to_string(number) + "`"));
    }
    if (!there || there->state != TicketState::Staged) {
        return {std::nullopt, there};
    }
    TicketDecision decision{document, there};
    decision.next->staged.reset();
    decision.next->accepted.revision += 1; // so that effective revisions never go back
    TicketRecord *record = recordOf(*decision.next, number);
    record->state = TicketState::Withdrawn;
    record->undo.clear();
    record->endedAt = now;
    decision.answer = *record;
    return decision;
}

} // namespace damask
