/// Parser for the load report returned by a target's load endpoint: {"inFlight": 3, "slots": 6, "draining": false}.
#pragma once

#include "base/result.h"
#include "call/message.h"

#include <string_view>

namespace damask {

/// BadAnswer, naming the invalid field, if the text is not a valid report.
Result<LoadReport> parseLoadReport(std::string_view json);

} // namespace damask
