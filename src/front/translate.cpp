#include "front/translate.h"

#include "base/log.h"

#include <algorithm>

namespace damask {

namespace {

bool isFraming(std::string_view name)
{
    return isHopByHop(name) || sameHeaderName(name, "Content-Length");
}

bool isPlainLine(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char c) { return c == '\r' || c == '\n' || c == '\0'; });
}

} // namespace

Result<CallRequest> toCallRequest(CompleteRequest request, const CallContext &context, const CallerProtocol &protocol)
{
    std::vector<HeaderField> &fields = request.head.fields;
    CallRequest call;
    const auto read = protocol.read(fields, call);
    if (!read) {
        return tl::make_unexpected(read.error());
    }
    if (call.requestId.empty()) {
        call.requestId = context.generateId();
    }
    if (call.caller.empty()) {
        call.caller = context.peer;
    }
    call.host = std::move(request.head.host);
    call.body = std::move(request.body);
    call.arrivedAt = context.arrivedAt;
    call.headers = std::move(fields);
    return call;
}

int errorStatus(Code code)
{
    switch (code) {
    case Code::HeaderTooLarge:
        return 431;
    case Code::BodyTooLarge:
        return 413;
    case Code::SlowSender:
        return 408;
    case Code::BadRequest:
    case Code::BadDeadline:
    case Code::BadDepth:
        return 400;
    default:
        return 503;
    }
}

CallResponse errorResponse(const Error &error)
{
    CallResponse response;
    response.status = errorStatus(error.code);
    response.outcome = Outcome::NotRun;
    response.code = error.code;
    response.headers.push_back({"Content-Type", "application/json"});
    response.body = "{\"code\": " + std::to_string(codeNumber(error.code)) + ", \"name\": ";
    appendJsonString(response.body, codeName(error.code));
    response.body += ", \"detail\": ";
    appendJsonString(response.body, error.detail);
    response.body += "}\n";
    return response;
}

std::vector<HeaderField> responseFields(const CallResponse &response, std::string_view requestId, bool headMethod,
                                        const CallerProtocol &protocol)
{
    std::vector<HeaderField> out;
    for (const HeaderField &it : response.headers) {
        const bool length = headMethod && sameHeaderName(it.name, "Content-Length");
        const bool skip = (isFraming(it.name) && !length) || protocol.writes(it.name);
        if (!skip && isPlainLine(it.name) && isPlainLine(it.value)) {
            out.push_back(it);
        }
    }
    protocol.write(response, requestId, out);
    return out;
}

} // namespace damask
