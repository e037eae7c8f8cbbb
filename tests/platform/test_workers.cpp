// Requests and health checks to workers of the platform: how each kind of answer is classified.
#include "back/sender.h"
#include "fakes/fake_target.h"
#include "platform/platform.h"

#include <atomic>
#include <criterion/criterion.h>
#include <set>

using namespace damask;
using namespace std::chrono_literals;

namespace {

constexpr Duration MeaningTimeout = 10s; // where a test checks what an answer means, not how soon it comes
constexpr std::string_view SealedHeaders = "X-Request-Id: r-1\r\nX-Response-Seal: s\r\n";

struct SenderFixture {
    explicit SenderFixture(const FakeTarget &target)
        : sender(clock, metrics, {.connectTimeout = 250ms}, platform::targetForm())
        , targetAddress(std::make_shared<TargetAddress>(TargetAddress{.name = "s/i-1",
                                                                      .address = "127.0.0.1",
                                                                      .port = target.port(),
                                                                      .connectionShare = 4,
                                                                      .instance = "i-1",
                                                                      .healthPath = "/health"}))
    {
        request.method = "PUT";
        request.path = "/p/x";
        request.host = "a.example";
        request.requestId = "r-1";
        request.body = "seat=4";
    }
    AttemptResult send(Duration timeLeft = 2s)
    {
        return sender.send({.address = *targetAddress, .request = request, .timeLeft = timeLeft, .cancel = &cancel});
    }
    ProbeResult ask(Duration timeout = 2s)
    {
        const std::array<std::shared_ptr<const TargetAddress>, 1> targets{targetAddress};
        return sender.ask(targets, timeout).at(0);
    }
    ConnectionCounts counts() const
    {
        return sender.connections(targetAddress->address, targetAddress->port);
    }

    Clock clock;
    Metrics metrics;
    Sender sender;
    std::shared_ptr<TargetAddress> targetAddress;
    CallRequest request;
    CancelToken cancel;
};

FakeTarget::Reply alwaysReply(std::string bytes, bool close = false)
{
    return [bytes = std::move(bytes), close](int, const std::string &) {
        return FakeReply{bytes, close, false};
    };
}

void expectLost(std::string_view bytes, bool close = false)
{
    FakeTarget target(alwaysReply(std::string(bytes), close));
    SenderFixture it(target);
    const AttemptResult got = it.send(300ms);
    cr_assert(got.end == AttemptEnd::Lost, "%s", std::string(bytes).c_str());
    cr_assert(it.counts().open == 0, "%s: the connection is closed", std::string(bytes).c_str());
}

} // namespace

Test(workers, receive_the_request_id_the_deadline_and_the_expected_instance)
{
    FakeTarget target(alwaysReply(completeResponse("ok", SealedHeaders)));
    SenderFixture it(target);
    it.request.headers = {{"X-Deadline-Ms", "9"}, {"X-Expect-Instance", "forged"}, {"X-Other", "1"}};
    const AttemptResult got = it.send(1500ms);
    cr_assert(got.end == AttemptEnd::Answered && got.response.body == "ok");
    const std::string received = target.requests().at(0);
    cr_assert(received.starts_with(
        "PUT /p/x HTTP/1.1\r\nHost: a.example\r\nX-Other: 1\r\nX-Request-Id: r-1\r\nX-Deadline-Ms: "));
    cr_assert(received.find("X-Expect-Instance: i-1\r\n") != std::string::npos);
    cr_assert(received.find("forged") == std::string::npos && received.find("X-Damask") == std::string::npos);
    cr_assert(headerValue(got.response.headers, "X-Response-Seal") == "s");
}

Test(workers, only_an_explicit_refusal_proves_that_the_request_was_not_executed)
{
    for (const std::string_view status : {"503 Service Unavailable", "429 Too Many Requests"}) {
        FakeTarget target(alwaysReply(completeResponse("", "X-Not-Executed: 1\r\n", status)));
        SenderFixture it(target);
        const AttemptResult got = it.send();
        cr_assert(got.end == AttemptEnd::Refused && got.code == Code::TargetRefused);
    }
    FakeTarget replaced(alwaysReply(completeResponse("", "X-Instance-Id: i-9\r\n", "421 Misdirected Request")));
    SenderFixture it(replaced);
    const AttemptResult got = it.send();
    cr_assert(got.end == AttemptEnd::Refused && got.code == Code::TargetReplaced);
    for (const std::string_view status : {"503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"}) {
        expectLost(completeResponse("", "X-Request-Id: r-1\r\n", status));
    }
}

Test(workers, a_success_needs_the_seal_the_id_and_no_content_encoding)
{
    expectLost(completeResponse("ok", "X-Request-Id: r-1\r\n"));
    expectLost(completeResponse("ok", "X-Response-Seal: s\r\n"));
    expectLost(completeResponse("ok", "X-Request-Id: r-2\r\nX-Response-Seal: s\r\n"));
    expectLost(completeResponse("ok", "X-Request-Id: r-1\r\nX-Response-Seal: s\r\nContent-Encoding: gzip\r\n"));
    expectLost(completeResponse("bad", "X-Request-Id: r-2\r\nX-Response-Seal: s\r\n", "500 Internal Server Error"));
}

Test(workers, their_own_errors_are_passed_on_unchanged)
{
    FakeTarget target(alwaysReply(completeResponse("sorry", SealedHeaders, "500 Internal Server Error")));
    SenderFixture it(target);
    const AttemptResult got = it.send();
    cr_assert(got.end == AttemptEnd::Answered && got.response.status == 500 && got.response.body == "sorry");
}

Test(workers, a_body_without_a_length_ends_when_the_connection_is_closed)
{
    FakeTarget target(alwaysReply("HTTP/1.1 200 OK\r\n" + std::string(SealedHeaders) + "\r\nwhole", true));
    SenderFixture it(target);
    const AttemptResult got = it.send();
    cr_assert(got.end == AttemptEnd::Answered && got.response.body == "whole");
    cr_assert(it.counts().open == 0);
    expectLost("HTTP/1.1 200 OK\r\n" + std::string(SealedHeaders) + "\r\nnever closed");
}

Test(workers, a_second_answer_is_discarded)
{
    const std::string one = completeResponse("ok", SealedHeaders);
    FakeTarget target(alwaysReply(one + one));
    SenderFixture it(target);
    cr_assert(it.send().end == AttemptEnd::Answered);
    cr_assert(it.counts().open == 0, "data after the answer closes the connection");
}

// REFUSED: a worker repeats a refusal when the request comes back on the same connection, and then runs it. The copy
// bears the id of the very request.
Test(workers, a_repeated_refusal_is_no_proof_for_a_later_attempt)
{
    constexpr std::string_view Refused = "X-Request-Id: r-1\r\nX-Not-Executed: 1\r\n";
    const std::string refusal = completeResponse("", Refused, "503 Service Unavailable");
    std::set<int> seen;
    std::atomic<int> runs{0};
    FakeTarget target([&](int connection, const std::string &) {
        if (seen.insert(connection).second) {
            return FakeReply{refusal};
        }
        ++runs;
        return FakeReply{refusal + completeResponse("ran", SealedHeaders)};
    });
    SenderFixture it(target);
    for (int n = 0; n < 3; ++n) {
        cr_assert(it.send().end == AttemptEnd::Refused);
    }
    cr_assert(runs == 0 && target.accepted() == 3, "each attempt uses another connection");
    it.request.requestId = "r-2";
    it.send();
    cr_assert(target.accepted() == 3, "other requests reuse them");
}

// TWICE: the repeated rejection of a health check passed for the answer to the next request on its connection, which
// then ran at a second worker too.
Test(workers, a_repeated_rejection_of_a_health_check_is_no_proof_for_a_request)
{
    const std::string rejection = completeResponse("", "X-Not-Executed: 1\r\n", "503 Service Unavailable");
    FakeTarget target([&](int, const std::string &request) {
        return request.starts_with("GET ") ? FakeReply{rejection}
                                           : FakeReply{rejection + completeResponse("ran", SealedHeaders)};
    });
    SenderFixture it(target);
    cr_assert(it.ask().report.error().code == Code::TargetRefused);
    const AttemptResult got = it.send();
    cr_assert(target.accepted() == 1 && got.end == AttemptEnd::Answered && got.response.body == "ran");
    cr_assert(it.counts().open == 0, "more copies may follow");
}

Test(workers, a_repeated_rejection_that_ends_the_connection_proves_nothing)
{
    constexpr std::string_view Unavailable = "503 Service Unavailable";
    const std::string fields = "X-Not-Executed: 1\r\nRetry-After: 2\r\n";
    FakeTarget target([&](int, const std::string &request) {
        const bool isCheck = request.starts_with("GET ");
        return FakeReply{completeResponse("", isCheck ? fields : fields + "Connection: close\r\n", Unavailable),
                         !isCheck};
    });
    SenderFixture it(target);
    cr_assert(it.ask().report.error().code == Code::TargetRefused);
    const AttemptResult got = it.send();
    cr_assert(target.accepted() == 1 && got.end == AttemptEnd::Lost && got.code == Code::BadAnswer);
    cr_assert(got.notice.pushBack == 0ms, "it was said before");
}

Test(workers, the_answer_that_follows_a_copy_of_another_requests_answer_is_delivered)
{
    FakeTarget target([count = 0](int, const std::string &) mutable {
        const std::string other = completeResponse("other", "X-Request-Id: r-0\r\nX-Response-Seal: s\r\n");
        return FakeReply{++count == 1 ? other : other + completeResponse("own", SealedHeaders)};
    });
    SenderFixture it(target);
    it.request.requestId = "r-0";
    cr_assert(it.send().response.body == "other");
    it.request.requestId = "r-1";
    cr_assert(it.send().response.body == "own" && target.accepted() == 1);
}

Test(workers, copies_without_end_are_given_up)
{
    FakeTarget target([count = 0](int, const std::string &) mutable {
        const std::string other = completeResponse("other", "X-Request-Id: r-0\r\nX-Response-Seal: s\r\n");
        std::string out;
        for (int n = ++count == 1 ? 1 : 100; n > 0; --n) {
            out += other;
        }
        return FakeReply{out};
    });
    SenderFixture it(target);
    it.request.requestId = "r-0";
    cr_assert(it.send().response.body == "other");
    it.request.requestId = "r-1";
    const AttemptResult got = it.send(MeaningTimeout);
    cr_assert(got.end == AttemptEnd::Lost && got.code == Code::BadAnswer && it.counts().open == 0);
}

Test(workers, an_answer_before_the_whole_body_was_sent_ends_the_request)
{
    FakeTarget target(alwaysReply({}));
    target.respondEarly(completeResponse("too long", SealedHeaders, "413 Content Too Large"));
    SenderFixture it(target);
    it.request.body.assign(64UL * 1024 * 1024, 'x');
    const AttemptResult got = it.send(5s);
    cr_assert(got.end == AttemptEnd::Answered && got.response.status == 413 && got.response.body == "too long");
    cr_assert(it.counts().open == 0, "the rest of the body was not sent on it");
}

Test(workers, answer_health_checks_on_the_connection_that_the_request_reuses)
{
    FakeTarget target([](int, const std::string &request) {
        if (request.starts_with("GET /health ")) {
            return FakeReply{
                completeResponse("", "X-Instance-Id: i-1\r\nX-Server-Load: 3,2,6,700\r\nKeep-Alive: timeout=10\r\n")};
        }
        return FakeReply{completeResponse("ok", SealedHeaders)};
    });
    SenderFixture it(target);
    const ProbeResult told = it.ask();
    cr_assert(told.report.has_value() && told.connected);
    cr_assert(told.report->inFlight == 5 && told.report->slots == 6 && told.report->slowdown == 7
              && !told.report->unhealthy);
    cr_assert(it.send().end == AttemptEnd::Answered);
    cr_assert(target.accepted() == 1);
}

Test(workers, that_are_unhealthy_full_or_replaced_are_distinguished)
{
    const auto probeResult = [](std::string_view response) {
        FakeTarget target(alwaysReply(std::string(response)));
        SenderFixture it(target);
        return it.ask(MeaningTimeout).report;
    };
    const auto failsWith = [&](std::string_view response, Code expected) {
        const auto report = probeResult(response);
        const Code code = report ? Code::Ok : report.error().code;
        cr_assert(code == expected, "%s instead of %s", std::string(codeName(code)).c_str(),
                  std::string(codeName(expected)).c_str());
    };
    cr_assert(
        probeResult(completeResponse("", "X-Instance-Id: i-1\r\nX-Server-Load: 1,0,6\r\n", "503 Service Unavailable"))
            ->unhealthy);
    failsWith(completeResponse("", "X-Not-Executed: 1\r\n", "503 Service Unavailable"), Code::TargetRefused);
    failsWith(completeResponse("", "X-Instance-Id: i-2\r\n"), Code::TargetReplaced);
    failsWith(completeResponse("x", SealedHeaders), Code::BadAnswer);
    failsWith("HTTP/1.1 nonsense\r\n\r\n", Code::BadAnswer);
}

Test(workers, that_do_not_answer_time_out)
{
    FakeTarget target([](int, const std::string &) { return FakeReply{{}, false, true}; });
    SenderFixture it(target);
    const TimePoint began = it.clock.now();
    const ProbeResult told = it.ask(40ms);
    cr_assert(!told.report && told.report.error().code == Code::AnswerTimeout);
    cr_assert(it.clock.now() - began < 1s);
    cr_assert(it.counts().open == 0);
}

Test(workers, announce_their_end_and_their_push_back_in_any_answer)
{
    const auto sent = [](std::string_view response, bool close = false) {
        FakeTarget target(alwaysReply(std::string(response), close));
        SenderFixture it(target);
        return it.send(MeaningTimeout).notice;
    };
    const auto probed = [](std::string_view response) {
        FakeTarget target(alwaysReply(std::string(response)));
        SenderFixture it(target);
        return it.ask(MeaningTimeout).notice;
    };
    const std::string leaving = std::string(SealedHeaders) + "Server-Leaving: 1\r\n";
    const std::string refused = "X-Not-Executed: 1\r\nRetry-After: 0.75\r\n";
    cr_assert(sent(completeResponse("ok", leaving)).leaving);
    cr_assert(sent(completeResponse("sorry", leaving, "500 Internal Server Error")).leaving);
    cr_assert(sent("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n" + leaving + "\r\nbroken", true).leaving,
              "also on an answer that breaks off");
    cr_assert(!sent(completeResponse("ok", SealedHeaders)).leaving);
    cr_assert(!sent(completeResponse("ok", std::string(SealedHeaders) + "Server-Leaving: 0\r\n")).leaving);
    cr_assert(!sent(completeResponse("ok", "X-Request-Id: r-2\r\nX-Response-Seal: s\r\nServer-Leaving: 1\r\n")).leaving,
              "the answer to another request");
    cr_assert(!sent(completeResponse("", "Server-Leaving: 1\r\n", "421 Misdirected Request")).leaving,
              "another worker answers");
    const std::string_view unavailable = "503 Service Unavailable";
    cr_assert(sent(completeResponse("", refused, unavailable)).pushBack == 750ms);
    cr_assert(sent(completeResponse("", refused, "429 Too Many Requests")).pushBack == 0ms);
    cr_assert(probed(completeResponse("", refused, unavailable)).pushBack == 750ms);
    cr_assert(probed(completeResponse("", "X-Instance-Id: i-1\r\nServer-Leaving: 1\r\n", unavailable)).leaving);
    cr_assert(!probed(completeResponse("", "X-Instance-Id: i-2\r\nServer-Leaving: 1\r\n")).leaving, "another worker");
}

Test(workers, a_push_back_is_read_as_plain_seconds)
{
    const auto read = [](std::string_view text) {
        const std::vector<HeaderField> fields{{"Retry-After", std::string(text)}};
        return retryAfterTime(fields);
    };
    cr_assert(read("0") == 0ms && read("2") == 2s && read("0.25") == 250ms && read("1.") == 1s);
    cr_assert(read("99999999999999999999") == 24h);
    for (const char *bad :
         {"", "-1", "+1", "1e3", "inf", "nan", "1,5", "1 2", ".", "1.2.3", "0x10", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
        cr_assert(!read(bad), "%s", bad);
    }
}

Test(workers, load_reports_are_parsed_and_malformed_ones_ignored)
{
    const auto form = platform::targetForm();
    const auto load = [&](std::string_view text) {
        const std::vector<HeaderField> fields{{"X-Server-Load", std::string(text)}};
        return form.load(fields);
    };
    cr_assert(load("3,0,8")->slowdown == 0);
    cr_assert(load("3,0,8,250")->slowdown == 2.5);
    for (const char *bad : {"", ",", "3,0", "a,b,c", "-1,0,8", "3,0,99999999999", "3, 0,8", "3,0,8,x"}) {
        cr_assert(!load(bad), "%s", bad);
    }
}
