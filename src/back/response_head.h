/// The head of a target's answer, read strictly from its raw bytes.
///
/// cpp-httplib 0.11 decodes %xx in header values and takes a malformed length for 0. An answer's fields have to pass
/// through unchanged and its end has to be certain, so both are read here; the library reads the body.
#pragma once

#include "base/result.h"
#include "call/message.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace damask {

/// How the end of an answer's body is known.
enum class BodyFraming {
    None,    // no body: HEAD, 204, 304
    Length,  // Content-Length
    Chunked, // Transfer-Encoding: chunked
    ByClose, // neither: ends with the connection
};

struct ResponseHead {
    int                      status = 0;
    std::vector<HeaderField> headers; // all, as they came
    BodyFraming              framing = BodyFraming::ByClose;
    uint64_t                 length = 0;    // of the body, with BodyFraming::Length
    bool                     close = false; // the target closes the connection after this answer
};

/// Reads a head up to and with its blank line. BadAnswer when any byte of it is not as RFC 9112 has it.
Result<ResponseHead> parseResponseHead(std::string_view head, std::string_view method);

/// The end-to-end fields of an answer, without those that `strips` names.
std::vector<HeaderField> endToEndFields(std::vector<HeaderField>                          headers,
                                        const std::function<bool(std::string_view name)> &strips);

/// How long the target keeps the connection open while it is idle, as its Keep-Alive field says; none: it doesn't.
std::optional<Duration> keepAliveTime(std::span<const HeaderField> headers);

} // namespace damask
