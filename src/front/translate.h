/// From a request's head to the call that the decisions see, and from their answer to header fields.
#pragma once

#include "base/time.h"
#include "call/message.h"
#include "front/caller_protocol.h"
#include "front/request_reader.h"

#include <functional>
#include <string_view>
#include <vector>

namespace damask {

/// What the head alone does not say.
struct CallContext {
    std::string_view             peer;       // IP number of the caller
    TimePoint                    arrivedAt;  // when the first byte was read
    std::function<std::string()> generateId; // a request id, when the caller gave none
};

/// Everything but method and path, which the library reads. Fails as the form's read() does.
Result<CallRequest> toCallRequest(CompleteRequest request, const CallContext &context, const CallerProtocol &protocol);

/// The answer that tells a caller why its request was refused.
CallResponse errorResponse(const Error &error);

/// The status that goes with a refusal by the front, e.g. 431 with HeaderTooLarge.
int errorStatus(Code code);

/// The fields to write: the target's end-to-end ones, then ours. Each line is free of control characters.
std::vector<HeaderField> responseFields(const CallResponse &response, std::string_view requestId, bool headMethod,
                                        const CallerProtocol &protocol);

} // namespace damask
