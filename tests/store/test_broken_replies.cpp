// A reply of the store whose head is broken is no reply, whatever its body says: reads fail, and the outcome of a write
// is unknown.
#include "fakes/broken_heads.h"
#include "platform/platform.h"
#include "store/client.h"

#include <criterion/criterion.h>

using namespace damask;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view Fields = "Content-Type: application/json\r\n";
constexpr std::string_view Listing = R"({"asOf": 7, "items": []})";
constexpr std::string_view Written = R"({"header": {"revision": "7"}})";
constexpr std::string_view Event =
    R"({"result": {"header": {"revision": "7"}, "events": [{"kv": {"key": "YQ==", "value": "YQ=="}}]}})"
    "\n";

/// A store that sends these replies in turn, and its client.
struct RepliesFixture {
    explicit RepliesFixture(std::span<const BrokenResponse> replies, StoreProtocol protocol = etcdProtocol())
        : target(inTurn(replies))
        , client(clock, metrics, {.port = target.port(), .callTimeout = 120s, .watchIdleTimeout = 120s},
                 std::move(protocol))
    {
    }
    /// Number of events that a watch delivers until it ends.
    int watched()
    {
        int events = 0;
        CancelToken cancel;
        (void)client.watch({.key = "a",
                            .changed =
                                [&](const StoreEvent &) {
                                    ++events;
                                }},
                           cancel);
        return events;
    }

    Clock clock;
    Metrics metrics;
    FakeTarget target;
    StoreClient client;
};

/// Responses in each framing, closed after them.
std::vector<BrokenResponse> repliesWith(std::string_view status, std::string_view body)
{
    std::vector<std::string> out;
    for (const std::string &rest : framedResponses(Fields, {}, body)) {
        out.push_back("HTTP/1.1 " + std::string(status) + "\r\n" + rest);
    }
    return closedAfter(out);
}

} // namespace

Test(broken_replies, sound_ones_of_each_framing_are_read)
{
    const auto listings = repliesWith("200 OK", Listing);
    RepliesFixture list(listings, platform::storeProtocol());
    for (const BrokenResponse &it : listings) {
        cr_assert(list.client.list("").has_value(), "%s", it.what.c_str());
    }
    const auto writes = repliesWith("200 OK", Written);
    RepliesFixture write(writes);
    for (const BrokenResponse &it : writes) {
        cr_assert(write.client.put("a", "b").value_or(0) == 7, "%s", it.what.c_str());
    }
    const auto watches = repliesWith("200 OK", Event);
    RepliesFixture watch(watches);
    for (const BrokenResponse &it : watches) {
        cr_assert(watch.watched() == 1, "%s", it.what.c_str());
    }
}

Test(broken_replies, a_read_fails_and_a_write_is_unknown)
{
    const auto listings = brokenResponses(Fields, Listing);
    RepliesFixture list(listings, platform::storeProtocol());
    for (const BrokenResponse &it : listings) {
        const auto got = list.client.list("");
        cr_assert(!got && got.error().code == Code::StoreUnavailable, "%s", it.what.c_str());
    }
    const auto writes = brokenResponses(Fields, Written);
    RepliesFixture write(writes);
    for (const BrokenResponse &it : writes) {
        const auto got = write.client.put("a", "b");
        cr_assert(!got && got.error().code == Code::StoreUnknown, "%s", it.what.c_str());
    }
}

// The watch was read by a lenient library: its events took effect, whatever the status and the fields of the reply.
Test(broken_replies, a_watch_delivers_no_event_of_one)
{
    std::vector<BrokenResponse> replies = brokenResponses(Fields, Event);
    for (const std::string_view status : {"204 No Content", "404 Not Found", "500 Internal Server Error"}) {
        for (BrokenResponse &it : repliesWith(status, Event)) {
            replies.push_back(std::move(it));
        }
    }
    RepliesFixture watch(replies);
    for (const BrokenResponse &it : replies) {
        cr_assert(watch.watched() == 0, "%s", it.what.c_str());
    }
}
