// MIXED: an answer of a worker whose head is broken reaches no caller as an answer, and a health check like that counts
// as failed.
#include "fakes/broken_heads.h"
#include "fakes/call_path.h"
#include "fakes/raw_caller.h"

#include <criterion/criterion.h>

using namespace damask;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view Sealed = "X-Request-Id: r-1\r\nX-Response-Seal: s\r\n";
constexpr std::string_view Healthy = "X-Instance-Id: i-1\r\nX-Server-Load: 3,2,6\r\nServer-Leaving: 1\r\n";
constexpr std::string_view Body = "whole";

Configuration callsTo(const FakeTarget &target)
{
    Configuration out;
    out.revision = 1;
    out.services.push_back({.name = "records", .pool = "records", .deadline = 5s, .connectionShare = 8});
    out.rules.push_back(
        {.name = "all", .prefix = "/", .service = "records", .idempotency = Idempotency::Never, .maxAttempts = 2});
    Target worker{"i-1", "127.0.0.1", target.port(), "z", 8};
    worker.instance = worker.name;
    out.pools.push_back({"records", 1, {worker}});
    return out;
}

RawResponse callerGets(const FakeTarget &target)
{
    const CallPath path(callsTo(target));
    RawCaller caller(path.front.port());
    const RawResponse got = caller.ask(getRequest("/x", "X-Request-Id: r-1\r\nX-Deadline-Ms: 120000\r\n"));
    caller.resetConnection(); // leaves no port occupied
    return got;
}

void expectNoAnswer(std::span<const BrokenResponse> responses)
{
    const FakeTarget target(inTurn(responses));
    for (const BrokenResponse &it : responses) {
        const RawResponse got = callerGets(target);
        cr_assert(got.status == 502, "%d for %s", got.status, it.what.c_str());
        cr_assert(got.field("X-Response-Seal").empty() && got.body.find(Body) == std::string::npos, "%s",
                  it.what.c_str());
    }
}

} // namespace

// The counterpart of the tests below: strictness must not cost an answer that is valid.
Test(broken_answers, a_sound_answer_of_each_framing_is_delivered)
{
    for (const std::string &rest : framedResponses(Sealed, {}, Body)) {
        for (const std::string_view before : {std::string_view(), InterimResponse}) {
            const FakeTarget target([&](int, const std::string &) {
                return FakeReply{.bytes = std::string(before) + "HTTP/1.1 200 OK\r\n" + rest, .close = true};
            });
            const RawResponse got = callerGets(target);
            cr_assert(got.status == 200 && got.body == Body && got.field("X-Response-Seal") == "s", "%d for %s",
                      got.status, printable(rest).c_str());
        }
    }
}

Test(broken_answers, a_status_that_does_not_exist_is_no_answer)
{
    expectNoAnswer(endedEachWay(brokenStatuses(Sealed, Body)));
}

// The caller got the line passed on, or a body that was framed by it.
Test(broken_answers, a_blank_or_a_control_byte_in_the_name_of_a_field_makes_it_no_answer)
{
    expectNoAnswer(closedAfter(brokenFieldNames(Sealed, Body)));
}

// The caller got a 200 with an empty or a short body.
Test(broken_answers, a_head_that_stops_at_any_byte_is_no_answer)
{
    expectNoAnswer(endedEachWay(truncatedHeads(Sealed, Body)));
}

// ORDER: the answers behind one that is broken keep their places.
Test(broken_answers, pipelined_requests_behind_one_get_their_own_answers)
{
    const std::string heads[] = {"HTTP/1.1 200 OK\r\nContent-Len", "HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole",
                                 "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 5\r\n\r\nwhole"};
    for (const std::string &head : heads) {
        FakeTarget target([&](int, const std::string &request) {
            const bool broken = request.starts_with("GET /broken ");
            const size_t at = request.find("X-Request-Id: ");
            const std::string id = request.substr(at, request.find("\r\n", at) - at + 2);
            return FakeReply{broken ? head : completeResponse("own", id + "X-Response-Seal: s\r\n"), broken};
        });
        const CallPath path(callsTo(target), {.pipelineLimit = 4});
        RawCaller caller(path.front.port());
        const std::string fields = "X-Deadline-Ms: 120000\r\nX-Request-Id: ";
        caller.send(getRequest("/x", fields + "r-1\r\n") + getRequest("/broken", fields + "r-2\r\n")
                    + getRequest("/x", fields + "r-3\r\n"));
        for (const std::string_view id : {"r-1", "r-2", "r-3"}) {
            const RawResponse got = caller.receive();
            cr_assert(got.status == (id == "r-2" ? 502 : 200) && got.field("X-Request-Id") == id, "%d %s", got.status,
                      got.head.c_str());
            cr_assert(id == "r-2" || got.body == "own");
        }
    }
}

// A worker was taken for leaving, for healthy, or for one that had refused.
Test(broken_answers, they_prove_nothing_about_an_attempt_nor_about_health)
{
    Clock clock;
    Metrics metrics;
    CancelToken cancel;
    Sender sender(clock, metrics, {}, platform::targetForm());
    TargetAddress address{
        .name = "s/i-1", .address = "127.0.0.1", .connectionShare = 4, .instance = "i-1", .healthPath = "/"};
    const CallRequest request{.method = "PUT", .path = "/x", .host = "a", .requestId = "r-1"};
    const auto answers = brokenResponses(std::string(Sealed) + std::string(Healthy), Body);
    const FakeTarget worker(inTurn(answers));
    address.port = worker.port();
    for (const BrokenResponse &it : answers) {
        const AttemptResult got =
            sender.send({.address = address, .request = request, .timeLeft = 120s, .cancel = &cancel});
        cr_assert(got.end == AttemptEnd::Lost && !got.notice.leaving, "%s", it.what.c_str());
    }
    const auto reports = brokenResponses(Healthy, {});
    const FakeTarget probedWorker(inTurn(reports));
    address.port = probedWorker.port();
    const auto probed = std::make_shared<const TargetAddress>(address);
    for (const BrokenResponse &it : reports) {
        const ProbeResult got = sender.ask({&probed, 1}, 120s).at(0);
        cr_assert(!got.report && !got.notice.leaving, "%s", it.what.c_str());
    }
}
