/// Strict parser for the head of an HTTP response.
///
/// cpp-httplib 0.11 decodes %xx in header values and treats a malformed length as 0. The fields of a response must be
/// passed on unchanged and the end of its body must be unambiguous, so the head is parsed here and the library reads
/// only the body.
#pragma once

#include "base/result.h"
#include "call/message.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace damask {

/// How the end of a response body is determined.
enum class BodyFraming {
    None,    // no body: HEAD, 204, 304
    Length,  // Content-Length
    Chunked, // Transfer-Encoding: chunked
    ByClose, // neither: the body ends when the connection closes
};

struct ResponseHead {
    int                      status = 0;
    std::vector<HeaderField> headers; // all, as received
    BodyFraming              framing = BodyFraming::ByClose;
    uint64_t                 length = 0;    // of the body, with BodyFraming::Length
    bool                     close = false; // the target closes the connection after this response
};

/// Whether a field applies to a single connection only (RFC 9110, 7.6.1), by its name or because the Connection field
/// lists it.
bool isHopByHop(std::string_view name, std::string_view connectionField);

/// Parses a head, including the blank line at its end. BadAnswer if it does not conform to RFC 9112.
Result<ResponseHead> parseResponseHead(std::string_view head, std::string_view method);

/// Returns the end-to-end fields of a response, except those for which `strips` returns true.
std::vector<HeaderField> endToEndFields(std::vector<HeaderField>                          headers,
                                        const std::function<bool(std::string_view name)> &strips);

/// The time in a Retry-After field given in seconds, which may have fractions; none if the field is missing, malformed,
/// negative or a date. Times above a day count as a day.
std::optional<Duration> retryAfterTime(std::span<const HeaderField> headers);

/// How long the target keeps an idle connection open, from its Keep-Alive field; none if the field has no timeout.
std::optional<Duration> keepAliveTime(std::span<const HeaderField> headers);

} // namespace damask
