// Large bodies that are passed on while they arrive: from a caller through front, dispatcher and sender to a worker.
#include "fakes/call_path.h"
#include "fakes/eventually.h"
#include "fakes/fake_upload_target.h"
#include "fakes/raw_caller.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <optional>
#include <vector>

using namespace damask;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view Sealed = "X-Request-Id: r-1\r\nX-Response-Seal: s\r\n";
constexpr std::string_view Answer =
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Request-Id: r-1\r\nX-Response-Seal: s\r\n\r\ndone";
constexpr std::string_view Refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nX-Request-Id: "
                                     "r-1\r\nX-Not-Executed: 1\r\nConnection: close\r\n\r\n";
constexpr size_t Megabyte = 1024 * 1024;

Configuration uploadsTo(const FakeUploadTarget &target, int targets)
{
    Configuration out;
    out.revision = 1;
    out.services.push_back({.name = "records", .pool = "records", .deadline = 5s, .connectionShare = 64});
    Rule rule{.name = "up", .prefix = "/up/", .service = "records", .idempotency = Idempotency::Never};
    rule.largeBodies = true;
    rule.maxAttempts = 3;
    out.rules.push_back(rule);
    Pool pool{"records", 1, {}};
    for (int n = 0; n < targets; ++n) {
        Target it{"i-" + std::to_string(n), "127.0.0.1", target.port(), "z", 64};
        it.instance = it.name;
        pool.targets.push_back(it);
    }
    out.pools.push_back(pool);
    return out;
}

/// A base, so that it is there before CallPath, whose configuration needs its port.
struct UploadTarget {
    FakeUploadTarget target;
};

struct UploadFixture
    : UploadTarget
    , CallPath {
    explicit UploadFixture(UploadBehaviour behaviour, int targets = 1, const FrontOptions &options = {})
        : UploadTarget{FakeUploadTarget(std::move(behaviour))}
        , CallPath(uploadsTo(target, targets), options)
    {
    }
    ~UploadFixture()
    {
        target.release();
    }
};

std::string headOf(std::string_view framing, std::string_view path = "/up/x", std::string_view fields = {})
{
    return "POST " + std::string(path) + " HTTP/1.1\r\nHost: a\r\nX-Request-Id: r-1\r\n" + std::string(fields)
           + std::string(framing) + "\r\n\r\n";
}

std::string sized(size_t bytes)
{
    return headOf("Content-Length: " + std::to_string(bytes));
}

/// For calls that must not reach their deadline while the test prepares others, on a slow machine too.
std::string sizedWithTime(size_t bytes)
{
    return headOf("Content-Length: " + std::to_string(bytes), "/up/x", "X-Deadline-Ms: 120000\r\n");
}

/// Bytes of which no part is like another, so that a gap or a swap shows.
std::string sampleBody(size_t bytes)
{
    std::string out;
    for (size_t n = 0; out.size() < bytes; ++n) {
        out += std::to_string(n) + ";";
    }
    out.resize(bytes);
    return out;
}

std::string bodyReceived(const FakeUploadTarget &target)
{
    const std::string all = target.received();
    return all.substr(all.find("\r\n\r\n") + 4);
}

/// Responses whose body ends with the connection.
std::vector<std::string> answersUntilTheClose(std::string_view body)
{
    std::vector<std::string> out;
    for (const std::string_view head :
         {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n", "HTTP/1.0 200 OK\r\n"}) {
        out.push_back(std::string(head) + std::string(Sealed) + "\r\n" + std::string(body));
    }
    return out;
}

/// Sends an upload to a worker that responds and ends the connection between two sends of the body.
AttemptResult sendAcrossTheEnd(std::optional<uint64_t> length, UploadBehaviour behaviour)
{
    behaviour.readBytes = 1; // the rest stays unread
    behaviour.stopsReading = true;
    const bool ends = behaviour.end != UploadEnd::EndsSending;
    FakeUploadTarget target(std::move(behaviour));
    Clock clock;
    Metrics metrics;
    Sender sender(clock, metrics, {}, platform::targetForm());
    CallRequest request{.method = "POST", .path = "/up/x", .host = "a", .requestId = "r-1"};
    request.stream = std::make_shared<BodyStream>();
    request.stream->length = length;
    int reads = 0;
    request.stream->read = [&](std::span<char> to) {
        if (++reads == 2) {
            target.release();
            if (ends) {
                target.waitForEnds(1);
            }
        }
        std::fill(to.begin(), to.end(), 'x');
        return BodyRead{.state = BodyState::Data, .bytes = to.size()};
    };
    const TargetAddress to{
        .name = "s/i-1", .address = "127.0.0.1", .port = target.port(), .connectionShare = 4, .instance = "i-1"};
    CancelToken cancel;
    return sender.send({.address = to, .request = request, .timeLeft = 120s, .cancel = &cancel});
}

/// What a caller gets whose upload a worker answers while its bytes wait to be written.
RawResponse earlyAnswer(std::string_view framing, UploadBehaviour behaviour)
{
    behaviour.readBytes = 1000;
    behaviour.stopsReading = true;
    UploadFixture it(std::move(behaviour));
    RawCaller caller(it.front.port());
    Thread sender("sender", [&] {
        const bool chunked = framing.starts_with("Transfer-Encoding");
        caller.send(headOf(framing, "/up/x", "X-Deadline-Ms: 120000\r\n"));
        caller.send(chunked ? "400000\r\n" : "");
        caller.send(std::string(4 * Megabyte, 'x'));
        caller.send(chunked ? "\r\n0\r\n\r\n" : "");
    });
    it.target.waitForBytes(1000);
    it.target.release();
    const RawResponse got = caller.receive();
    caller.shutDown();
    sender.join();
    return got;
}

/// The data of a chunked body.
std::string decoded(std::string_view chunks)
{
    std::string out;
    while (!chunks.empty()) {
        const size_t line = chunks.find("\r\n");
        const size_t n = std::stoul(std::string(chunks.substr(0, line)), nullptr, 16);
        out += chunks.substr(line + 2, n);
        chunks.remove_prefix(std::min(chunks.size(), line + 2 + n + 2));
        if (n == 0) {
            break;
        }
    }
    return out;
}

} // namespace

Test(upload, a_sized_body_reaches_the_worker_unchanged)
{
    UploadFixture it({.response = std::string(Answer)});
    const std::string body = sampleBody(3 * Megabyte);
    RawCaller caller(it.front.port());
    const RawResponse got = caller.ask(sized(body.size()) + body);
    cr_assert(got.status == 200 && got.body == "done" && got.field("Connection").empty());
    cr_assert(it.target.received().find("Content-Length: 3145728\r\n") != std::string::npos);
    cr_assert(bodyReceived(it.target) == body);
    cr_assert(caller.ask(sized(5) + "small").status == 200, "the connection serves on");
    cr_assert(it.target.connections() == 1, "and so does the worker's");
}

Test(upload, a_chunked_body_reaches_the_worker_unchanged)
{
    UploadFixture it({.response = std::string(Answer)});
    const std::string body = sampleBody(Megabyte);
    RawCaller caller(it.front.port());
    caller.send(headOf("Transfer-Encoding: chunked"));
    for (size_t at = 0; at < body.size(); at += 30'000) {
        const std::string_view part = std::string_view(body).substr(at, 30'000);
        std::array<char, 16> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
        caller.send(std::string(size.data()) + std::string(part) + "\r\n");
    }
    caller.send("0\r\n\r\n");
    cr_assert(caller.receive().status == 200);
    cr_assert(it.target.received().find("Transfer-Encoding: chunked\r\n") != std::string::npos);
    cr_assert(decoded(bodyReceived(it.target)) == body);
}

Test(upload, is_passed_on_while_it_arrives)
{
    UploadFixture it({.response = std::string(Answer)});
    RawCaller caller(it.front.port());
    const std::string body = sampleBody(Megabyte);
    caller.send(sized(body.size()) + body.substr(0, Megabyte / 2));
    it.target.waitForBytes(Megabyte / 4);
    caller.send(std::string_view(body).substr(Megabyte / 2));
    cr_assert(caller.receive().status == 200 && bodyReceived(it.target) == body);
}

Test(upload, memory_stays_bounded_while_the_workers_do_not_read)
{
    constexpr size_t Calls = 50;
    UploadFixture it({.readBytes = 1000, .response = std::string(Answer), .stopsReading = true});
    std::vector<std::unique_ptr<RawCaller>> callers;
    std::vector<Thread> senders;
    for (size_t n = 0; n < Calls; ++n) {
        callers.push_back(std::make_unique<RawCaller>(it.front.port()));
        senders.emplace_back("sender", [&caller = *callers.back()] {
            caller.send(sizedWithTime(8 * Megabyte) + std::string(8 * Megabyte, 'x'));
        });
    }
    cr_assert(eventually([&] { return it.front.status().callsInFlight == Calls; }));
    it.target.waitForBytes(1000);
    // What one call may keep: a buffer of 64 KB read by the poller, and one of 16 KB on the way.
    cr_assert(it.front.status().bufferedBytes <= Calls * 96 * 1024, "%zu", it.front.status().bufferedBytes);
    for (const auto &caller : callers) {
        caller->shutDown();
    }
    for (Thread &sender : senders) {
        sender.join();
    }
    for (const auto &caller : callers) {
        caller->resetConnection(); // the end of a connection waits behind the bytes that nobody reads, a reset does not
    }
    cr_assert(eventually([&] { return it.front.status().callsInFlight == 0; }), "callers that leave free their calls");
    cr_assert(eventually([&] { return it.front.status().bufferedBytes == 0; }));
}

Test(upload, an_early_answer_is_delivered_and_the_rest_of_the_body_is_no_request)
{
    UploadFixture it({.readBytes = 100'000,
                      .response = "HTTP/1.1 413 Content Too Large\r\nContent-Length: 3\r\nX-Request-Id: r-1\r\n"
                                  "X-Response-Seal: s\r\n\r\nbig"});
    RawCaller caller(it.front.port());
    const std::string smuggled = "GET /up/y HTTP/1.1\r\nHost: a\r\nX-Request-Id: r-2\r\n\r\n";
    std::string body;
    while (body.size() < 4 * Megabyte) {
        body += smuggled;
    }
    // Half of the body stays with the caller: all of it can fit in the buffers of the system, and a body that was sent
    // to its end closes nothing.
    const size_t half = body.size() / 2;
    caller.send(sized(body.size()) + body.substr(0, half));
    const RawResponse got = caller.receive();
    cr_assert(got.status == 413 && got.body == "big" && got.field("Connection") == "close", "%s", got.head.c_str());
    caller.send(std::string_view(body).substr(half));
    cr_assert(caller.closedByPeer(), "no second response");
    cr_assert(it.target.connections() == 1 && it.target.received().find("r-2") != std::string::npos);
    cr_assert(it.metrics.counter("damask_front_requests_total").Value() == 1);
}

// MIXED: the send of the upload reported the reset of the answer, and what had arrived of it passed for all.
Test(upload, a_reset_answer_without_a_length_is_not_complete)
{
    for (const UploadEnd end : {UploadEnd::Resets, UploadEnd::Closes}) {
        for (const std::string &answer : answersUntilTheClose("a part of the body")) {
            for (const std::optional<uint64_t> length :
                 {std::optional<uint64_t>(Megabyte), std::optional<uint64_t>()}) {
                const AttemptResult got = sendAcrossTheEnd(length, {.response = answer, .end = end});
                cr_assert(got.end == AttemptEnd::Lost && got.code == Code::BadAnswer, "%s: %s", answer.c_str(),
                          got.response.body.c_str());
            }
        }
    }
}

Test(upload, a_complete_answer_is_delivered_however_the_connection_ends)
{
    for (const UploadEnd end :
         {UploadEnd::EndsSending, UploadEnd::EndsThenCloses, UploadEnd::Closes, UploadEnd::Resets}) {
        std::vector<std::string> answers{"HTTP/1.1 200 OK\r\n" + std::string(Sealed) + "Content-Length: 4\r\n\r\ndone",
                                         "HTTP/1.1 200 OK\r\n" + std::string(Sealed)
                                             + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"};
        if (end == UploadEnd::EndsSending || end == UploadEnd::EndsThenCloses) { // its end came before the reset
            const auto more = answersUntilTheClose("done");
            answers.insert(answers.end(), more.begin(), more.end());
        }
        for (const std::string &answer : answers) {
            for (const std::optional<uint64_t> length :
                 {std::optional<uint64_t>(Megabyte), std::optional<uint64_t>()}) {
                const AttemptResult got = sendAcrossTheEnd(length, {.response = answer, .end = end});
                cr_assert(got.end == AttemptEnd::Answered && got.response.body == "done", "%s, %d", answer.c_str(),
                          static_cast<int>(end));
            }
        }
    }
}

// The same through a node. The moment of the reset varies, so only some of these requests meet it within a send.
Test(upload, callers_get_no_part_of_a_reset_answer_as_the_whole)
{
    for (int n = 0; n < 10; ++n) {
        for (const UploadEnd end : {UploadEnd::Resets, UploadEnd::Closes}) {
            for (const std::string &answer : answersUntilTheClose("a part of the body")) {
                for (const std::string_view framing : {"Content-Length: 4194304", "Transfer-Encoding: chunked"}) {
                    const RawResponse got = earlyAnswer(framing, {.response = answer, .end = end});
                    cr_assert(got.status == 502 && got.body.find("a part") == std::string::npos, "%s: %d %s",
                              answer.c_str(), got.status, got.body.c_str());
                }
            }
        }
    }
}

Test(upload, is_never_sent_a_second_time)
{
    for (const std::string &response : {std::string(Refusal), std::string("HTTP/1.1 200 OK\r\nContent-Le")}) {
        UploadFixture it({.readBytes = 50'000, .response = response}, 3);
        RawCaller caller(it.front.port());
        const RawResponse got = caller.ask(headOf("Content-Length: 1048576", "/up/x", "X-Deadline-Ms: 900\r\n")
                                           + std::string(Megabyte, 'x'));
        const bool refused = response == Refusal;
        cr_assert(got.status == (refused ? 503 : 504) || (!refused && got.status == 502), "%d", got.status);
        cr_assert(it.target.connections() == 1, "though other workers are free");
        // The counter was written beyond its table, over that of another label.
        cr_assert(it.metrics.counter("damask_retry_denials_total", {{"reason", "body-sent"}}).Value() == 1);
    }
}

Test(upload, a_small_body_is_gathered_and_sent_again_after_a_refusal)
{
    UploadFixture it({.response = std::string(Refusal)}, 3);
    RawCaller caller(it.front.port());
    const std::string body = sampleBody(2000);
    std::string request = sized(body.size()) + body;
    for (int n = 0; n < 8; ++n) { // the budget for retries is a share of the calls
        cr_assert(caller.ask(request).status == 503);
    }
    cr_assert(it.metrics.counter("damask_retries_total", {{"reason", "refused"}}).Value() > 0);
}

Test(upload, a_caller_that_stops_halfway_is_given_up_and_the_worker_gets_no_complete_request)
{
    UploadFixture it({.response = std::string(Answer)});
    {
        RawCaller caller(it.front.port());
        caller.send(sized(Megabyte) + std::string(Megabyte / 2, 'x'));
        it.target.waitForBytes(Megabyte / 4);
    }
    it.target.waitForEnds(1);
    cr_assert(it.target.received().size() < Megabyte);
    cr_assert(eventually([&] { return it.front.status().callsInFlight == 0; }));
}

Test(upload, a_caller_that_trickles_is_given_up_in_time)
{
    FrontOptions options;
    options.requestTimeout = 300ms;
    UploadFixture it({.response = std::string(Answer)}, 1, options);
    RawCaller caller(it.front.port());
    const TimePoint began = it.clock.now();
    caller.send(sized(Megabyte) + "some");
    const RawResponse got = caller.receive();
    cr_assert(got.status == 504 && got.field("Connection") == "close", "%d: it may have run, so no 408", got.status);
    cr_assert(it.clock.now() - began < 3s);
    it.target.waitForEnds(1);
    for (const TargetStatus &target : it.balancer.status("records")) {
        cr_assert(!target.ejected);
    }
}

Test(upload, a_malformed_chunk_ends_the_call_and_blames_the_caller)
{
    UploadFixture it({.response = std::string(Answer)});
    RawCaller caller(it.front.port());
    caller.send(headOf("Transfer-Encoding: chunked") + "20000\r\n" + std::string(0x20000, 'x') + "\r\nnonsense\r\n");
    cr_assert(caller.receive().status == 400);
    it.target.waitForEnds(1);
    cr_assert(bodyReceived(it.target).find("\r\n0\r\n\r\n") == std::string::npos, "the worker sees no end of the body");
}

Test(upload, a_worker_that_does_not_read_costs_no_more_than_the_deadline)
{
    UploadFixture it({.readBytes = 1000, .stopsReading = true});
    RawCaller caller(it.front.port());
    Thread sender("sender", [&] {
        caller.send(headOf("Content-Length: 8388608", "/up/x", "X-Deadline-Ms: 400\r\n")
                    + std::string(8 * Megabyte, 'x'));
    });
    const TimePoint began = it.clock.now();
    cr_assert(caller.receive().status == 504);
    cr_assert(it.clock.now() - began < 3s);
    it.target.release();
    sender.join();
}

Test(upload, a_worker_may_pause_its_reading_until_the_deadline)
{
    UploadFixture it({.readBytes = 1000, .response = std::string(Answer), .stopsReading = true});
    RawCaller caller(it.front.port());
    Thread sender("sender", [&] { caller.send(sizedWithTime(8 * Megabyte) + std::string(8 * Megabyte, 'x')); });
    it.target.waitForBytes(1000);
    const TimePoint resumesAt = it.clock.now() + 2500ms; // the system takes a silent peer for lost after a second
    RankedMutex mutex{LockRank::Program};
    Condition never(it.clock);
    {
        LockGuard lock(mutex);
        while (never.waitUntil(lock, resumesAt)) { }
    }
    it.target.release();
    const RawResponse got = caller.receive();
    cr_assert(got.status == 200 && got.body == "done", "%d", got.status);
    sender.join();
}

Test(upload, a_planned_stop_lets_it_end)
{
    UploadFixture it({.response = std::string(Answer)});
    const std::string body = sampleBody(Megabyte);
    RawCaller caller(it.front.port());
    caller.send(sized(body.size()) + body.substr(0, Megabyte / 2));
    it.target.waitForBytes(Megabyte / 4);
    it.front.startDraining(); // before the answer, however late the thread starts
    Thread stopping("stopping", [&] { it.front.stop(); });
    caller.send(std::string_view(body).substr(Megabyte / 2));
    const RawResponse got = caller.receive();
    cr_assert(got.status == 200 && got.field("Connection") == "close" && bodyReceived(it.target) == body);
    caller.close();
    stopping.join();
}

Test(upload, waits_for_continue_before_it_is_sent)
{
    UploadFixture it({.response = std::string(Answer)});
    RawCaller caller(it.front.port());
    caller.send(headOf("Content-Length: 1048576", "/up/x", "Expect: 100-continue\r\n"));
    cr_assert(caller.receive().status == 100);
    cr_assert(caller.ask(std::string(Megabyte, 'x')).status == 200);
}

Test(upload, without_a_worker_is_refused_before_its_body)
{
    UploadFixture it({.response = std::string(Answer)}, 0);
    RawCaller caller(it.front.port());
    caller.send(sized(Megabyte) + std::string(100'000, 'x'));
    const RawResponse got = caller.receive();
    cr_assert(got.status == 503 && got.field("Connection") == "close");
}
