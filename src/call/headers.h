/// Names of the header fields that damaskflow reads and writes. See docs/INTERFACE.md.
#pragma once

#include <string_view>

namespace damask::header {

// From callers to the instance, and from the instance to targets
constexpr std::string_view RequestId = "X-Request-Id";     // passed through, or generated if missing
constexpr std::string_view Deadline = "X-Damask-Deadline"; // remaining time in whole ms; decreases at each hop
constexpr std::string_view Depth = "X-Damask-Depth";       // number of calls above this one in the chain
constexpr std::string_view Caller = "X-Damask-Caller";     // name used for fair sharing between callers
constexpr std::string_view Attempt = "X-Damask-Attempt";   // 1 for the first attempt; sent to targets only

// From targets to the instance
constexpr std::string_view Load = "X-Damask-Load";       // "inflight=3; slots=6"
constexpr std::string_view Drain = "X-Damask-Drain";     // "yes": the target wants no new requests
constexpr std::string_view Refused = "X-Damask-Refused"; // "not-run": the request was not run

// From the instance to callers
constexpr std::string_view Outcome = "X-Damask-Outcome";   // answered, not-run, unknown
constexpr std::string_view ResultCode = "X-Damask-Code";   // number and name: "104 QueueFull"
constexpr std::string_view Target = "X-Damask-Target";     // name of the target that answered
constexpr std::string_view Attempts = "X-Damask-Attempts"; // number of attempts

} // namespace damask::header
