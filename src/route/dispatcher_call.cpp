#include "route/dispatcher_call.h"

#include "base/check.h"

namespace damask {

namespace {

constexpr Duration ComeBackAfter = std::chrono::seconds(1); // told with refused work

int statusFor(Code code)
{
    switch (code) {
    case Code::BadRequest:
        return 400;
    case Code::NoSuchService:
    case Code::NoRule:
        return 404;
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

bool better(const AttemptResult &result, const std::optional<Answer> &than)
{
    return !than || result.answer.status < FirstErrorStatus || than->status >= FirstErrorStatus;
}

} // namespace

void beginAttempt(CallState &call)
{
    DAMASK_ASSERT(call.idempotent || call.unproven == 0,
                  "a non-idempotent call is sent again only after a proven not-run");
    ++call.attempts;
    ++call.sent;
    ++call.unproven;
}

void noteAttempt(CallState &call, AttemptResult result, std::string_view target)
{
    switch (result.end) {
    case AttemptEnd::NotSent:
        --call.sent;
        --call.unproven;
        call.notRun = result.code;
        break;
    case AttemptEnd::Refused:
        --call.unproven;
        call.notRun = result.code;
        break;
    case AttemptEnd::Lost:
        call.unknown = result.code;
        break;
    case AttemptEnd::Answered:
        if (better(result, call.answer)) {
            call.answer = std::move(result.answer);
            call.answer->target = target;
        }
        break;
    }
    DAMASK_ASSERT(call.unproven >= 0, "note each attempt once");
    call.avoid = target;
}

Answer conclude(CallState &call, Code code)
{
    Answer out;
    if (call.answer) {
        out = std::move(*call.answer);
        out.outcome = Outcome::Answered;
        out.code = Code::Ok;
    } else if (code == Code::Cancelled || call.unproven > 0) {
        out = answerFor(code == Code::Cancelled || call.unknown == Code::Ok ? Code::Cancelled : call.unknown);
    } else {
        out = answerFor(call.notRun != Code::Ok ? call.notRun : code);
    }
    out.attempts = call.attempts;
    return out;
}

Answer answerFor(Code code)
{
    Answer out;
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
    if (out.status == 503) {
        out.retryAfter = ComeBackAfter;
    }
    return out;
}

void fillAttempt(WhyAttempt &out, const AttemptResult &result)
{
    out.finished = true;
    out.end = result.end;
    out.code = result.code;
    out.status = result.end == AttemptEnd::Answered ? static_cast<uint16_t>(result.answer.status) : 0;
    out.connect = static_cast<float>(toMilliseconds(result.connectTime));
    out.elapsed = static_cast<float>(toMilliseconds(result.elapsed));
}

} // namespace damask
