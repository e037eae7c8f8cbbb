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

struct Reply {
    explicit Reply(const FakeReply &reply, StoreProtocol protocol = etcdProtocol())
        : target([reply](int, const std::string &) { return reply; })
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

} // namespace

Test(broken_replies, sound_ones_of_each_framing_are_read)
{
    for (const std::string &rest : framedResponses(Fields, {}, Listing)) {
        cr_assert(Reply({"HTTP/1.1 200 OK\r\n" + rest, true}, platform::storeProtocol()).client.list("").has_value());
    }
    for (const std::string &rest : framedResponses(Fields, {}, Written)) {
        cr_assert(Reply({"HTTP/1.1 200 OK\r\n" + rest, true}).client.put("a", "b").value_or(0) == 7);
    }
    for (const std::string &rest : framedResponses(Fields, {}, Event)) {
        cr_assert(Reply({"HTTP/1.1 200 OK\r\n" + rest, true}).watched() == 1, "%s", rest.c_str());
    }
}

Test(broken_replies, a_read_fails_and_a_write_is_unknown)
{
    for (const BrokenResponse &it : brokenResponses(Fields, Listing)) {
        const auto got = Reply(it.reply, platform::storeProtocol()).client.list("");
        cr_assert(!got && got.error().code == Code::StoreUnavailable, "%s", it.what.c_str());
    }
    for (const BrokenResponse &it : brokenResponses(Fields, Written)) {
        const auto got = Reply(it.reply).client.put("a", "b");
        cr_assert(!got && got.error().code == Code::StoreUnknown, "%s", it.what.c_str());
    }
}

// The watch was read by a lenient library: its events took effect, whatever the status and the fields of the reply.
Test(broken_replies, a_watch_delivers_no_event_of_one)
{
    for (const BrokenResponse &it : brokenResponses(Fields, Event)) {
        cr_assert(Reply(it.reply).watched() == 0, "%s", it.what.c_str());
    }
    for (const std::string_view status : {"204 No Content", "404 Not Found", "500 Internal Server Error"}) {
        for (const std::string &rest : framedResponses(Fields, {}, Event)) {
            cr_assert(Reply({"HTTP/1.1 " + std::string(status) + "\r\n" + rest, true}).watched() == 0, "%s",
                      std::string(status).c_str());
        }
    }
}
