// End to end: damaskctl's command line through HTTP and the keeper's routes to a store, and back to text.

#include "fakes/fake_document_store.h"
#include "fakes/tickets.h"
#include "programs/damask-keeper/ticket_routes.h"
#include "programs/damaskctl/commands.h"
#include "startup/program.h"

#include <criterion/criterion.h>

using namespace damask;
using namespace damask::fakes;

namespace {

struct PathFixture {
    PathFixture()
    {
        addTicketRoutes(server, ticketController);
        cr_assert(server.start().has_value());
    }

    int run(std::vector<std::string> words, std::string_view file = {})
    {
        words.push_back("--keeper=127.0.0.1:" + std::to_string(server.port()));
        out.clear();
        const auto line = parseCommandLine(words);
        cr_assert(line.has_value(), "%s", line ? "" : line.error().detail.c_str());
        CommandHooks hooks;
        hooks.fetch = [this](const FetchRequest &ask) {
            return fetchOverHttp(clock, ask);
        };
        hooks.readFile = [file](std::string_view) {
            return Result<std::string>(std::string(file));
        };
        hooks.print = hooks.printError = [this](std::string_view text) {
            out += text;
        };
        hooks.wallClock = [] {
            return int64_t{5000};
        };
        return runCommand(clock, *line, hooks);
    }

    bool says(std::string_view text) const
    {
        return out.find(text) != std::string::npos;
    }

    Clock clock;
    Metrics metrics;
    FakeDocumentStore store;
    std::vector<InstanceView> instances{{.name = "e1", .confirmedRevision = 0}};
    TicketController ticketController{metrics,
                                      store.hooks(),
                                      {[] { return int64_t{1000}; },
                                       [this] {
                                           return instances;
                                       }}};
    OperateServer server{{}};
    std::string out;
};

} // namespace

Test(damaskctl_path, ticket_from_check_to_accepted)
{
    PathFixture it;
    cr_assert(it.run({"ticket", "check", "t.ini"}, firstTicket()) == ExitOk, "%s", it.out.c_str());
    cr_assert(it.says("+ pool listings") && it.says("The ticket would be accepted"), "%s", it.out.c_str());
    cr_assert(it.run({"ticket", "submit", "t.ini"}, firstTicket()) == ExitStillWaiting, "%s", it.out.c_str());
    cr_assert(it.run({"ticket", "show", "1"}) == ExitOk);
    cr_assert(it.says("staged") && it.says("waiting for e1 for 4 s"), "%s", it.out.c_str());
    it.ticketController.accept(1);
    cr_assert(it.run({"ticket", "show", "1"}) == ExitOk);
    cr_assert(it.says("accepted") && it.says("revision   1"), "%s", it.out.c_str());
    cr_assert(it.run({"ticket", "list"}) == ExitOk);
    cr_assert(it.says("next free number 2"));
}

Test(damaskctl_path, revert_of_gives_a_ticket_that_can_be_submitted)
{
    PathFixture it;
    it.run({"ticket", "submit", "t.ini"}, firstTicket());
    it.ticketController.accept(1);
    it.run({"ticket", "submit", "t.ini"}, poolTicket(2, 1, DrainB));
    it.ticketController.accept(2);
    cr_assert(it.run({"ticket", "check", "t.ini"}, poolTicket(3, 2, DrainB)) == ExitOk);
    cr_assert(it.says("leave them out, so that other tickets stay valid:\n  pool listings\n"), "%s", it.out.c_str());
    cr_assert(it.run({"ticket", "revert-of", "2"}) == ExitOk);
    const std::string back = it.out;
    cr_assert(it.run({"ticket", "diff", "-"}, back) == ExitOk);
    cr_assert(it.says("draining=yes -> 127.0.0.1:8002 data-centre=be1 slots=3 draining=no"), "%s", it.out.c_str());
    cr_assert(it.run({"ticket", "submit", "-"}, back) == ExitStillWaiting, "%s", it.out.c_str());
}

Test(damaskctl_path, refusal_names_code_line_and_advice)
{
    PathFixture it;
    cr_assert(it.run({"ticket", "submit", "t.ini"}, "[ticket]\nnumber = 1\n") == ExitFailed);
    cr_assert(it.says("BadTicket (401)") && it.says("t.ini:1: [ticket] operator is missing") && it.says("What to do: "),
              "%s", it.out.c_str());
    it.store.down = true;
    cr_assert(it.run({"ticket", "submit", "t.ini"}, firstTicket()) == ExitFailed);
    cr_assert(it.says("StoreUnavailable (601)"), "%s", it.out.c_str());
    cr_assert(it.run({"ticket", "show", "77"}) == ExitFailed);
}
