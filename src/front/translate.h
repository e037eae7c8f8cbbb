/// Converts a received request into the CallRequest that the routing code handles, and a CallResponse into header
/// fields.
#pragma once

#include "base/time.h"
#include "call/message.h"
#include "front/caller_protocol.h"
#include "front/request_reader.h"

#include <functional>
#include <string_view>
#include <vector>

namespace damask {

/// Inputs of toCallRequest() that are not part of the request.
struct CallContext {
    std::string_view             peer;       // IP address of the caller
    TimePoint                    arrivedAt;  // when the first byte was read
    std::function<std::string()> generateId; // generates a request id if the caller sent none
};

/// Fills everything except method and path, which the library parses. Fails with the errors of the protocol's read().
Result<CallRequest> toCallRequest(CompleteRequest request, const CallContext &context, const CallerProtocol &protocol);

/// The response to a refused request; its body states the code and the detail.
CallResponse errorResponse(const Error &error);

/// HTTP status of a refusal by the front, e.g. 431 for HeaderTooLarge.
int errorStatus(Code code);

/// Header fields of a response: the target's end-to-end fields, then those of the protocol. Target fields that contain
/// CR, LF or NUL are dropped.
std::vector<HeaderField> responseFields(const CallResponse &response, std::string_view requestId, bool headMethod,
                                        const CallerProtocol &protocol);

} // namespace damask
