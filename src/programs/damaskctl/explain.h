/// Explains the outcome of one request from the logs of nodes and entries. Pure.
#pragma once

#include <string>
#include <string_view>

namespace damask {

/// The log lines of a request in time order, each with the cause of its outcome in a sentence. The log has one JSON
/// object per line, after an optional prefix; other lines are ignored. Empty if no line belongs to the request.
std::string explain(std::string_view requestId, std::string_view log);

} // namespace damask
