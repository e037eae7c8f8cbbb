// What damaskctl makes of broken responses at an operators' port: none of them is a result.
#include "fakes/broken_heads.h"
#include "programs/damaskctl/http.h"

#include <criterion/criterion.h>

using namespace damask;

namespace {

constexpr std::string_view Body = "{\"number\": 3}";

Result<FetchResponse> fetchFrom(const FakeTarget &target, std::string_view method)
{
    FetchRequest request{.to = {"127.0.0.1", target.port()}, .method = std::string(method), .path = "/tickets/3"};
    request.body = method == "POST" ? "text of the ticket" : "";
    const Clock clock;
    return fetchOverHttp(clock, request);
}

void expectFailures(std::span<const BrokenResponse> responses)
{
    const FakeTarget target(inTurn(responses, 2));
    for (const BrokenResponse &it : responses) {
        const auto read = fetchFrom(target, "GET");
        cr_assert(!read && read.error().code == Code::PeerUnavailable, "%s", it.what.c_str());
        const auto written = fetchFrom(target, "POST");
        cr_assert(!written && written.error().code == Code::StoreUnknown, "%s", it.what.c_str());
    }
}

} // namespace

Test(damaskctl_http, sound_responses_of_each_framing_are_read)
{
    for (const std::string_view status : {"200 OK", "409 Conflict", "503 Service Unavailable"}) {
        for (const std::string &rest : framedResponses({}, {}, Body)) {
            const FakeTarget target([&](int, const std::string &) {
                return FakeReply{.bytes = "HTTP/1.1 " + std::string(status) + "\r\n" + rest, .close = true};
            });
            const auto got = fetchFrom(target, "GET");
            cr_assert(got && got->status == std::stoi(std::string(status)) && got->body == Body, "%s", rest.c_str());
        }
    }
}

// The lenient reader of a library took status 000, odd names of fields and lengths that are no numbers.
Test(damaskctl_http, a_broken_head_is_no_response)
{
    expectFailures(brokenResponses({}, Body));
}

Test(damaskctl_http, a_truncated_body_is_no_response)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string bodies[] = {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}", chunked, chunked + "2\r\n{}\r\n",
                                  chunked + "2\r\n{}X\r\n0\r\n\r\n", chunked + "2\r\n{}\r\n0\r\n"};
    expectFailures(closedAfter(bodies));
    const std::string untilTheClose[] = {"HTTP/1.1 200 OK\r\n\r\n{}"};
    const auto endings = endedEachWay(untilTheClose);
    expectFailures(std::span(endings).subspan(1, 1)); // the reset; the close completes it
}
