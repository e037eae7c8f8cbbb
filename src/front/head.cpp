#include "front/head.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace damask {

namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr size_t MaxLengthDigits = 18;      // of Content-Length; always fits size_t
constexpr size_t MaxFields = 256;           // per head
constexpr size_t MaxConnectionOptions = 32; // per head; each is compared with every header field

constexpr std::array<std::string_view, 9> HopByHop{
    "Connection", "Keep-Alive",        "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",
};

bool isTokenChar(char c)
{
    constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
           || Others.find(c) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenChar);
}

bool isValueChar(char c)
{
    const auto n = static_cast<unsigned char>(c);
    return n == '\t' || (n >= 0x20 && n != 0x7f);
}

bool isLineChar(char c)
{
    return c >= 0x20 && c < 0x7f;
}

std::string_view trimmed(std::string_view text)
{
    const size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::string lowered(std::string_view text)
{
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(),
                   [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
    return out;
}

std::string_view withoutPort(std::string_view host)
{
    if (host.starts_with('[')) {
        return host.substr(0, host.find(']') + 1);
    }
    return host.substr(0, host.find(':'));
}

/// Parses the header fields of one request in order.
class HeadParser
{
public:
    Result<void> parseLine(std::string_view line)
    {
        const size_t colon = line.find(':');
        if (colon == std::string_view::npos || !isToken(line.substr(0, colon))) {
            return fail(Code::BadRequest, "a header line does not begin with a valid field name");
        }
        const std::string_view value = trimmed(line.substr(colon + 1));
        if (!std::all_of(value.begin(), value.end(), isValueChar)) {
            return fail(Code::BadRequest, "a header value contains a control character");
        }
        return parseField(line.substr(0, colon), value);
    }

    Result<RequestHead> finish()
    {
        const bool isHttp10 = head.line.ends_with("HTTP/1.0");
        if (m_hosts > 1 || (m_hosts == 0 && !isHttp10)) {
            return fail(Code::BadRequest, "the request must have exactly one Host field");
        }
        if (m_chunked && (m_hasContentLength || isHttp10)) {
            return fail(Code::BadRequest,
                        "Transfer-Encoding is not allowed together with Content-Length or in HTTP/1.0");
        }
        if (m_chunked) {
            head.bodyKind = BodyKind::Chunked;
        } else if (head.bodyBytes > 0) {
            head.bodyKind = BodyKind::Sized;
        }
        std::erase_if(head.fields,
                      [this](const HeaderField &n) { return isConnectionOption(n.name) || isHopByHop(n.name); });
        return std::move(head);
    }

    RequestHead head;

private:
    Result<void> parseField(std::string_view name, std::string_view value)
    {
        if (sameHeaderName(name, "Content-Length")) {
            return parseContentLength(value);
        }
        if (sameHeaderName(name, "Transfer-Encoding")) {
            return parseTransferEncoding(value);
        }
        if (sameHeaderName(name, "Expect")) {
            head.expectsContinue = sameHeaderName(value, "100-continue");
            return {};
        }
        if (sameHeaderName(name, "Connection")) {
            parseConnection(value);
            if (m_connectionOptions.size() > MaxConnectionOptions) {
                return fail(Code::BadRequest, "the Connection header lists too many options");
            }
        }
        if (sameHeaderName(name, "Host")) {
            ++m_hosts;
            head.host = lowered(withoutPort(value));
        }
        if (head.fields.size() >= MaxFields) {
            return fail(Code::HeaderTooLarge, "more than " + std::to_string(MaxFields) + " header fields");
        }
        head.fields.push_back({std::string(name), std::string(value)});
        return {};
    }

    Result<void> parseContentLength(std::string_view value)
    {
        const bool digits = !value.empty() && value.size() <= MaxLengthDigits
                            && std::all_of(value.begin(), value.end(), [](char c) { return c >= '0' && c <= '9'; });
        if (m_hasContentLength || !digits) {
            return fail(Code::BadRequest, "Content-Length is repeated or is not a non-negative integer");
        }
        m_hasContentLength = true;
        std::from_chars(value.data(), value.data() + value.size(), head.bodyBytes);
        return {};
    }

    Result<void> parseTransferEncoding(std::string_view value)
    {
        if (m_chunked || !sameHeaderName(value, "chunked")) {
            return fail(Code::BadRequest, "the only supported Transfer-Encoding is chunked, given once");
        }
        m_chunked = true;
        return {};
    }

    void parseConnection(std::string_view value)
    {
        while (!value.empty()) {
            const size_t end = std::min(value.find(','), value.size());
            const std::string_view option = trimmed(value.substr(0, end));
            head.close = head.close || sameHeaderName(option, "close");
            head.keepAlive = head.keepAlive || sameHeaderName(option, "keep-alive");
            m_connectionOptions.emplace_back(option);
            value.remove_prefix(std::min(end + 1, value.size()));
        }
    }

    bool isConnectionOption(std::string_view name) const
    {
        return !sameHeaderName(name, "Host")
               && std::any_of(m_connectionOptions.begin(), m_connectionOptions.end(),
                              [name](std::string_view n) { return sameHeaderName(n, name); });
    }

    std::vector<std::string> m_connectionOptions; // listed in Connection fields
    int m_hosts = 0;
    bool m_hasContentLength = false;
    bool m_chunked = false;
};

} // namespace

Result<std::optional<size_t>> findHeadEnd(std::string_view bytes, size_t &from)
{
    size_t at = bytes.find('\n', from);
    while (at != std::string_view::npos) {
        if (at == 0 || bytes[at - 1] != '\r') {
            return fail(Code::BadRequest, "lines must end with CRLF, not with a bare line feed");
        }
        if (at >= 3 && bytes[at - 2] == '\n') {
            return at + 1;
        }
        from = at + 1;
        at = bytes.find('\n', from);
    }
    from = bytes.size();
    return std::nullopt;
}

Result<RequestHead> parseHead(std::string_view head)
{
    HeadParser parser;
    size_t end = head.find(LineEnd);
    const std::string_view line = head.substr(0, end);
    if (line.empty() || !std::all_of(line.begin(), line.end(), isLineChar)) {
        return fail(Code::BadRequest, "the request line is empty or contains bytes outside printable ASCII");
    }
    parser.head.line = line;
    head.remove_prefix(end + LineEnd.size());
    while (!head.starts_with(LineEnd)) {
        end = head.find(LineEnd);
        if (end == std::string_view::npos) {
            return fail(Code::BadRequest, "the header has no terminating empty line");
        }
        const auto parsed = parser.parseLine(head.substr(0, end));
        if (!parsed) {
            return tl::make_unexpected(parsed.error());
        }
        head.remove_prefix(end + LineEnd.size());
    }
    return parser.finish();
}

bool isHopByHop(std::string_view name)
{
    return std::any_of(HopByHop.begin(), HopByHop.end(),
                       [name](std::string_view n) { return sameHeaderName(n, name); });
}

} // namespace damask
