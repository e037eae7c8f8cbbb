/// Builds the heads of requests to targets.
#pragma once

#include "back/target_protocol.h"
#include "route/dispatcher.h"

#include <span>
#include <string>
#include <string_view>

namespace damask {

/// Returns the request line, header fields and blank line. The caller's end-to-end fields are passed on unchanged; the
/// protocol adds its own, such as the remaining time.
std::string requestHead(const Attempt &attempt, Duration timeLeft, const TargetProtocol &protocol);

/// Appends "name: value" and CRLF.
void appendField(std::string &out, std::string_view name, std::string_view value);

/// Formats a duration as an integer number of milliseconds, at least 1.
std::string formatMilliseconds(Duration duration);

/// Returns "address:port": the target's key in the connection pool, and the Host field of load probes.
std::string connectionKey(std::string_view address, uint16_t port);

/// Returns the head of a request without a body that damaskflow itself sends, such as a load probe.
std::string probeRequestHead(std::string_view method, std::string_view path, std::string_view host);

} // namespace damask
