/// From the logs of nodes and entries to the story of one request. Pure.
#pragma once

#include <string>
#include <string_view>

namespace damask {

/// The lines on a request in the order of time, and its cause in a sentence. The log holds one JSON object a line,
/// whatever stands before it; lines that are none are passed over. Empty when no line names the request.
std::string explain(std::string_view requestId, std::string_view log);

} // namespace damask
