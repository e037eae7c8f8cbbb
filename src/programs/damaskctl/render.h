/// Formats answers of the operators' ports as text.
#pragma once

#include <string>
#include <string_view>

namespace damask {

/// A ticket: its state, and for how long each instance has been awaited. `now` is ms since 1970.
std::string renderTicketStatus(std::string_view json, int64_t now);
std::string renderTicketList(std::string_view json);  // one line per ticket, and the next free number
std::string renderCheckResult(std::string_view json); // difference, effect and verdict
std::string renderDiff(std::string_view json);        // difference only
std::string renderCallTraces(std::string_view json);  // for each call its outcome and attempts
std::string renderPreview(std::string_view json);     // rule, account, and each service with its candidates
std::string renderFailure(std::string_view json);     // code, detail and advice
std::string renderCodes();                            // the table of result codes

} // namespace damask
