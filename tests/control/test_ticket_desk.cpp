#include "control/ticket_desk.h"
#include "fakes/fake_document_store.h"
#include "fakes/tickets.h"

#include <criterion/criterion.h>

using namespace damask;
using namespace damask::fakes;

namespace {

struct Desk {
    Metrics metrics;
    FakeDocumentStore store;
    std::vector<InstanceView> instances;
    TicketDesk desk{metrics,
                    store.hooks(),
                    {[] { return int64_t{1000}; },
                     [this] {
                         return instances;
                     }}};

    Result<TicketRecord> submit(std::string_view text)
    {
        return desk.submit(text, "t.ini");
    }

    void accepted(std::string_view text)
    {
        const auto record = submit(text);
        cr_assert(record.has_value(), "%s", record ? "" : record.error().detail.c_str());
        cr_assert(record->state == TicketState::Staged, "%s", record->detail.c_str());
        cr_assert(desk.accept(record->number)->state == TicketState::Accepted);
    }
};

} // namespace

Test(desk, a_ticket_is_staged_then_accepted)
{
    Desk it;
    it.accepted(firstTicket());
    cr_assert(it.store.document.document.accepted.revision == 1);
    cr_assert(it.desk.show(1)->record.state == TicketState::Accepted);
    cr_assert(it.desk.list()->nextFreeNumber == 2);
}

Test(desk, a_repeat_is_the_same_ticket_and_other_content_is_refused)
{
    Desk it;
    it.accepted(firstTicket());
    const int writes = it.store.writes;
    cr_assert(it.submit(firstTicket() + "; a comment in the file\n")->state == TicketState::Accepted);
    cr_assert(it.submit(poolTicket(1, 1, DrainB)).error().code == Code::TicketNumberTaken);
    cr_assert(it.store.writes == writes);
}

Test(desk, of_two_tickets_built_on_the_same_view_one_wins)
{
    Desk it;
    it.accepted(firstTicket());
    cr_assert(it.submit(poolTicket(2, 1, DrainB))->state == TicketState::Staged);
    cr_assert(it.submit(poolTicket(3, 1, TwoTargets)).error().code == Code::TicketBusy);
    it.desk.accept(2);
    const auto loser = it.submit(poolTicket(3, 1, TwoTargets));
    cr_assert(loser->state == TicketState::Refused);
    cr_assert(loser->code == Code::StaleTicket);
    cr_assert(loser->detail.find("built on version 1, but it is at version 2") != std::string::npos, "%s",
              loser->detail.c_str());
    cr_assert(loser->detail.find("~ pool listings: target b1") != std::string::npos);
}
