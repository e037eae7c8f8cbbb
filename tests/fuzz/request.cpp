// Any bytes as a caller's connection: cut anywhere they give the same requests, and none gets past its limits.

#include "base/check.h"
#include "front/request_reader.h"
#include "front/translate.h"

#include <cstddef>
#include <cstdint>
#include <vector>

using namespace damask;

static constexpr RequestLimits Limits{.headerBytes = 512, .bodyBytes = 256};

/// What a connection gave until it ended or its bytes could not be read.
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
        auto whole = reader.advance();
        while (whole && *whole) {
            out.requests.push_back(reader.take());
            whole = reader.advance();
        }
        out.failed = !whole.has_value();
    }
    return out;
}

static void checkRequest(const CompleteRequest &request)
{
    DAMASK_ASSERT(request.body.size() <= Limits.bodyBytes, "a body stays in its limit");
    DAMASK_ASSERT(headerValue(request.head.fields, "Transfer-Encoding").empty(), "framing is not passed on");
    DAMASK_ASSERT(headerValue(request.head.fields, "Content-Length").empty(), "framing is not passed on");
    for (const HeaderField &it : request.head.fields) {
        DAMASK_ASSERT(it.value.find_first_of("\r\n") == std::string::npos, "a field is one line");
    }
    const auto call = toCallRequest(request, {"127.0.0.1", TimePoint(), [] {
                                                  return std::string("id");
                                              }});
    DAMASK_ASSERT(call.has_value() || !call.error().detail.empty(), "say why a request is refused");
}

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const ReadResult whole = readInParts(bytes, size + 1);
    const ReadResult single = readInParts(bytes, 1);
    DAMASK_ASSERT(whole.failed == single.failed, "cutting the bytes changes nothing");
    DAMASK_ASSERT(whole.requests.size() == single.requests.size(), "cutting the bytes changes nothing");
    for (size_t n = 0; n < whole.requests.size(); ++n) {
        DAMASK_ASSERT(whole.requests[n].body == single.requests[n].body, "cutting the bytes changes nothing");
        DAMASK_ASSERT(whole.requests[n].head.line == single.requests[n].head.line, "cutting changes nothing");
        checkRequest(whole.requests[n]);
    }
    return 0;
}
