// Bytes without end from a target, in every part of a response: each read ends within its bounds of bytes and time.
#include "back/sender.h"
#include "fakes/fake_flood.h"

#include <criterion/criterion.h>

using namespace damask;
using namespace std::chrono_literals;

namespace {

constexpr size_t MaxAnswer = 256 * 1024;
constexpr size_t SystemBuffers = 12UL * 1024 * 1024; // that the system may take although nobody reads them

struct Flood {
    const char *part;
    std::string start;
    std::string unit;
};

const Flood Floods[] = {
    {"status line", "", "H"},
    {"field", "HTTP/1.1 200 OK\r\nX: ", "x"},
    {"fields", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
    {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x"},
    {"body until the close", "HTTP/1.1 200 OK\r\n\r\n", "x"},
    {"chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
    {"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x"},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n"},
    {"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
    {"nonsense", "", "\r\n"},
};

struct EndlessFixture {
    explicit EndlessFixture(const FakeFlood &flood, const SenderOptions &options)
        : sender(clock, metrics, options)
    {
        address.address = "127.0.0.1";
        address.port = flood.port();
        address.name = "s/i";
        request.method = "GET";
        request.path = "/";
        request.host = "a";
    }
    AttemptResult send(Duration timeLeft)
    {
        return sender.send({.address = address, .request = request, .timeLeft = timeLeft, .cancel = &cancel});
    }

    Clock clock;
    Metrics metrics;
    Sender sender;
    TargetAddress address;
    CallRequest request;
    CancelToken cancel;
};

} // namespace

Test(endless, every_part_of_a_response_is_bounded_in_bytes_and_in_time)
{
    for (const Flood &it : Floods) {
        const FakeFlood flood(it.start, it.unit);
        EndlessFixture fixture(flood, {.maxResponseBytes = MaxAnswer});
        const TimePoint began = fixture.clock.now();
        const AttemptResult got = fixture.send(2s);
        cr_assert(got.end == AttemptEnd::Lost, "%s", it.part);
        cr_assert(fixture.clock.now() - began < 4s, "%s", it.part);
        cr_assert(flood.sent() < MaxAnswer + SystemBuffers, "%s: %zu bytes", it.part, flood.sent());
        cr_assert(fixture.sender.connections("127.0.0.1", flood.port()).open == 0, "%s", it.part);
    }
}

Test(endless, load_probes_are_bounded_as_well)
{
    for (const Flood &it : Floods) {
        const FakeFlood flood(it.start, it.unit);
        EndlessFixture fixture(flood, {});
        const std::shared_ptr<const TargetAddress> target = std::make_shared<TargetAddress>(fixture.address);
        const ProbeResult got = fixture.sender.ask({&target, 1}, 500ms).at(0);
        cr_assert(!got.report, "%s", it.part);
        cr_assert(flood.sent() < SystemBuffers, "%s: %zu bytes", it.part, flood.sent());
    }
}

Test(endless, all_answers_together_stay_within_their_limit)
{
    const FakeFlood flood("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", "x");
    EndlessFixture fixture(flood, {.maxResponseBytes = 512UL * 1024 * 1024, .maxBufferedBytes = MaxAnswer});
    for (int n = 0; n < 3; ++n) { // what a call had reserved is free again after it
        const AttemptResult got = fixture.send(5s);
        cr_assert(got.end == AttemptEnd::Lost && got.code == Code::AnswerTooLarge);
    }
    cr_assert(flood.sent() < 3 * (MaxAnswer + SystemBuffers));
}
