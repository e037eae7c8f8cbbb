#include "front/translate.h"

#include "base/log.h"
#include "call/headers.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace damask {

namespace {

constexpr size_t MaxNameBytes = 128;                 // of a request id or a caller's name
constexpr int64_t MaxDeadline = 24 * 60 * 60 * 1000; // ms
constexpr int64_t MaxDepth = 1000;                   // calls; services set lower bounds
constexpr std::string_view OwnPrefix = "X-Damask-";  // fields that only entries write in answers
constexpr std::array<std::string_view, 4> ReadHere{  // become members of the CallRequest
                                                   header::RequestId, header::Deadline, header::Depth, header::Attempt};

size_t countFields(std::span<const HeaderField> fields, std::string_view name)
{
    return static_cast<size_t>(std::count_if(fields.begin(), fields.end(),
                                             [name](const HeaderField &n) { return sameHeaderName(n.name, name); }));
}

/// The whole number in a field that may stand once; none when it is missing.
Result<std::optional<int64_t>> readNumber(std::span<const HeaderField> fields, std::string_view name, Code code,
                                          int64_t most)
{
    const size_t n = countFields(fields, name);
    if (n == 0) {
        return std::nullopt;
    }
    const std::string_view text = headerValue(fields, name);
    int64_t number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (n > 1 || text.empty() || ec != std::errc() || end != text.data() + text.size() || number < 0 || number > most) {
        return fail(code, std::string(name) + " needs one whole number from 0 to " + std::to_string(most));
    }
    return number;
}

bool isPlainName(std::string_view text)
{
    return !text.empty() && text.size() <= MaxNameBytes
           && std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

/// A name that is logged and counted under; `otherwise` when the field is missing.
Result<std::string> readName(std::span<const HeaderField> fields, std::string_view name)
{
    const size_t n = countFields(fields, name);
    if (n == 0) {
        return std::string();
    }
    const std::string_view text = headerValue(fields, name);
    if (n > 1 || !isPlainName(text)) {
        return fail(Code::BadRequest, std::string(name) + " needs one name of up to " + std::to_string(MaxNameBytes)
                                          + " printable ASCII characters");
    }
    return std::string(text);
}

bool isReadHere(std::string_view name)
{
    return std::any_of(ReadHere.begin(), ReadHere.end(),
                       [name](std::string_view n) { return sameHeaderName(n, name); });
}

bool isFraming(std::string_view name)
{
    return isHopByHop(name) || sameHeaderName(name, "Content-Length");
}

bool isOwn(std::string_view name)
{
    return sameHeaderName(name.substr(0, OwnPrefix.size()), OwnPrefix) || sameHeaderName(name, header::RequestId);
}

int64_t wholeSeconds(Duration duration)
{
    return std::chrono::ceil<std::chrono::seconds>(duration).count();
}

bool isPlainLine(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char c) { return c == '\r' || c == '\n' || c == '\0'; });
}

std::string codeText(Code code)
{
    return std::to_string(codeNumber(code)) + " " + std::string(codeName(code));
}

} // namespace

Result<CallRequest> toCall(WholeRequest request, const CallContext &context)
{
    std::vector<HeaderField> &fields = request.head.fields;
    const auto deadline = readNumber(fields, header::Deadline, Code::BadDeadline, MaxDeadline);
    if (!deadline) {
        return tl::make_unexpected(deadline.error());
    }
    const auto depth = readNumber(fields, header::Depth, Code::BadDepth, MaxDepth);
    if (!depth) {
        return tl::make_unexpected(depth.error());
    }
    auto id = readName(fields, header::RequestId);
    if (!id) {
        return tl::make_unexpected(id.error());
    }
    auto caller = readName(fields, header::Caller);
    if (!caller) {
        return tl::make_unexpected(caller.error());
    }
    CallRequest call;
    call.host = std::move(request.head.host);
    call.body = std::move(request.body);
    call.requestId = id->empty() ? context.makeId() : std::move(*id);
    call.caller = caller->empty() ? std::string(context.peer) : std::move(*caller);
    call.depth = static_cast<int>(depth->value_or(0));
    call.arrivedAt = context.arrivedAt;
    if (*deadline) {
        call.timeLeft = std::chrono::milliseconds(**deadline);
    }
    std::erase_if(fields, [](const HeaderField &n) { return isReadHere(n.name); });
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

Answer refusal(const Error &error)
{
    Answer answer;
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

std::vector<HeaderField> answerFields(const Answer &answer, std::string_view requestId, bool headMethod)
{
    std::vector<HeaderField> out;
    for (const HeaderField &it : answer.headers) {
        const bool length = headMethod && sameHeaderName(it.name, "Content-Length");
        const bool skip = (isFraming(it.name) && !length) || isOwn(it.name);
        if (!skip && isPlainLine(it.name) && isPlainLine(it.value)) {
            out.push_back(it);
        }
    }
    if (!requestId.empty()) {
        out.push_back({std::string(header::RequestId), std::string(requestId)});
    }
    out.push_back({std::string(header::Outcome), std::string(outcomeName(answer.outcome))});
    out.push_back({std::string(header::ResultCode), codeText(answer.code)});
    if (!answer.target.empty()) {
        out.push_back({std::string(header::Target), answer.target});
    }
    if (answer.attempts > 0) {
        out.push_back({std::string(header::Attempts), std::to_string(answer.attempts)});
    }
    if (answer.retryAfter > Duration::zero()) {
        out.push_back({"Retry-After", std::to_string(wholeSeconds(answer.retryAfter))});
    }
    return out;
}

} // namespace damask
