#include "back/target_protocol.h"

#include "back/load_report.h"
#include "back/request_head.h"
#include "call/headers.h"
#include "http/field_text.h"

#include <algorithm>
#include <array>

namespace damask {

namespace {

constexpr int MaxReported = 1'000'000; // in a load report; larger values are malformed
constexpr int HttpOk = 200;
constexpr int TooManyRequests = 429;
constexpr int ServiceUnavailable = 503;

constexpr std::array<std::string_view, 4> RequestFields{header::RequestId, header::Deadline, header::Depth,
                                                        header::Attempt};
constexpr std::array<std::string_view, 7> ResponseFields{header::Load,    header::Drain,      header::Refused,
                                                         header::Outcome, header::ResultCode, header::Target,
                                                         header::Attempts};

bool isOneOf(std::span<const std::string_view> names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(), [name](std::string_view it) { return sameHeaderName(it, name); });
}

/// Parses "inflight=3; slots=6".
std::optional<LoadReport> parseLoad(std::string_view text)
{
    LoadReport out;
    bool seen = false;
    while (!text.empty()) {
        const size_t semicolon = text.find(';');
        const std::string_view part = trimmed(text.substr(0, semicolon));
        const size_t equals = part.find('=');
        if (equals == std::string_view::npos) {
            return std::nullopt;
        }
        int n = 0;
        if (!parseNumber(trimmed(part.substr(equals + 1)), n) || n < 0 || n > MaxReported) {
            return std::nullopt;
        }
        const std::string_view name = trimmed(part.substr(0, equals));
        if (sameHeaderName(name, "inflight")) {
            out.inFlight = n;
            seen = true;
        } else if (sameHeaderName(name, "slots")) {
            out.slots = n;
        }
        text = semicolon == std::string_view::npos ? std::string_view() : text.substr(semicolon + 1);
    }
    return seen ? std::optional(out) : std::nullopt;
}

void writeFields(const Attempt &attempt, Duration timeLeft, std::string &head)
{
    appendField(head, header::RequestId, attempt.request.requestId);
    appendField(head, header::Deadline, formatMilliseconds(timeLeft));
    appendField(head, header::Depth, std::to_string(attempt.request.depth + 1));
    appendField(head, header::Attempt, std::to_string(attempt.number));
}

std::optional<LoadReport> readLoadFields(std::span<const HeaderField> headers)
{
    auto out = parseLoad(headerValue(headers, header::Load));
    if (sameHeaderName(headerValue(headers, header::Drain), "yes")) {
        out = out.value_or(LoadReport());
        out->draining = true;
    }
    return out;
}

std::optional<Code> readRefusal(const ResponseHead &head)
{
    const bool status = head.status == ServiceUnavailable || head.status == TooManyRequests;
    const bool refused = status && headerValue(head.headers, header::Refused) == "not-run";
    return refused ? std::optional(Code::TargetRefused) : std::nullopt;
}

/// A target that repeats the request's id thereby names the request that it answers.
Result<void> checkRequestId(const Attempt &attempt, const ResponseHead &head)
{
    const std::string_view id = headerValue(head.headers, header::RequestId);
    return id.empty() || id == attempt.request.requestId
               ? Result<void>()
               : fail(Code::BadAnswer, "the answer carries the id of another request");
}

TargetNotice readNotice(const TargetAddress &, std::string_view, const ResponseHead &head)
{
    TargetNotice out;
    if (readRefusal(head) && head.status == ServiceUnavailable) {
        out.pushBack = retryAfterTime(head.headers).value_or(Duration::zero());
    }
    return out;
}

Result<LoadReport> readLoadReport(const TargetAddress &, const ResponseHead &head, std::string_view body)
{
    if (head.status != HttpOk) {
        return fail(Code::BadAnswer, "the load endpoint did not return status 200");
    }
    return parseLoadReport(body);
}

} // namespace

TargetProtocol defaultTargetProtocol()
{
    TargetProtocol out;
    out.write = writeFields;
    out.replaces = [](std::string_view name) {
        return isOneOf(RequestFields, name);
    };
    out.load = readLoadFields;
    out.refusalCode = readRefusal;
    out.notice = readNotice;
    out.check = checkRequestId;
    out.requestId = [](const ResponseHead &head) {
        return headerValue(head.headers, header::RequestId);
    };
    out.strips = [](std::string_view name) {
        return isOneOf(ResponseFields, name);
    };
    out.probePath = [](const TargetAddress &) {
        return std::string("/load");
    };
    out.readProbe = readLoadReport;
    return out;
}

} // namespace damask
