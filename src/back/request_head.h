/// The head of a request as a target gets it.
#pragma once

#include "back/target_protocol.h"
#include "route/dispatcher.h"

#include <span>
#include <string>
#include <string_view>

namespace damask {

/// Whether a field belongs to one connection only (RFC 9110, 7.6.1), by its name or by the Connection field.
bool isHopByHop(std::string_view name, std::string_view connectionField);

/// The request line and header fields, with the blank line: the caller's end-to-end fields as they came, and those
/// that the protocol writes, such as the deadline left.
std::string requestHead(const Attempt &attempt, Duration timeLeft, const TargetProtocol &protocol);

/// Appends "name: value" and the line's end.
void appendField(std::string &out, std::string_view name, std::string_view value);

/// The deadline left as a whole number of milliseconds, 1 at least.
std::string formatMilliseconds(Duration duration);

/// Names a target's endpoint in the table of connections, and as Host of what damaskflow asks it.
std::string connectionKey(std::string_view address, uint16_t port);

/// The head of a request without a body that damaskflow makes itself.
std::string probeRequestHead(std::string_view method, std::string_view path, std::string_view host);

} // namespace damask
