// A store that sends bytes without end: each call ends within its bounds, and the client can be used on.
#include "fakes/fake_flood.h"
#include "platform/platform.h"
#include "store/client.h"

#include <criterion/criterion.h>

using namespace damask;
using namespace std::chrono_literals;

namespace {

constexpr size_t MaxBytes = 24UL * 1024 * 1024; // the largest reply or line, and what the system buffers
const std::pair<std::string, std::string> Floods[] = {
    {"", "H"},
    {"HTTP/1.1 200 OK\r\nX: ", "x"},
    {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
    {"", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x"},
    {"HTTP/1.1 200 OK\r\n\r\n", "{"},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\n{{{{{\r\n"},
};

} // namespace

Test(endless_store, replies_are_bounded_in_bytes_and_in_time)
{
    for (const auto &[start, unit] : Floods) {
        const FakeFlood flood(start, unit);
        Clock clock;
        Metrics metrics;
        StoreOptions options;
        options.port = flood.port();
        options.callTimeout = 1s;
        StoreClient client(clock, metrics, options);
        const TimePoint began = clock.now();
        const auto got = client.get("some/key");
        cr_assert(!got && got.error().code == Code::StoreUnavailable, "%s", start.c_str());
        cr_assert(clock.now() - began < 3s, "%s", start.c_str());
        cr_assert(flood.sent() < MaxBytes, "%s: %zu bytes", start.c_str(), flood.sent());
    }
}

// Guards against a node on a slow link that reads megabytes of changes before it turns to a list, which is smaller.
Test(endless_store, a_poll_is_given_up_once_a_list_is_cheaper)
{
    const FakeFlood flood("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\n{{{{{\r\n");
    Clock clock;
    Metrics metrics;
    StoreClient client(clock, metrics, {.port = flood.port()}, platform::storeProtocol());
    CancelToken cancel(LockRank::Attempt);
    const auto got = client.poll("", 1, 100ms, cancel);
    cr_assert(!got && got.error().code == Code::StoreHistoryLarge, "%s", got.error().detail.c_str());
    cr_assert(flood.sent() < 7UL * 1024 * 1024, "%zu bytes, of which the system buffers some", flood.sent());
}

// A watch has no end of its own, but its head and each of its lines have.
Test(endless_store, a_watch_is_bounded_in_its_head_and_in_a_line)
{
    for (const auto &[start, unit] : Floods) {
        const FakeFlood flood(start, unit);
        Clock clock;
        Metrics metrics;
        StoreClient client(clock, metrics, {.port = flood.port()});
        CancelToken cancel;
        int events = 0;
        const auto got = client.watch({.key = "a",
                                       .changed =
                                           [&](const StoreEvent &) {
                                               ++events;
                                           }},
                                      cancel);
        cr_assert(!got && got.error().code == Code::StoreUnavailable && events == 0, "%s", start.c_str());
        cr_assert(flood.sent() < MaxBytes, "%s: %zu bytes", start.c_str(), flood.sent());
    }
}
