#include "front/caller_protocol.h"

#include "call/headers.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace damask {

namespace {

constexpr size_t MaxNameBytes = 128;                     // maximum length of a request id or a caller's name
constexpr int64_t MaxDeadlineMs = 24 * 60 * 60 * 1000;   // 24 h
constexpr int64_t MaxDepth = 1000;                       // nested calls; services set lower limits
constexpr std::string_view ReservedPrefix = "X-Damask-"; // response fields that only instances write
constexpr std::array<std::string_view, 4> ConsumedFields{// parsed into the CallRequest and not forwarded
                                                         header::RequestId, header::Deadline, header::Depth,
                                                         header::Attempt};

size_t countFields(std::span<const HeaderField> fields, std::string_view name)
{
    return static_cast<size_t>(std::count_if(fields.begin(), fields.end(),
                                             [name](const HeaderField &n) { return sameHeaderName(n.name, name); }));
}

bool isPlainName(std::string_view text)
{
    return !text.empty() && text.size() <= MaxNameBytes
           && std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

bool isConsumedField(std::string_view name)
{
    return std::any_of(ConsumedFields.begin(), ConsumedFields.end(),
                       [name](std::string_view n) { return sameHeaderName(n, name); });
}

bool isReservedField(std::string_view name)
{
    return sameHeaderName(name.substr(0, ReservedPrefix.size()), ReservedPrefix)
           || sameHeaderName(name, header::RequestId);
}

int64_t ceilSeconds(Duration duration)
{
    return std::chrono::ceil<std::chrono::seconds>(duration).count();
}

std::string codeText(Code code)
{
    return std::to_string(codeNumber(code)) + " " + std::string(codeName(code));
}

Result<void> readFields(std::vector<HeaderField> &fields, CallRequest &call)
{
    const auto deadline = readNumberField(fields, header::Deadline, Code::BadDeadline, MaxDeadlineMs);
    if (!deadline) {
        return tl::make_unexpected(deadline.error());
    }
    const auto depth = readNumberField(fields, header::Depth, Code::BadDepth, MaxDepth);
    if (!depth) {
        return tl::make_unexpected(depth.error());
    }
    auto id = readNameField(fields, header::RequestId);
    if (!id) {
        return tl::make_unexpected(id.error());
    }
    auto caller = readNameField(fields, header::Caller);
    if (!caller) {
        return tl::make_unexpected(caller.error());
    }
    call.requestId = std::move(*id);
    call.caller = std::move(*caller);
    call.depth = static_cast<int>(depth->value_or(0));
    if (*deadline) {
        call.timeLeft = std::chrono::milliseconds(**deadline);
    }
    std::erase_if(fields, [](const HeaderField &n) { return isConsumedField(n.name); });
    return {};
}

void writeFields(const CallResponse &response, std::string_view requestId, std::vector<HeaderField> &out)
{
    if (!requestId.empty()) {
        out.push_back({std::string(header::RequestId), std::string(requestId)});
    }
    out.push_back({std::string(header::Outcome), std::string(outcomeName(response.outcome))});
    out.push_back({std::string(header::ResultCode), codeText(response.code)});
    if (!response.target.empty()) {
        out.push_back({std::string(header::Target), response.target});
    }
    if (response.attempts > 0) {
        out.push_back({std::string(header::Attempts), std::to_string(response.attempts)});
    }
    if (response.retryAfter > Duration::zero()) {
        out.push_back({"Retry-After", std::to_string(ceilSeconds(response.retryAfter))});
    }
}

} // namespace

Result<std::optional<int64_t>> readNumberField(std::span<const HeaderField> fields, std::string_view name, Code code,
                                               int64_t maximum)
{
    const size_t n = countFields(fields, name);
    if (n == 0) {
        return std::nullopt;
    }
    const std::string_view text = headerValue(fields, name);
    int64_t number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (n > 1 || text.empty() || ec != std::errc() || end != text.data() + text.size() || number < 0
        || number > maximum) {
        return fail(code,
                    std::string(name) + " must occur once and be an integer from 0 to " + std::to_string(maximum));
    }
    return number;
}

Result<std::string> readNameField(std::span<const HeaderField> fields, std::string_view name)
{
    const size_t n = countFields(fields, name);
    if (n == 0) {
        return std::string();
    }
    const std::string_view text = headerValue(fields, name);
    if (n > 1 || !isPlainName(text)) {
        return fail(Code::BadRequest, std::string(name) + " must occur once and be a name of up to "
                                          + std::to_string(MaxNameBytes) + " printable ASCII characters");
    }
    return std::string(text);
}

CallerProtocol defaultCallerProtocol()
{
    return {readFields, writeFields, isReservedField};
}

} // namespace damask
