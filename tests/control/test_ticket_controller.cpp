#include "control/effective_configuration.h"
#include "control/ticket_controller.h"
#include "fakes/fake_document_store.h"
#include "fakes/tickets.h"

#include <criterion/criterion.h>

using namespace damask;
using namespace damask::fakes;

namespace {

struct Fixture {
    ~Fixture()
    {
        cr_assert(store.encodingMismatches == 0);
    }

    Metrics metrics;
    FakeDocumentStore store;
    std::vector<InstanceView> instances;
    TicketController controller{metrics,
                                store.hooks(),
                                {[] { return int64_t{1000}; },
                                 [this] {
                                     return instances;
                                 }}};

    Result<TicketRecord> submit(std::string_view text)
    {
        return controller.submit(text, "t.ini");
    }

    void submitAndAccept(std::string_view text)
    {
        const auto record = submit(text);
        cr_assert(record.has_value(), "%s", record ? "" : record.error().detail.c_str());
        cr_assert(record->state == TicketState::Staged, "%s", record->detail.c_str());
        cr_assert(controller.accept(record->number)->state == TicketState::Accepted);
    }
};

} // namespace

Test(ticket_controller, a_ticket_is_staged_then_accepted)
{
    Fixture it;
    it.submitAndAccept(firstTicket());
    cr_assert(it.store.document.document.accepted.revision == 1);
    cr_assert(it.controller.show(1)->record.state == TicketState::Accepted);
    cr_assert(it.controller.list()->nextFreeNumber == 2);
}

Test(ticket_controller, resubmission_returns_the_same_record_and_other_content_is_refused)
{
    Fixture it;
    it.submitAndAccept(firstTicket());
    const int writes = it.store.writes;
    cr_assert(it.submit(firstTicket() + "; a comment in the file\n")->state == TicketState::Accepted);
    cr_assert(it.submit(poolTicket(1, 1, DrainB)).error().code == Code::TicketNumberTaken);
    cr_assert(it.store.writes == writes);
}

Test(ticket_controller, second_of_two_tickets_based_on_the_same_version_is_stale)
{
    Fixture it;
    it.submitAndAccept(firstTicket());
    cr_assert(it.submit(poolTicket(2, 1, DrainB))->state == TicketState::Staged);
    cr_assert(it.submit(poolTicket(3, 1, TwoTargets)).error().code == Code::TicketBusy);
    it.controller.accept(2);
    const auto loser = it.submit(poolTicket(3, 1, TwoTargets));
    cr_assert(loser->state == TicketState::Refused);
    cr_assert(loser->code == Code::StaleTicket);
    cr_assert(loser->detail.find("based on version 1, but the object is at version 2") != std::string::npos, "%s",
              loser->detail.c_str());
    cr_assert(loser->detail.find("~ pool listings: target b1") != std::string::npos);
}

Test(ticket_controller, a_lost_write_response_is_resolved_by_reading_back)
{
    Fixture it;
    it.store.faults = {SwapFault::AppliedLost};
    cr_assert(it.submit(firstTicket())->state == TicketState::Staged);
    cr_assert(it.store.writes == 1);
    it.store.faults = {SwapFault::AppliedLost};
    cr_assert(it.controller.accept(1)->state == TicketState::Accepted);
    cr_assert(it.store.writes == 2);
    cr_assert(it.store.document.document.accepted.revision == 1);
}

Test(ticket_controller, a_write_in_flight_is_never_repeated)
{
    Fixture it;
    it.store.faults = {SwapFault::Delayed};
    cr_assert(it.submit(firstTicket()).error().code == Code::StoreUnknown);
    cr_assert(it.store.writes == 0);
    it.store.deliver();
    cr_assert(it.submit(firstTicket())->state == TicketState::Staged);
    cr_assert(it.store.writes == 1);
}

Test(ticket_controller, a_delayed_write_takes_effect_once_when_submitted_again)
{
    Fixture it;
    it.store.faults = {SwapFault::Delayed};
    it.submit(firstTicket());
    cr_assert(it.submit(firstTicket())->state == TicketState::Staged);
    it.store.deliver();
    cr_assert(it.store.writes == 1);
    cr_assert(it.store.document.document.journal.size() == 1);
}

Test(ticket_controller, a_conflict_is_retried_and_an_unavailable_store_changes_nothing)
{
    Fixture it;
    it.store.faults = {SwapFault::Conflict, SwapFault::Conflict};
    cr_assert(it.submit(firstTicket())->state == TicketState::Staged);
    cr_assert(it.metrics.text().find("damask_ticket_retries_total{code=\"StoreConflict\"} 2") != std::string::npos);
    it.store.down = true;
    cr_assert(it.controller.accept(1).error().code == Code::StoreUnavailable);
    it.store.down = false;
    cr_assert(it.controller.show(1)->record.state == TicketState::Staged);
}

Test(ticket_controller, repeated_conflicts_end_in_an_error)
{
    Fixture it;
    it.store.faults.assign(100, SwapFault::Conflict);
    cr_assert(it.submit(firstTicket()).error().code == Code::StoreConflict);
}

Test(ticket_controller, a_malformed_ticket_is_refused_and_counted_and_keeps_its_number_free)
{
    Fixture it;
    cr_assert(it.submit("[ticket]\nnumber = 1\n").error().code == Code::BadTicket);
    cr_assert(it.metrics.text().find("damask_ticket_refusals_total{code=\"BadTicket\"} 1") != std::string::npos);
    cr_assert(it.submit(firstTicket())->state == TicketState::Staged);
}

Test(ticket_controller, a_corrupt_document_is_rejected)
{
    Fixture it;
    it.submitAndAccept(firstTicket());
    it.store.document.document.staged = StagedTicket{9, {}};
    cr_assert(it.submit(poolTicket(2, 1, DrainB)).error().code == Code::BadConfiguration);
    cr_assert(it.controller.list().error().code == Code::BadConfiguration);
}

Test(ticket_controller, capacity_loss_needs_permission_in_the_ticket)
{
    Fixture it;
    it.submitAndAccept(firstTicket());
    const auto refused = it.submit(poolTicket(2, 1, DrainBoth));
    cr_assert(refused->code == Code::TicketLosesCapacity);
    cr_assert(refused->detail.find("write allow-capacity-loss = yes") != std::string::npos);
    cr_assert(it.submit(poolTicket(2, 1, DrainBoth))->code == Code::TicketLosesCapacity);
    std::string permitted = poolTicket(3, 1, DrainBoth);
    permitted.insert(permitted.find("operator"), "allow-capacity-loss = yes\n");
    cr_assert(it.submit(permitted)->state == TicketState::Staged);
}

Test(ticket_controller, check_reports_what_submit_would_return_and_changes_nothing)
{
    Fixture it;
    it.submitAndAccept(firstTicket());
    const int writes = it.store.writes;
    cr_assert(it.controller.check(poolTicket(2, 1, DrainB), "t")->code == Code::Ok);
    cr_assert(it.controller.check(poolTicket(1, 1, DrainB), "t")->code == Code::TicketNumberTaken);
    cr_assert(it.controller.check(poolTicket(2, 1, DrainBoth), "t")->code == Code::TicketLosesCapacity);
    cr_assert(it.controller.check(poolTicket(2, 7, DrainB), "t")->code == Code::StaleTicket);
    it.submit(poolTicket(2, 1, DrainB));
    cr_assert(it.controller.check(poolTicket(3, 1, DrainB), "t")->code == Code::TicketBusy);
    cr_assert(it.store.writes == writes + 1);
}

Test(ticket_controller, a_withdrawn_ticket_changes_nothing_and_never_lowers_the_effective_revision)
{
    Fixture it;
    it.submitAndAccept(firstTicket());
    it.submit(poolTicket(2, 1, DrainB));
    const uint64_t staged = effectiveRevision(it.store.document.document);
    cr_assert(it.controller.withdraw(2)->state == TicketState::Withdrawn);
    cr_assert(it.controller.withdraw(2)->state == TicketState::Withdrawn);
    cr_assert(effectiveRevision(it.store.document.document) > staged);
    cr_assert(it.controller.accept(2)->state == TicketState::Withdrawn);
    cr_assert(it.controller.withdraw(1).error().code == Code::BadTicket);
    cr_assert(it.controller.withdraw(5).error().code == Code::UnknownTicket);
    cr_assert(it.submit(poolTicket(3, 1, DrainB))->state == TicketState::Staged);
}

Test(ticket_controller, a_number_beyond_the_allowed_gap_is_refused)
{
    Fixture it;
    it.submitAndAccept(firstTicket());
    const auto far = it.submit(poolTicket(20261204, 1, DrainB));
    cr_assert(far.error().detail.find("allowed is up to 1001; the next free one is 2") != std::string::npos);
}

Test(ticket_controller, the_journal_is_bounded_and_a_pruned_number_stays_used)
{
    Fixture it;
    TicketController small(it.metrics, it.store.hooks(), {[] { return int64_t{1}; }, {}}, {.limits = {.records = 3}});
    small.submit(firstTicket(), "t");
    small.accept(1);
    for (int n = 2; n < 8; ++n) {
        small.submit(poolTicket(n, n - 1, DrainB), "t");
        small.accept(static_cast<uint64_t>(n));
    }
    cr_assert(small.list()->records.size() == 3);
    cr_assert(small.submit(poolTicket(2, 7, DrainB), "t").error().code == Code::TicketNumberTaken);
    cr_assert(small.show(2).error().detail.find("may have been pruned") != std::string::npos);
    cr_assert(small.submit(poolTicket(8, 7, DrainB), "t")->state == TicketState::Staged);
}

Test(ticket_controller, revert_names_later_changes_and_is_refused_without_the_undo_text)
{
    Fixture it;
    it.submitAndAccept(firstTicket());
    it.submitAndAccept(poolTicket(2, 1, DrainB));
    it.submitAndAccept(poolTicket(3, 2, TwoTargets));
    const std::string back = *it.controller.revertOf(2);
    cr_assert(back.find("; Changed since by later tickets, whose changes this undoes too: pool listings") == 0);
    cr_assert(back.find("based-on = 3") != std::string::npos);
    cr_assert(it.controller.revertOf(9).error().code == Code::UnknownTicket);
    it.store.document.document.journal.front().undo.clear();
    cr_assert(it.controller.revertOf(1).error().detail.find("no longer kept") != std::string::npos);
}

Test(effective, an_older_document_never_replaces_a_newer_one)
{
    Fixture it;
    it.submitAndAccept(firstTicket());
    const ControlDocument old = it.store.document.document;
    it.submit(poolTicket(2, 1, DrainB));
    const ControlDocument staged = it.store.document.document;
    cr_assert(effectiveConfiguration(staged).revision == 3);
    cr_assert(effectiveConfiguration(staged).pools.front().targets.back().draining);
    cr_assert(checkNotOlder(3, old).error().code == Code::OlderRevision);
    cr_assert(checkNotOlder(2, staged).has_value());
}

Test(accept, every_instance_that_may_serve_has_to_confirm)
{
    Fixture it;
    it.submitAndAccept(firstTicket());
    it.submit(poolTicket(2, 1, DrainB));
    const ControlDocument &staged = it.store.document.document;
    using namespace std::chrono_literals;
    const InstanceView confirmed{.name = "e1", .confirmedRevision = 3};
    const InstanceView behind{.name = "e2", .confirmedRevision = 2};
    const InstanceView partitioned{.name = "e3", .listed = true, .leaseHeld = false, .lapsedFor = 1h};
    const InstanceView lapsed{.name = "e4", .listed = false, .leaseHeld = false, .lapsedFor = 1s};
    const InstanceView gone{.name = "e5", .listed = false, .leaseHeld = false, .lapsedFor = 1min};
    const auto decide = [&](std::vector<InstanceView> views) {
        return decideAcceptance(staged, views);
    };
    cr_assert(decide({confirmed}).accept);
    cr_assert(!decide({}).accept);
    cr_assert(!decide({gone}).accept);
    cr_assert(decide({confirmed, gone}).accept);
    cr_assert(decide({confirmed, gone}).passedOver.size() == 1);
    cr_assert(!decide({confirmed, behind}).accept);
    cr_assert(!decide({confirmed, lapsed}).accept);
    const AcceptDecision held = decide({partitioned, confirmed});
    cr_assert(!held.accept);
    cr_assert(held.waiting.front().name == "e3");
    cr_assert(held.waiting.front().why.find("may be partitioned") != std::string::npos);
}
