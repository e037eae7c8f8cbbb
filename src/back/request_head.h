/// The head of a request as a target gets it.
#pragma once

#include "route/dispatcher.h"

#include <span>
#include <string>
#include <string_view>

namespace damask {

/// Whether a field belongs to one connection only (RFC 9110, 7.6.1), by its name or by the Connection field.
bool isHopByHop(std::string_view name, std::string_view connectionField);

/// The request line and header fields, with the blank line: the caller's end-to-end fields as they came, and the
/// deadline left, depth + 1, request id and attempt number as damaskflow sets them.
std::string requestHead(const Attempt &attempt, Duration timeLeft);

/// The head of a request without a body that damaskflow makes itself.
std::string ownRequestHead(std::string_view method, std::string_view path, std::string_view host);

} // namespace damask
