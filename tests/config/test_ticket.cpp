#include "config/apply.h"
#include "config/ticket.h"
#include "fakes/tickets.h"

#include <criterion/criterion.h>

using namespace damask;

static std::string errorsOf(std::string_view text)
{
    const auto ticket = parseTicket(text, "t.ini");
    return ticket ? "" : ticket.error().detail;
}

static void expectError(std::string_view text, std::string_view part)
{
    const std::string errors = errorsOf(text);
    cr_assert(errors.find(part) != std::string::npos, "lacks %s: %s", std::string(part).c_str(), errors.c_str());
}

Test(ticket, a_complete_ticket_is_parsed)
{
    const auto ticket = parseTicket(fakes::firstTicket(), "t.ini");
    cr_assert(ticket.has_value(), "%s", ticket ? "" : ticket.error().detail.c_str());
    cr_assert(ticket->number == 1);
    cr_assert(ticket->operatorName == "rosa");
    cr_assert(ticket->pools.front().next.targets.size() == 2);
    cr_assert(ticket->pools.front().next.targets.front().slots == 6);
    cr_assert(ticket->links.front().next.delay == std::chrono::milliseconds(8));
}

Test(ticket, a_rendered_ticket_parses_to_the_same_content)
{
    const auto ticket = parseTicket(fakes::firstTicket(), "t.ini");
    const std::string text = renderTicket(*ticket);
    const auto again = parseTicket(text, "t.ini");
    cr_assert(again.has_value());
    cr_assert(renderTicket(*again) == text);
    cr_assert(contentHash(*again) == contentHash(*ticket));
}

Test(ticket, all_errors_come_at_once_with_line_field_and_what_is_allowed)
{
    const std::string text = "[ticket]\nnumber = x\noperator = rosa\n[pol listings]\nbased-on = 0\n"
                             "[service s]\nbased-on = 0\npool = p\nqueue-limt = 3\nretry-ratio = 2\n"
                             "[pool p]\ntarget-a = nowhere\n";
    expectError(text, "t.ini:2: number = x: allowed is a whole number from 1 to");
    expectError(text, "t.ini:4: unknown section [pol]");
    expectError(text, "nearest is [pool]");
    expectError(text, "t.ini:9: unknown key queue-limt; nearest is queue-limit");
    expectError(text, "t.ini:10: retry-ratio = 2: allowed is a number from 0 to 1");
    expectError(text, "t.ini:11: [pool p] based-on is missing");
    expectError(text, "t.ini:12: target-a = nowhere: allowed is IP:PORT first");
}

Test(ticket, missing_and_duplicate_parts_are_errors)
{
    expectError("", "[ticket] is missing");
    expectError("[ticket]\nnumber = 1\noperator = a\n", "the ticket changes nothing");
    expectError("[ticket]\noperator = a\n", "number is missing");
    expectError("[ticket]\nnumber = 1\n", "operator is missing");
    expectError("[service s]\nbased-on = 0\n", "[service s] pool is missing");
    expectError("[service s]\nbased-on = 0\nbased-on = 1\n", "t.ini:3: based-on appears twice");
    expectError("[service s]\nbased-on = 2\nremove = yes\npool = p\n", "and nothing else");
    expectError("[service s]\nbased-on = 0\nremove = yes\n", "needs based-on with the current version");
}

Test(ticket, each_attribute_of_a_target_line_is_checked)
{
    const std::string head = "[pool p]\nbased-on = 0\ntarget-a = ";
    expectError(head + "127.0.0.1:0 data-centre=z\n", "IP:PORT first");
    expectError(head + "127.0.0.1:80\n", "data-centre is missing");
    expectError(head + "127.0.0.1:80 data-centre=z slots=0\n", "slots: allowed is 1 to");
    expectError(head + "127.0.0.1:80 data-centre=z draining=1\n", "draining: allowed is yes or no");
    expectError(head + "127.0.0.1:80 data-centre=z slots=1 slots=2\n", "slots appears twice");
    expectError(head + "127.0.0.1:80 data-centre=z wight=1\n", "unknown attribute wight");
}
