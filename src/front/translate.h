/// From a request's head to the call that the decisions see, and from their answer to header fields.
#pragma once

#include "base/time.h"
#include "call/message.h"
#include "front/caller_form.h"
#include "front/request_reader.h"

#include <functional>
#include <string_view>
#include <vector>

namespace damask {

/// What the head alone does not say.
struct CallContext {
    std::string_view             peer;      // IP number of the caller
    TimePoint                    arrivedAt; // when the first byte was read
    std::function<std::string()> makeId;    // a request id, when the caller gave none
};

/// Everything but method and path, which the library reads. Fails as the form's read() does.
Result<CallRequest> toCall(WholeRequest request, const CallContext &context, const CallerForm &form);

/// The answer that tells a caller why its request was refused.
CallResponse refusal(const Error &error);

/// The status that goes with a refusal by the front, e.g. 431 with HeaderTooLarge.
int refusalStatus(Code code);

/// The fields to write: the target's end-to-end ones, then ours. Each line is free of control characters.
std::vector<HeaderField> answerFields(const CallResponse &answer, std::string_view requestId, bool headMethod,
                                      const CallerForm &form);

} // namespace damask
