/// Names of the header fields that damaskflow reads and writes; docs/INTERFACE.md explains them.
#pragma once

#include <string_view>

namespace damask::header {

// Caller to entry, and entry to target
constexpr std::string_view RequestId = "X-Request-Id";     // kept, or made when missing
constexpr std::string_view Deadline = "X-Damask-Deadline"; // whole ms left; shrinks at each hop
constexpr std::string_view Depth = "X-Damask-Depth";       // calls above this one
constexpr std::string_view Caller = "X-Damask-Caller";     // name that fairness counts under
constexpr std::string_view Attempt = "X-Damask-Attempt";   // 1 for the first attempt; only entry to target

// Target to entry
constexpr std::string_view Load = "X-Damask-Load";       // "inflight=3; slots=6"
constexpr std::string_view Drain = "X-Damask-Drain";     // "yes": take me out of rotation
constexpr std::string_view Refused = "X-Damask-Refused"; // "not-run": the request was not run

// Entry to caller
constexpr std::string_view Outcome = "X-Damask-Outcome";   // answered, not-run, unknown
constexpr std::string_view ResultCode = "X-Damask-Code";   // number and name: "104 QueueFull"
constexpr std::string_view Target = "X-Damask-Target";     // name of the target that answered
constexpr std::string_view Attempts = "X-Damask-Attempts"; // attempts made

} // namespace damask::header
