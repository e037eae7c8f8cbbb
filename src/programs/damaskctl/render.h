/// Answers of the operators' ports as text for people.
#pragma once

#include <string>
#include <string_view>

namespace damask {

/// A ticket: its state, and who still has to confirm since when. `now` is ms since 1970.
std::string renderTicketStatus(std::string_view json, int64_t now);
std::string renderTicketList(std::string_view json);  // one line for each ticket, and the next free number
std::string renderCheckResult(std::string_view json); // difference, effect and verdict
std::string renderDiff(std::string_view json);        // difference alone
std::string renderCallTraces(std::string_view json);  // a few lines for each call: where it went and why
std::string renderFailure(std::string_view json);     // code, detail and what to do next
std::string renderCodes();                            // the table of result codes

} // namespace damask
