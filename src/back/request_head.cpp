#include "back/request_head.h"

#include "http/field_text.h"

#include <algorithm>
#include <array>

namespace damask {

namespace {

constexpr size_t HeadReserve = 512; // bytes; enough for most heads

/// Fields that this file generates for every protocol, or that damaskflow handles itself (Expect).
constexpr std::array<std::string_view, 3> GeneratedFields{"Host", "Content-Length", "Expect"};

bool isGeneratedField(std::string_view name)
{
    return std::any_of(GeneratedFields.begin(), GeneratedFields.end(),
                       [name](std::string_view it) { return sameHeaderName(it, name); });
}

void appendRequestLine(std::string &out, std::string_view method, std::string_view path, std::string_view host)
{
    out.reserve(HeadReserve);
    out += method;
    out += ' ';
    out += path;
    out += " HTTP/1.1\r\n";
    appendField(out, "Host", host);
}

/// Whether a field of the caller is passed on to the target.
bool isForwarded(std::string_view name, std::string_view connectionField, const Attempt &attempt,
                 const TargetProtocol &protocol)
{
    const bool hidden = attempt.hidesKeys && protocol.hides && protocol.hides(name);
    return !hidden && !isHopByHop(name, connectionField) && !isGeneratedField(name) && !protocol.replaces(name);
}

bool hasBody(const CallRequest &request)
{
    return request.stream || !request.body.empty() || request.method == "POST" || request.method == "PUT"
           || request.method == "PATCH";
}

} // namespace

void appendField(std::string &out, std::string_view name, std::string_view value)
{
    out += name;
    out += ": ";
    out += value;
    out += "\r\n";
}

std::string formatMilliseconds(Duration duration)
{
    const auto n = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return std::to_string(std::max<int64_t>(n, 1));
}

std::string requestHead(const Attempt &attempt, Duration timeLeft, const TargetProtocol &protocol)
{
    const CallRequest &request = attempt.request;
    const std::string_view connectionField = headerValue(request.headers, "Connection");
    std::string out;
    appendRequestLine(out, request.method, request.path, request.host);
    for (const HeaderField &it : request.headers) {
        if (isForwarded(it.name, connectionField, attempt, protocol)) {
            appendField(out, it.name, it.value);
        }
    }
    protocol.write(attempt, timeLeft, out);
    if (request.stream && !request.stream->length) {
        appendField(out, "Transfer-Encoding", "chunked");
    } else if (hasBody(request)) {
        const uint64_t length = request.stream ? *request.stream->length : request.body.size();
        appendField(out, "Content-Length", std::to_string(length));
    }
    out += "\r\n";
    return out;
}

std::string connectionKey(std::string_view address, uint16_t port)
{
    std::string out(address);
    out += ':';
    out += std::to_string(port);
    return out;
}

std::string probeRequestHead(std::string_view method, std::string_view path, std::string_view host)
{
    std::string out;
    appendRequestLine(out, method, path, host);
    out += "\r\n";
    return out;
}

} // namespace damask
