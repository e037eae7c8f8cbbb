/// The load report that a target's load endpoint gives: {"inFlight": 3, "slots": 6, "draining": false}.
#pragma once

#include "base/result.h"
#include "call/message.h"

#include <string_view>

namespace damask {

/// BadAnswer, with the field that is wrong, when the text is not such a report.
Result<LoadReport> parseLoadReport(std::string_view json);

} // namespace damask
