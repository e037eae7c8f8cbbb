// damaskctl's command line, waiting and exit codes, against a fake of the operators' port.

#include "programs/damaskctl/advice.h"
#include "programs/damaskctl/commands.h"
#include "programs/damaskctl/render.h"
#include "startup/program.h"

#include <criterion/criterion.h>
#include <deque>

using namespace damask;
using namespace std::chrono_literals;

namespace {

struct FakePort {
    Result<FetchResponse> fetch(const FetchRequest &ask)
    {
        asks.push_back(ask);
        if (answers.empty()) {
            return fail(Code::PeerUnavailable, "connection refused");
        }
        auto answer = answers.front();
        answers.pop_front();
        return answer;
    }

    int run(std::vector<std::string> words)
    {
        const auto line = parseCommandLine(words);
        cr_assert(line.has_value(), "%s", line ? "" : line.error().detail.c_str());
        CommandHooks hooks;
        hooks.fetch = [this](const FetchRequest &ask) {
            return fetch(ask);
        };
        hooks.readFile = [this](std::string_view path) {
            return path == "missing" ? Result<std::string>(fail(Code::SystemError, "missing: cannot be opened"))
                                     : Result<std::string>(path == "token" ? "secret\n" : "text of the ticket");
        };
        hooks.print = [this](std::string_view text) {
            out += text;
        };
        hooks.printError = [this](std::string_view text) {
            errors += text;
        };
        hooks.wallClock = [] {
            return int64_t{10'000};
        };
        hooks.pollInterval = 1ns;
        Clock clock;
        return runCommand(clock, *line, hooks);
    }

    std::deque<Result<FetchResponse>> answers;
    std::vector<FetchRequest> asks;
    std::string out;
    std::string errors;
};

FetchResponse ticketAnswer(std::string_view state, int code = 0)
{
    return {code == 0 ? 200 : 409, "{\"number\": 3, \"state\": \"" + std::string(state) + "\", \"code\": "
                                       + std::to_string(code) + ", \"name\": \"x\", \"detail\": \"because\"}"};
}

std::string usageError(std::vector<std::string> words)
{
    const auto line = parseCommandLine(words);
    return line ? "" : line.error().detail;
}

} // namespace

Test(damaskctl, usage_errors_name_the_next_step)
{
    cr_assert(usageError({"ticket", "shw", "3"}).find("damaskctl --help") != std::string::npos);
    cr_assert(usageError({"ticket", "show", "three"}).find("damaskctl ticket list") != std::string::npos);
    cr_assert(usageError({"ticket", "show", "0"}).find("needs the number of a ticket") != std::string::npos);
    cr_assert(usageError({"status", "--keeper=keeper:1"}).find("needs an IP address and a port") != std::string::npos);
    cr_assert(usageError({"status", "--keeper=127.0.0.1:0"}).find("needs an IP address and a port")
              != std::string::npos);
    cr_assert(usageError({"ticket", "submit", "f", "--wait=3"}).find("needs a number and a unit") != std::string::npos);
    cr_assert(!usageError({"why"}).empty());
    cr_assert(parseCommandLine(std::vector<std::string>{"--help"})->verb == Verb::Help);
}

Test(damaskctl, submit_waits_until_the_ticket_has_ended_and_names_pending_instances)
{
    FakePort it;
    const FetchResponse shown{200, R"({"state": "staged", "waiting": [{"instance": "e7", "why": "cut", "since": 1}]})"};
    it.answers = {ticketAnswer("staged"), ticketAnswer("staged"), shown, ticketAnswer("accepted")};
    cr_assert(it.run({"ticket", "submit", "f.ini", "--wait=10min"}) == ExitOk);
    cr_assert(it.errors == "waiting for: e7\n");
    cr_assert(it.out.find("accepted") != std::string::npos);
    cr_assert(it.asks.front().path == "/tickets?source=f.ini");
    cr_assert(it.asks.front().body == "text of the ticket");
}

Test(damaskctl, submit_retries_while_another_ticket_is_staged)
{
    FakePort it;
    it.answers = {ticketAnswer("", 409), ticketAnswer("accepted")};
    cr_assert(it.run({"ticket", "submit", "f", "--wait=10min"}) == ExitOk);
    it.answers = {ticketAnswer("", 409)};
    cr_assert(it.run({"ticket", "submit", "f"}) == ExitFailed);
    cr_assert(it.errors.find("submit the same ticket again once the other has ended") != std::string::npos);
}

Test(damaskctl, lost_answer_means_unknown_outcome_and_resending_is_safe)
{
    FakePort it;
    it.answers = {fail(Code::StoreUnknown, "no answer"), ticketAnswer("accepted")};
    cr_assert(it.run({"ticket", "submit", "f", "--wait=10min"}) == ExitOk);
    cr_assert(it.asks.size() == 2 && it.asks[0].body == it.asks[1].body);
    it.answers = {fail(Code::StoreUnknown, "no answer")};
    cr_assert(it.run({"ticket", "submit", "f"}) == ExitOutcomeUnknown);
    cr_assert(it.errors.find("it takes effect once") != std::string::npos);
}

Test(damaskctl, exit_codes_tell_failures_apart)
{
    FakePort it;
    cr_assert(it.run({"ticket", "list"}) == ExitNotReached);
    cr_assert(it.run({"ticket", "submit", "missing"}) == ExitSettings);
    it.answers = {ticketAnswer("staged")};
    cr_assert(it.run({"ticket", "submit", "f"}) == ExitStillWaiting);
    it.answers = {FetchResponse{200, R"({"code": 404, "name": "TicketLosesCapacity", "diff": [], "effect": []})"}};
    cr_assert(it.run({"ticket", "check", "f"}) == ExitFailed);
    cr_assert(it.out.find("The ticket would be refused: TicketLosesCapacity (404)") != std::string::npos);
}

Test(damaskctl, token_is_sent_and_why_asks_the_entry)
{
    FakePort it;
    it.answers = {FetchResponse{200, "{}"}};
    cr_assert(it.run({"why", "--request=a b", "--token-file=token", "--entry=127.0.0.1:9"}) == ExitOk);
    cr_assert(it.asks.front().token == "secret");
    cr_assert(it.asks.front().path == "/why?request=a%20b");
    cr_assert(it.asks.front().to.port == 9);
}

Test(damaskctl, why_prints_each_call_and_attempt)
{
    const std::string text =
        renderCallTraces(R"([{"requestId": "r1", "service": "s", "rule": "all", "revision": 4, "outcome": "answered",
                       "allowedMs": 2000, "tookMs": 21.25, "attempts": [{"target": "p/a", "end": "answered",
                       "waitedMs": 0.5, "elapsedMs": 20}]}, 7])");
    cr_assert(text
                  == "call r1: answered after 21.2 ms of 2000.0 ms, service s by rule all, effective revision 4\n"
                     "  p/a: answered, waited 0.5 ms for a slot, took 20.0 ms\n",
              "%s", text.c_str());
    cr_assert(renderCallTraces(R"([{"requestId": "r2", "outcome": "not run", "code": 104, "codeName": "QueueFull"}])")
                  .starts_with("call r2: not run QueueFull after"));
    cr_assert(renderCallTraces("[]").find("no such call") == 0);
}

Test(damaskctl, malformed_json_answers_are_handled)
{
    FakePort it;
    it.answers = {FetchResponse{500, "<html>"}, FetchResponse{200, "[1]"}, FetchResponse{200, "\xff"}};
    cr_assert(it.run({"ticket", "list"}) == ExitFailed);
    cr_assert(it.run({"ticket", "show", "1"}) == ExitOk);
    cr_assert(it.run({"ticket", "check", "f"}) == ExitOk);
}

Test(damaskctl, all_ticket_and_store_codes_have_advice)
{
    for (const CodeInfo &it : codeTable()) {
        const int hundred = codeNumber(it.code) / 100;
        const bool store = it.code >= Code::StoreUnavailable && it.code <= Code::StoreUnknown;
        cr_assert((hundred != 4 && !store) || !adviceFor(it.code).empty(), "%s", std::string(it.name).c_str());
    }
    cr_assert(renderCodes().find("402  StaleTicket") != std::string::npos);
}
