#include "front/request_reader.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <vector>

using namespace damask;

namespace {

/// The error code for these bytes; Ok if they form a request or are incomplete.
Code codeOf(std::string_view bytes)
{
    RequestReader reader(RequestLimits{});
    reader.append(bytes);
    const auto complete = reader.advance();
    return complete ? Code::Ok : complete.error().code;
}

std::string withFields(std::string_view fields)
{
    return "POST / HTTP/1.1\r\nHost: a\r\n" + std::string(fields) + "\r\n";
}

std::string chunked(std::string_view body, size_t chunk)
{
    std::string out;
    for (size_t at = 0; at < body.size(); at += chunk) {
        const std::string_view part = body.substr(at, chunk);
        char size[20];
        std::snprintf(size, sizeof size, "%zx", part.size());
        out += std::string(size) + ";ext=1\r\n" + std::string(part) + "\r\n";
    }
    return out + "0\r\nTrailer: x\r\n\r\n";
}

/// A request with Content-Length (encoding 0) or in chunks of 1 or 7 bytes (encodings 1 and 2).
std::string encode(std::string_view path, std::string_view body, int encoding)
{
    const std::string head = "POST " + std::string(path) + " HTTP/1.1\r\nHost: a\r\n";
    if (encoding == 0 || body.empty()) {
        return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
    }
    return head + "Transfer-Encoding: Chunked\r\n\r\n" + chunked(body, encoding == 1 ? 1 : 7);
}

} // namespace

Test(reader, ambiguous_requests_are_refused)
{
    const std::vector<std::string> bad{
        withFields("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n"),
        withFields("Content-Length: 1\r\nContent-Length: 1\r\n"),
        withFields("Content-Length: 1\r\nContent-Length: 2\r\n"),
        withFields("Content-Length: 1, 1\r\n"),
        withFields("Content-Length: +1\r\n"),
        withFields("Content-Length: -1\r\n"),
        withFields("Content-Length: 0x1\r\n"),
        withFields("Content-Length:\r\n"),
        withFields("Content-Length: 99999999999999999999\r\n"),
        withFields("Content-Length : 1\r\n"),
        withFields("Content-Length: 1\r\n folded: 2\r\n"),
        withFields("Transfer-Encoding: chunked, chunked\r\n"),
        withFields("Transfer-Encoding: gzip\r\n"),
        withFields("Transfer-Encoding: identity\r\n"),
        withFields("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"),
        withFields("Transfer-Encoding:\x0b"
                   "chunked\r\n"),
        withFields("Host: b\r\n"),
        withFields("no colon\r\n"),
        withFields(": empty\r\n"),
        withFields("X: a\rb\r\n"),
        withFields(std::string_view("X: a\0b\r\n", 8)),
        "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\nHost: a\n\n",
        "GET /\xc3\xa9 HTTP/1.1\r\nHost: a\r\n\r\n",
        " GET / HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n",
        "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
        withFields("Transfer-Encoding: chunked\r\n") + "g\r\n",
        withFields("Transfer-Encoding: chunked\r\n") + "-1\r\n",
        withFields("Transfer-Encoding: chunked\r\n") + "1\r\nabc\r\n",
        withFields("Transfer-Encoding: chunked\r\n") + "1\na\r\n",
        withFields("Transfer-Encoding: chunked\r\n") + "\r\n",
    };
    for (const std::string &it : bad) {
        cr_assert(codeOf(it) == Code::BadRequest, "accepted: %s", it.c_str());
    }
    std::string many;
    for (int n = 0; n < 300; ++n) {
        many += "a:\r\n";
    }
    cr_assert(codeOf(withFields(many)) == Code::HeaderTooLarge);
    cr_assert(codeOf(withFields("Connection: " + std::string(100, ',') + "\r\n")) == Code::BadRequest);
    cr_assert(codeOf(withFields("Transfer-Encoding: chunked\r\n") + "fffffff\r\n") == Code::BodyTooLarge);
}

Test(reader, empty_lines_before_a_request_are_skipped_however_they_are_split)
{
    RequestReader reader(RequestLimits{});
    for (const std::string_view it : {"\r", "\n\r\n\r", "\nGET / HTTP/1.1\r", "\nHost: a\r\n\r", "\n"}) {
        const auto before = reader.advance();
        cr_assert(before.has_value() && !*before);
        reader.append(it);
    }
    const auto complete = reader.advance();
    cr_assert(complete.has_value() && *complete);
    cr_assert(reader.take().head.line == "GET / HTTP/1.1");
}

Test(reader, requests_are_parsed_alike_however_their_bytes_are_split)
{
    const bool passed = rc::check("split anywhere", [] {
        const auto bodies = *rc::gen::container<std::vector<std::string>>(rc::gen::arbitrary<std::string>());
        std::string stream;
        for (size_t n = 0; n < bodies.size(); ++n) {
            stream += encode("/" + std::to_string(n), bodies[n], static_cast<int>(n % 3));
        }
        RequestReader reader(RequestLimits{});
        size_t seen = 0;
        while (!stream.empty()) {
            const auto cut = static_cast<size_t>(*rc::gen::inRange<int>(1, static_cast<int>(stream.size()) + 1));
            reader.append(std::string_view(stream).substr(0, cut));
            stream.erase(0, cut);
            auto complete = reader.advance();
            while (complete && *complete) {
                const CompleteRequest request = reader.take();
                RC_ASSERT(request.body == bodies.at(seen));
                RC_ASSERT(request.head.line == "POST /" + std::to_string(seen) + " HTTP/1.1");
                ++seen;
                complete = reader.advance();
            }
            RC_ASSERT(complete.has_value());
        }
        RC_ASSERT(seen == bodies.size());
        RC_ASSERT(reader.idle() && reader.bufferedBytes() == 0);
    });
    cr_assert(passed);
}

Test(reader, arbitrary_bytes_never_exceed_the_limits)
{
    const bool passed = rc::check("arbitrary bytes", [] {
        const auto parts = *rc::gen::container<std::vector<std::string>>(
            rc::gen::oneOf(rc::gen::arbitrary<std::string>(),
                           rc::gen::element<std::string>("\r\n", "\r\n\r\n", "GET / HTTP/1.1\r\n", "Host: a\r\n",
                                                         "Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n",
                                                         "3\r\nabc\r\n", "0\r\n\r\n")));
        RequestReader reader(RequestLimits{.headerBytes = 100, .bodyBytes = 10});
        for (const std::string &it : parts) {
            reader.append(it);
            auto complete = reader.advance();
            while (complete && *complete) {
                RC_ASSERT(reader.take().body.size() <= 10U);
                complete = reader.advance();
            }
            if (!complete) {
                RC_ASSERT(codeNumber(complete.error().code) / 100 == 3);
                return;
            }
        }
    });
    cr_assert(passed);
}
