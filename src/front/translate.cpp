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

Result<CallRequest> toCall(WholeRequest request, const CallContext &context, const CallerForm &form)
{
    std::vector<HeaderField> &fields = request.head.fields;
    CallRequest call;
    const auto read = form.read(fields, call);
    if (!read) {
        return tl::make_unexpected(read.error());
    }
    if (call.requestId.empty()) {
        call.requestId = context.makeId();
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

int refusalStatus(Code code)
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

CallResponse refusal(const Error &error)
{
    CallResponse answer;
    answer.status = refusalStatus(error.code);
    answer.outcome = Outcome::NotRun;
    answer.code = error.code;
    answer.headers.push_back({"Content-Type", "application/json"});
    answer.body = "{\"code\": " + std::to_string(codeNumber(error.code)) + ", \"name\": ";
    appendJsonString(answer.body, codeName(error.code));
    answer.body += ", \"detail\": ";
    appendJsonString(answer.body, error.detail);
    answer.body += "}\n";
    return answer;
}

std::vector<HeaderField> answerFields(const CallResponse &answer, std::string_view requestId, bool headMethod,
                                      const CallerForm &form)
{
    std::vector<HeaderField> out;
    for (const HeaderField &it : answer.headers) {
        const bool length = headMethod && sameHeaderName(it.name, "Content-Length");
        const bool skip = (isFraming(it.name) && !length) || form.writes(it.name);
        if (!skip && isPlainLine(it.name) && isPlainLine(it.value)) {
            out.push_back(it);
        }
    }
    form.write(answer, requestId, out);
    return out;
}

} // namespace damask
