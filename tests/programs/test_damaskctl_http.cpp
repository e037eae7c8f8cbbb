// What damaskctl makes of broken responses at an operators' port: none of them is a result.
#include "fakes/broken_heads.h"
#include "programs/damaskctl/http.h"

#include <criterion/criterion.h>

using namespace damask;

namespace {

constexpr std::string_view Body = "{\"number\": 3}";

Result<FetchResponse> fetchFrom(const FakeReply &reply, std::string_view method)
{
    const FakeTarget target([&](int, const std::string &) { return reply; });
    FetchRequest request{.to = {"127.0.0.1", target.port()}, .method = std::string(method), .path = "/tickets/3"};
    request.body = method == "POST" ? "text of the ticket" : "";
    const Clock clock;
    return fetchOverHttp(clock, request);
}

void expectFailure(const FakeReply &reply, std::string_view what)
{
    const auto read = fetchFrom(reply, "GET");
    cr_assert(!read && read.error().code == Code::PeerUnavailable, "%s", std::string(what).c_str());
    const auto written = fetchFrom(reply, "POST");
    cr_assert(!written && written.error().code == Code::StoreUnknown, "%s", std::string(what).c_str());
}

} // namespace

Test(damaskctl_http, sound_responses_of_each_framing_are_read)
{
    for (const std::string_view status : {"200 OK", "409 Conflict", "503 Service Unavailable"}) {
        for (const std::string &rest : framedResponses({}, {}, Body)) {
            const auto got = fetchFrom({"HTTP/1.1 " + std::string(status) + "\r\n" + rest, true}, "GET");
            cr_assert(got && got->status == std::stoi(std::string(status)) && got->body == Body, "%s", rest.c_str());
        }
    }
}

// The lenient reader of a library took status 000, odd names of fields and lengths that are no numbers.
Test(damaskctl_http, a_broken_head_is_no_response)
{
    for (const BrokenResponse &it : brokenResponses({}, Body)) {
        expectFailure(it.reply, it.what);
    }
}

Test(damaskctl_http, a_truncated_body_is_no_response)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string &bytes :
         {std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}"), chunked, chunked + "2\r\n{}\r\n",
          chunked + "2\r\n{}X\r\n0\r\n\r\n", chunked + "2\r\n{}\r\n0\r\n"}) {
        expectFailure({.bytes = bytes, .close = true}, bytes);
    }
    expectFailure({.bytes = "HTTP/1.1 200 OK\r\n\r\n{}", .close = true, .reset = true}, "a reset");
}
