// Feeds arbitrary bytes to the request parser. However they are split, they must give the same requests, none above
// the limits.

#include "base/check.h"
#include "front/request_reader.h"
#include "front/translate.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

using namespace damask;

static constexpr RequestLimits Limits{.headerBytes = 512, .bodyBytes = 256};

/// Requests parsed from a connection until its end or the first parse error.
struct ReadResult {
    std::vector<CompleteRequest> requests;
    bool failed = false;
};

static ReadResult readInParts(std::string_view bytes, size_t step)
{
    RequestReader reader(Limits);
    ReadResult out;
    while (!bytes.empty() && !out.failed) {
        const std::string_view part = bytes.substr(0, step);
        reader.append(part);
        bytes.remove_prefix(part.size());
        auto complete = reader.advance();
        while (complete && *complete) {
            out.requests.push_back(reader.take());
            complete = reader.advance();
        }
        out.failed = !complete.has_value();
    }
    return out;
}

static void checkRequest(const CompleteRequest &request)
{
    DAMASK_ASSERT(request.body.size() <= Limits.bodyBytes, "a body must not exceed its limit");
    DAMASK_ASSERT(headerValue(request.head.fields, "Transfer-Encoding").empty(),
                  "framing fields must not be forwarded");
    DAMASK_ASSERT(headerValue(request.head.fields, "Content-Length").empty(), "framing fields must not be forwarded");
    for (const HeaderField &it : request.head.fields) {
        DAMASK_ASSERT(it.value.find_first_of("\r\n") == std::string::npos,
                      "a field value must not contain a line break");
    }
    const auto call = toCallRequest(request,
                                    {"127.0.0.1", TimePoint(),
                                     [] {
                                         return std::string("id");
                                     }},
                                    defaultCallerProtocol());
    DAMASK_ASSERT(call.has_value() || !call.error().detail.empty(), "an error must state why the request is refused");
}

/// Reads the first request's body as it arrives, in parts of `step` bytes; it must be the body that is gathered.
static void checkStreamedBody(std::string_view bytes, size_t step, std::string_view gathered)
{
    RequestReader reader(Limits);
    std::string body;
    std::array<char, 7> part{};
    while (!bytes.empty() && !reader.bodyExceeds(0)) {
        reader.append(bytes.substr(0, step));
        bytes.remove_prefix(std::min(step, bytes.size()));
        const auto complete = reader.advance();
        if (!complete || *complete) {
            return;
        }
    }
    if (!reader.bodyExceeds(0)) {
        return;
    }
    reader.startBody();
    while (!reader.bodyEnded()) {
        const auto n = reader.readBody(part);
        if (!n) {
            return;
        }
        body.append(part.data(), *n);
        DAMASK_ASSERT(body.size() <= Limits.bodyBytes, "a body must not exceed its limit");
        if (*n == 0 && !reader.bodyEnded()) {
            if (bytes.empty()) {
                return;
            }
            reader.append(bytes.substr(0, step));
            bytes.remove_prefix(std::min(step, bytes.size()));
        }
    }
    DAMASK_ASSERT(body == gathered, "a streamed body must be the gathered one");
}

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const ReadResult unsplit = readInParts(bytes, size + 1);
    const ReadResult bytewise = readInParts(bytes, 1);
    DAMASK_ASSERT(unsplit.failed == bytewise.failed, "splitting must not change the requests");
    DAMASK_ASSERT(unsplit.requests.size() == bytewise.requests.size(), "splitting must not change the requests");
    if (!unsplit.requests.empty()) {
        checkStreamedBody(bytes, 1, unsplit.requests[0].body);
        checkStreamedBody(bytes, 11, unsplit.requests[0].body);
    }
    for (size_t n = 0; n < unsplit.requests.size(); ++n) {
        DAMASK_ASSERT(unsplit.requests[n].body == bytewise.requests[n].body, "splitting must not change the requests");
        DAMASK_ASSERT(unsplit.requests[n].head.line == bytewise.requests[n].head.line,
                      "splitting must not change the requests");
        checkRequest(unsplit.requests[n]);
    }
    return 0;
}
