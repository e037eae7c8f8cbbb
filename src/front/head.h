/// The head of an HTTP request: its fields as sent, and how its body is delimited.
///
/// The library decodes percent escapes in field values and gives up their order, so fields are split here and pass
/// through as they came. What two parsers could read in two ways (request smuggling) is refused with BadRequest.
#pragma once

#include "base/result.h"
#include "call/message.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

/// How the end of a request's body is found.
enum class BodyKind {
    None,    // no body
    Sized,   // Content-Length bytes
    Chunked, // Transfer-Encoding: chunked
};

/// What stands before a request's body.
struct RequestHead {
    std::string              line;   // request line without its end
    std::vector<HeaderField> fields; // end-to-end fields in their order
    std::string              host;   // without port, lower case; may be empty in HTTP/1.0
    BodyKind                 bodyKind = BodyKind::None;
    size_t                   bodyBytes = 0;           // when Sized
    bool                     close = false;           // the caller said Connection: close
    bool                     keepAlive = false;       // the caller said Connection: keep-alive
    bool                     expectsContinue = false; // the caller waits for 100 Continue
};

/// Bytes of the head with its closing empty line; none while it is incomplete. BadRequest on a bare line feed.
/// `from` is where the last search over the same bytes ended, and moves on.
Result<std::optional<size_t>> findHeadEnd(std::string_view bytes, size_t &from);

/// Splits and checks a complete head. BadRequest says what is wrong.
Result<RequestHead> parseHead(std::string_view head);

/// Whether a field belongs to one connection only and must not be passed on (RFC 9110, section 7.6.1).
bool isHopByHop(std::string_view name);

} // namespace damask
