#include "http/response_head.h"

#include "http/field_text.h"
#include <algorithm>
#include <array>

namespace damask {

namespace {

constexpr size_t MinStatusLineBytes = 12; // bytes of "HTTP/1.1 200"

constexpr std::array<std::string_view, 9> HopByHop{"Connection", "Keep-Alive",         "Proxy-Connection",
                                                   "TE",         "Transfer-Encoding",  "Upgrade",
                                                   "Trailer",    "Proxy-Authenticate", "Proxy-Authorization"};

bool listHas(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const size_t comma = list.find(',');
        if (sameHeaderName(trimmed(list.substr(0, comma)), name)) {
            return true;
        }
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
    return false;
}

bool isTokenByte(char c)
{
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool digit = c >= '0' && c <= '9';
    return letter || digit || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool isValueByte(char c)
{
    const auto n = static_cast<unsigned char>(c);
    return n == '\t' || (n >= 0x20 && n != 0x7f);
}

/// Moves the first line of `text`, without its CRLF, to `line`. Returns false if there is no complete line or if it
/// contains a control character.
bool takeLine(std::string_view &text, std::string_view &line)
{
    const size_t end = text.find("\r\n");
    if (end == std::string_view::npos) {
        return false;
    }
    line = text.substr(0, end);
    text.remove_prefix(end + 2);
    return std::all_of(line.begin(), line.end(), isValueByte);
}

bool parseStatusLine(std::string_view line, ResponseHead &out)
{
    const bool known = line.starts_with("HTTP/1.1 ") || line.starts_with("HTTP/1.0 ");
    if (!known || line.size() < MinStatusLineBytes) {
        return false;
    }
    if (line.size() > MinStatusLineBytes && line[MinStatusLineBytes] != ' ') {
        return false;
    }
    out.close = line.starts_with("HTTP/1.0 ");
    return parseNumber(line.substr(9, 3), out.status) && out.status >= 200 && out.status <= 599;
}

bool parseField(std::string_view line, std::vector<HeaderField> &out)
{
    const size_t colon = line.find(':');
    if (colon == 0 || colon == std::string_view::npos) {
        return false;
    }
    const std::string_view name = line.substr(0, colon);
    if (!std::all_of(name.begin(), name.end(), isTokenByte)) {
        return false;
    }
    out.push_back({std::string(name), std::string(trimmed(line.substr(colon + 1)))});
    return true;
}

/// Determines how the body ends. Returns false if the fields are malformed or contradict each other.
bool detectFraming(ResponseHead &out, std::string_view method)
{
    size_t lengths = 0;
    size_t codings = 0;
    for (const HeaderField &it : out.headers) {
        if (sameHeaderName(it.name, "Content-Length")) {
            ++lengths;
            if (!parseNumber(it.value, out.length)) {
                return false;
            }
            out.framing = BodyFraming::Length;
        } else if (sameHeaderName(it.name, "Transfer-Encoding")) {
            ++codings;
            if (!sameHeaderName(it.value, "chunked")) {
                return false;
            }
            out.framing = BodyFraming::Chunked;
        }
    }
    if (method == "HEAD" || out.status == 204 || out.status == 304) {
        out.framing = BodyFraming::None;
    }
    return lengths + codings <= 1;
}

} // namespace

bool isHopByHop(std::string_view name, std::string_view connectionField)
{
    const bool known =
        std::any_of(HopByHop.begin(), HopByHop.end(), [name](std::string_view it) { return sameHeaderName(it, name); });
    return known || listHas(connectionField, name);
}

Result<ResponseHead> parseResponseHead(std::string_view head, std::string_view method)
{
    ResponseHead out;
    std::string_view line;
    if (!takeLine(head, line) || !parseStatusLine(line, out)) {
        return fail(Code::BadAnswer, "the status line of the response is malformed");
    }
    while (takeLine(head, line) && !line.empty()) {
        if (!parseField(line, out.headers)) {
            return fail(Code::BadAnswer, "a header field of the response is malformed");
        }
    }
    if (!line.empty() || !head.empty()) {
        return fail(Code::BadAnswer, "the header of the response is malformed");
    }
    if (!detectFraming(out, method)) {
        return fail(Code::BadAnswer, "the body length of the response is malformed or contradictory");
    }
    const std::string_view connection = headerValue(out.headers, "Connection");
    out.close = out.close || isHopByHop("close", connection); // true if the Connection field lists close
    return out;
}

std::vector<HeaderField> endToEndFields(std::vector<HeaderField> headers,
                                        const std::function<bool(std::string_view name)> &strips)
{
    const std::string connection(headerValue(headers, "Connection"));
    std::erase_if(headers, [&](const HeaderField &it) {
        return isHopByHop(it.name, connection) || sameHeaderName(it.name, "Content-Length") || strips(it.name);
    });
    return headers;
}

std::optional<Duration> retryAfterTime(std::span<const HeaderField> headers)
{
    constexpr double MaxSeconds = 24 * 60 * 60;
    const std::string_view text = headerValue(headers, "Retry-After");
    double seconds = 0;
    const bool plain = text.find_first_not_of("0123456789.") == std::string_view::npos; // no sign, exponent or name
    if (!plain || !parseNumber(text, seconds)) {
        return std::nullopt;
    }
    return fromMilliseconds(std::min(seconds, MaxSeconds) * 1000);
}

std::optional<Duration> keepAliveTime(std::span<const HeaderField> headers)
{
    constexpr std::string_view Timeout = "timeout=";
    const std::string_view text = headerValue(headers, "Keep-Alive");
    const size_t at = text.find(Timeout);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view number = text.substr(at + Timeout.size());
    int seconds = 0;
    return parseNumber(number.substr(0, number.find_first_not_of("0123456789")), seconds)
               ? std::optional<Duration>(std::chrono::seconds(seconds))
               : std::nullopt;
}

} // namespace damask
