#include "route/dispatcher_call.h"

#include "base/check.h"

namespace damask {

namespace {

constexpr Duration DefaultRetryAfter = std::chrono::seconds(1); // Retry-After of 429 and 503 responses

int statusFor(Code code)
{
    switch (code) {
    case Code::BadRequest:
        return 400;
    case Code::SlowSender:
        return 408;
    case Code::BodyTooLarge:
        return 413;
    case Code::UnknownKey:
        return 401;
    case Code::NoSuchService:
    case Code::NoRule:
        return 404;
    case Code::QuotaExceeded:
        return 429;
    case Code::Cancelled:
        return 499;
    case Code::ConnectionLost:
    case Code::BadAnswer:
    case Code::AnswerTooLarge:
        return 502;
    case Code::AnswerTimeout:
        return 504;
    case Code::DepthExceeded:
        return 508;
    default:
        return 503;
    }
}

Outcome outcomeFor(Code code)
{
    const int group = codeNumber(code) / 100;
    return group == 1 || group == 3 ? Outcome::NotRun : Outcome::Unknown;
}

std::string_view meaningOf(Code code)
{
    for (const CodeInfo &it : codeTable()) {
        if (it.code == code) {
            return it.meaning;
        }
    }
    return {};
}

bool isBetter(const AttemptResult &result, const std::optional<CallResponse> &than)
{
    return !than || result.response.status < FirstErrorStatus || than->status >= FirstErrorStatus;
}

} // namespace

void beginAttempt(CallState &call)
{
    DAMASK_ASSERT(call.idempotent || call.possiblyRun == 0,
                  "a non-idempotent call may be sent again only after all earlier attempts were proven not run");
    ++call.attempts;
    ++call.sent;
    ++call.possiblyRun;
}

void applyAttemptResult(CallState &call, AttemptResult result, std::string_view target)
{
    call.refusedWithRoom =
        result.end == AttemptEnd::Refused && result.load && result.load->inFlight < result.load->slots;
    switch (result.end) {
    case AttemptEnd::NotSent:
        --call.sent;
        --call.possiblyRun;
        call.notRunCode = result.code;
        break;
    case AttemptEnd::Refused:
        --call.possiblyRun;
        call.notRunCode = result.code;
        break;
    case AttemptEnd::Lost:
        call.unknownCode = result.code;
        break;
    case AttemptEnd::Answered:
        if (isBetter(result, call.response)) {
            call.response = std::move(result.response);
            call.response->target = target;
        }
        break;
    }
    DAMASK_ASSERT(call.possiblyRun >= 0, "the result of an attempt must be applied only once");
    call.avoid = target;
}

CallResponse buildResponse(CallState &call, Code code)
{
    CallResponse out;
    if (call.response) {
        out = std::move(*call.response);
        out.outcome = Outcome::Answered;
        out.code = Code::Ok;
    } else if (code == Code::Cancelled || call.possiblyRun > 0) {
        out =
            errorResponse(code == Code::Cancelled || call.unknownCode == Code::Ok ? Code::Cancelled : call.unknownCode);
        out.outcome = Outcome::Unknown;
        out.status = out.status == 408 ? 504 : out.status; // 408 would promise that it has not run
    } else {
        out = errorResponse(call.notRunCode != Code::Ok ? call.notRunCode : code);
    }
    out.attempts = call.attempts;
    return out;
}

CallResponse errorResponse(Code code)
{
    CallResponse out;
    out.status = statusFor(code);
    out.outcome = outcomeFor(code);
    out.code = code;
    out.headers.push_back({"Content-Type", "text/plain"});
    out.body = std::to_string(codeNumber(code));
    out.body += ' ';
    out.body += codeName(code);
    out.body += ": ";
    out.body += meaningOf(code);
    out.body += '\n';
    if (out.status == 503 || out.status == 429) {
        out.retryAfter = DefaultRetryAfter;
    }
    return out;
}

void fillTargetChoice(AttemptTrace &out, const TargetLoadSnapshot &snapshot, size_t asked, Duration waited)
{
    out.waited = static_cast<float>(toMilliseconds(waited));
    out.reportAge = snapshot.reportAge;
    out.estimate = snapshot.estimate;
    out.slowdown = snapshot.slowdown;
    out.coldLeft = snapshot.coldLeft;
    out.others = static_cast<uint16_t>(snapshot.others);
    out.asked = static_cast<uint16_t>(asked);
}

void fillAttemptTrace(AttemptTrace &out, const AttemptResult &result)
{
    out.finished = true;
    out.end = result.end;
    out.code = result.code;
    out.status = result.end == AttemptEnd::Answered ? static_cast<uint16_t>(result.response.status) : 0;
    out.connect = static_cast<float>(toMilliseconds(result.connectTime));
    out.elapsed = static_cast<float>(toMilliseconds(result.elapsed));
}

} // namespace damask
