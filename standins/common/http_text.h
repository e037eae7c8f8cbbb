/// The text of HTTP/1.1 as the target stand-in needs it: it has to truncate, stall and lie, which a library
/// rightly refuses to do. Requests with a Content-Length or without a body only.
#pragma once

#include "base/result.h"
#include "call/message.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace damask::standin {

/// One request as read.
struct HttpRequest {
    std::string              method;
    std::string              path; // with query
    std::vector<HeaderField> headers;
    std::string              body;
};

/// Takes one whole request off the front of buf; empty when more bytes are needed. BadRequest when malformed.
Result<std::optional<HttpRequest>> extractRequest(std::string &buf);

/// The bytes of an answer with a Content-Length.
std::string formatResponse(int status, std::span<const HeaderField> headers, std::string_view body);

} // namespace damask::standin
