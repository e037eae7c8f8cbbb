/// Minimal HTTP/1.1 parsing and formatting for the target stand-in, which must send truncated, stalled and false
/// responses that an HTTP library does not allow. Supports only requests with a Content-Length or without a body.
#pragma once

#include "base/result.h"
#include "call/message.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace damask::standin {

/// A parsed request.
struct HttpRequest {
    std::string              method;
    std::string              path; // with query
    std::vector<HeaderField> headers;
    std::string              body;
};

/// Removes one complete request from the front of buf; empty if more bytes are needed. BadRequest if malformed.
Result<std::optional<HttpRequest>> extractRequest(std::string &buf);

/// Formats a response with a Content-Length.
std::string formatResponse(int status, std::span<const HeaderField> headers, std::string_view body);

} // namespace damask::standin
