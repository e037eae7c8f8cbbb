/// Parser for the head of an HTTP request: header fields as sent, and the framing of the body.
///
/// The library decodes percent escapes in field values and loses the order of fields, so fields are parsed here and
/// forwarded unchanged. Anything that two parsers could interpret differently (request smuggling) fails with
/// BadRequest.
#pragma once

#include "base/result.h"
#include "call/message.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

/// Framing of a request body.
enum class BodyKind {
    None,    // no body
    Sized,   // Content-Length bytes
    Chunked, // Transfer-Encoding: chunked
};

/// Request line and header fields.
struct RequestHead {
    std::string              line;   // request line without CRLF
    std::vector<HeaderField> fields; // end-to-end fields, in the order received
    std::string              host;   // without port, lower case; may be empty with HTTP/1.0
    BodyKind                 bodyKind = BodyKind::None;
    size_t                   bodyBytes = 0;           // if Sized
    bool                     close = false;           // Connection: close was sent
    bool                     keepAlive = false;       // Connection: keep-alive was sent
    bool                     expectsContinue = false; // Expect: 100-continue was sent
};

/// Length of the head including the terminating empty line; nullopt while it is incomplete. BadRequest on a bare line
/// feed. `from` is the offset at which the previous search over the same bytes ended; it is updated.
Result<std::optional<size_t>> findHeadEnd(std::string_view bytes, size_t &from);

/// Parses and validates a complete head. Fails with BadRequest, whose detail names the cause, or HeaderTooLarge.
Result<RequestHead> parseHead(std::string_view head);

/// Whether a field applies to one connection only and must not be forwarded (RFC 9110, section 7.6.1).
bool isHopByHop(std::string_view name);

} // namespace damask
