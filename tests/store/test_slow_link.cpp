// Replies that take longer than a call timeout because of their size.
#include "fakes/fake_slow_link.h"
#include "store/client.h"

using namespace damask;
using namespace std::chrono_literals;

namespace {

constexpr Duration CallTimeout = 1s;
constexpr size_t ReplyBytes = 400'000;

struct SlowStore {
    explicit SlowStore(double minBytesPerSecond, size_t stallAfter = std::string::npos)
        : link("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(ReplyBytes) + "\r\n\r\n"
                   + std::string(ReplyBytes, 'x'),
               10'000, 50ms, stallAfter) // 200 KB a second
        , client(clock, metrics,
                 {.port = link.port(), .callTimeout = CallTimeout, .minBytesPerSecond = minBytesPerSecond})
    {
    }

    FakeSlowLink link;
    Clock clock;
    Metrics metrics;
    StoreClient client;
};

} // namespace

// CONFIG: a large configuration was asked for again and again from the start, since no reply could end in time.
Test(slow_link, a_reply_that_makes_progress_is_not_given_up)
{
    SlowStore it(50'000);
    const TimePoint began = it.clock.now();
    const auto got = it.client.fetch("/large");
    cr_assert(got && got->size() == ReplyBytes);
    cr_assert(it.clock.now() - began > CallTimeout);
}

Test(slow_link, a_reply_that_stops_or_trickles_is_given_up)
{
    SlowStore stalled(50'000, 100'000);
    const TimePoint began = stalled.clock.now();
    cr_assert(stalled.client.fetch("/large").error().code == Code::StoreUnavailable);
    cr_assert(stalled.clock.now() - began < 2 * CallTimeout + 500ms + 1s, "half a second of bytes, then silence");
    SlowStore trickling(1'000'000);
    cr_assert(trickling.client.fetch("/large").error().code == Code::StoreUnavailable);
}
