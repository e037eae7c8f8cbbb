/// What one call has been through so far, and the answer that follows from it. Pure but for its record.
#pragma once

#include "base/clock.h"
#include "call/message.h"
#include "route/call_trace.h"
#include "route/dispatcher_table.h"

#include <optional>
#include <string>
#include <string_view>

namespace damask {

constexpr int FirstErrorStatus = 500; // statuses from here on give way to a better answer

/// The state of a call between attempts; used by the thread that dispatches it.
struct CallState {
    const CallRequest                &request;
    std::shared_ptr<const RouteTable> routes; // keeps what route points to
    Route                             route;
    bool                              idempotent = false;
    TimePoint                         deadline = Never;       // of attempts: the caller's, less the safety margin
    int                               attempts = 0;           // sent or tried
    int                               sent = 0;               // attempts of which a byte left, or may have left
    int                               possiblyRun = 0;        // attempts that ran, may have run or may be running
    Code                              notRunCode = Code::Ok;  // why the last attempt did not run
    Code                              unknownCode = Code::Ok; // why the last attempt that may have run gave no answer
    std::string                       avoid;                  // name of the target that failed last
    std::optional<CallResponse>       response;               // the best so far
    size_t                            traceIndex = 0;         // place in the record of the attempt that is being made
    CallTrace                         trace;
};

/// Counts an attempt that is about to be sent; asserts that a non-idempotent call was proven not run before.
void beginAttempt(CallState &call);

/// Takes over what an attempt gave.
void applyAttemptResult(CallState &call, AttemptResult result, std::string_view target);

/// The answer that the caller gets when no other attempt follows. code: why not, Ok when attempts say enough.
CallResponse buildResponse(CallState &call, Code code);

/// An answer of damaskflow's own: status, outcome and text that belong to the code.
CallResponse errorResponse(Code code);

/// A record's attempt filled from its result.
void fillAttemptTrace(AttemptTrace &out, const AttemptResult &result);

} // namespace damask
