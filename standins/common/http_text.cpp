#include "common/http_text.h"

#include "settings/settings.h"

namespace damask::standin {

namespace {

constexpr size_t MaxHeadBytes = 64 * 1024;         // request line and headers
constexpr int64_t MaxBodyBytes = 16 * 1024 * 1024; // request body
constexpr std::string_view LineEnd = "\r\n";

std::string_view takeLine(std::string_view &text)
{
    const size_t end = text.find(LineEnd);
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(text.size(), line.size() + LineEnd.size()));
    return line;
}

std::string_view trimmed(std::string_view text)
{
    const size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

Result<HttpRequest> parseHead(std::string_view head)
{
    HttpRequest request;
    const std::string_view line = takeLine(head);
    const size_t first = line.find(' ');
    const size_t second = line.rfind(' ');
    if (first == std::string_view::npos || second <= first) {
        return fail(Code::BadRequest, "the request line is malformed");
    }
    request.method = line.substr(0, first);
    request.path = line.substr(first + 1, second - first - 1);
    while (!head.empty()) {
        const std::string_view field = takeLine(head);
        const size_t colon = field.find(':');
        if (colon == std::string_view::npos) {
            return fail(Code::BadRequest, "a header field has no colon");
        }
        request.headers.push_back({std::string(field.substr(0, colon)), std::string(trimmed(field.substr(colon + 1)))});
    }
    return request;
}

std::string_view reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 404:
        return "Not Found";
    case 500:
        return "Internal Server Error";
    case 503:
        return "Service Unavailable";
    default:
        return "Other";
    }
}

} // namespace

Result<std::optional<HttpRequest>> extractRequest(std::string &buf)
{
    const size_t end = buf.find("\r\n\r\n");
    if (end == std::string::npos) {
        if (buf.size() > MaxHeadBytes) {
            return fail(Code::HeaderTooLarge);
        }
        return std::optional<HttpRequest>();
    }
    auto request = parseHead(std::string_view(buf).substr(0, end));
    if (!request) {
        return tl::make_unexpected(request.error());
    }
    const std::string_view lengthText = headerValue(request->headers, "Content-Length");
    const auto length = lengthText.empty() ? Result<int64_t>(0) : parseNumber(lengthText);
    if (!length || *length < 0 || *length > MaxBodyBytes) {
        return fail(Code::BadRequest, "Content-Length is invalid or above the limit");
    }
    const size_t start = end + 2 * LineEnd.size();
    const auto n = static_cast<size_t>(*length);
    if (buf.size() < start + n) {
        return std::optional<HttpRequest>();
    }
    request->body = buf.substr(start, n);
    buf.erase(0, start + n);
    return std::optional<HttpRequest>(std::move(*request));
}

std::string formatResponse(int status, std::span<const HeaderField> headers, std::string_view body)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
    out += reasonPhrase(status);
    out += LineEnd;
    for (const HeaderField &it : headers) {
        out += it.name + ": " + it.value;
        out += LineEnd;
    }
    out += "Content-Length: " + std::to_string(body.size());
    out += "\r\n\r\n";
    out += body;
    return out;
}

} // namespace damask::standin
