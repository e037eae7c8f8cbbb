#include "front/exchange.h"

#include "base/check.h"
#include "front/translate.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <httplib.h>
#include <utility>

namespace damask {

namespace {

constexpr int LowestStatus = 200;  // of a final response
constexpr int HighestStatus = 599; // of any response

/// Context of the exchange that runs on this thread; thread-local, since the library passes no context to its hooks.
struct ExchangeContext {
    ExchangeContext(const ResponseHook &responseHook, const std::function<bool()> &closing,
                    const CallerProtocol &callerProtocol, std::string_view id)
        : hook(responseHook)
        , mustClose(closing)
        , protocol(callerProtocol)
        , requestId(id)
    {
    }

    const ResponseHook &hook;
    const std::function<bool()> &mustClose;
    const CallerProtocol &protocol;
    std::string_view requestId;
    bool close = false;
    bool called = false;
    std::vector<HeaderField> fields; // of the response
    bool hasLength = false;          // fields contain Content-Length
};

thread_local ExchangeContext *currentExchange = nullptr;

/// In-memory stream: the library reads the head from a view and writes the response into a string.
class MemoryStream : public httplib::Stream
{
public:
    explicit MemoryStream(std::string_view in)
        : m_in(in)
    {
    }

    bool is_readable() const override
    {
        return !m_in.empty();
    }
    bool is_writable() const override
    {
        return true;
    }
    ssize_t read(char *buf, size_t size) override
    {
        const size_t n = std::min(size, m_in.size());
        std::memcpy(buf, m_in.data(), n);
        m_in.remove_prefix(n);
        return static_cast<ssize_t>(n);
    }
    ssize_t write(const char *buf, size_t size) override
    {
        out.append(buf, size);
        return static_cast<ssize_t>(size);
    }
    void get_remote_ip_and_port(std::string & /*ip*/, int & /*port*/) const override
    {
    }
    void get_local_ip_and_port(std::string & /*ip*/, int & /*port*/) const override
    {
    }
    socket_t socket() const override
    {
        return 0;
    }

    std::string out;

private:
    std::string_view m_in;
};

/// Request line and Connection field, the only input the library needs. It would act on other fields (Range,
/// Accept-Encoding, Content-Type), which are for the target to handle.
std::string headForLibrary(const RequestHead &head)
{
    std::string text = head.line + "\r\n";
    if (head.close) {
        text += "Connection: close\r\n";
    } else if (head.keepAlive) {
        text += "Connection: Keep-Alive\r\n";
    }
    return text + "\r\n";
}

/// Response used when there is no valid one to forward.
CallResponse unknownResponse()
{
    CallResponse response;
    response.status = 502;
    response.outcome = Outcome::Unknown;
    response.code = Code::BadAnswer;
    return response;
}

bool hasNoBody(int status)
{
    return status == 204 || status == 304;
}

void writeFields(const httplib::Request &request, httplib::Response &out)
{
    const bool omitLength = currentExchange->hasLength || hasNoBody(out.status);
    out.headers.clear();
    for (const HeaderField &it : currentExchange->fields) {
        out.headers.emplace(it.name, it.value);
    }
    if (!omitLength) {
        out.headers.emplace("Content-Length", std::to_string(out.body.size()));
    }
    if (currentExchange->close || request.version == "HTTP/1.0") {
        out.headers.emplace("Connection", currentExchange->close ? "close" : "keep-alive");
    }
}

} // namespace

class HttpExchange::Library : public httplib::Server
{
public:
    Library()
    {
        set_pre_routing_handler([](const httplib::Request &request, httplib::Response &out) {
            respond(request, out);
            return HandlerResponse::Handled;
        });
        set_post_routing_handler(writeFields);
    }

    /// False if the library rejected the request line as malformed.
    bool process(MemoryStream &stream)
    {
        bool closed = false;
        process_request(stream, false, closed, [](httplib::Request &request) {
            const std::string option = request.get_header_value("Connection");
            const bool isHttp10 = request.version == "HTTP/1.0";
            currentExchange->close = option == "close" || (isHttp10 && option != "Keep-Alive");
        });
        return currentExchange->called;
    }

private:
    static void respond(const httplib::Request &request, httplib::Response &out)
    {
        currentExchange->called = true;
        currentExchange->fields = responseFields(unknownResponse(), currentExchange->requestId, false,
                                                 currentExchange->protocol); // used if the hook throws
        CallResponse response = currentExchange->hook(request.method, request.target);
        currentExchange->close = currentExchange->close || (currentExchange->mustClose && currentExchange->mustClose());
        if (response.status < LowestStatus || response.status > HighestStatus) {
            response = unknownResponse();
        }
        const bool headMethod = request.method == "HEAD";
        currentExchange->fields =
            responseFields(response, currentExchange->requestId, headMethod, currentExchange->protocol);
        currentExchange->hasLength = !headerValue(currentExchange->fields, "Content-Length").empty();
        out.status = response.status;
        if (!hasNoBody(response.status)) {
            out.body = std::move(response.body);
        }
    }
};

void closeAfter(EncodedResponse &response)
{
    constexpr std::string_view KeepAlive = "\r\nConnection: keep-alive\r\n"; // as writeFields() writes it
    constexpr std::string_view Close = "\r\nConnection: close";
    if (std::exchange(response.close, true)) {
        return;
    }
    const size_t headEnd = response.bytes.find("\r\n\r\n");
    DAMASK_ASSERT(headEnd != std::string::npos, "an encoded response has a complete head");
    const size_t kept = response.bytes.find(KeepAlive);
    if (kept < headEnd) {
        response.bytes.replace(kept, KeepAlive.size() - 2, Close);
    } else {
        response.bytes.insert(headEnd, Close);
    }
}

bool isKnownMethod(std::string_view method)
{
    constexpr std::array<std::string_view, 10> Methods{"GET",     "HEAD",    "POST",  "PUT",   "DELETE",
                                                       "CONNECT", "OPTIONS", "TRACE", "PATCH", "PRI"};
    return std::find(Methods.begin(), Methods.end(), method) != Methods.end();
}

HttpExchange::HttpExchange(CallerProtocol protocol)
    : m_protocol(std::move(protocol))
    , m_library(std::make_unique<Library>())
{
    encodeRefusal(CallResponse{}); // the library initialises its tables lazily; do it before threads share them
}

HttpExchange::~HttpExchange() = default;

EncodedResponse HttpExchange::run(const RequestHead &head, std::string_view requestId, const ResponseHook &hook,
                                  const std::function<bool()> &mustClose)
{
    ExchangeContext context(hook, mustClose, m_protocol, requestId);
    currentExchange = &context;
    const std::string text = headForLibrary(head);
    MemoryStream stream(text);
    const bool called = m_library->process(stream);
    currentExchange = nullptr;
    if (!called) {
        return {encodeRefusal(errorResponse({Code::BadRequest, "the request line is malformed"})), true};
    }
    return {std::move(stream.out), context.close};
}

std::string HttpExchange::encodeRefusal(const CallResponse &response)
{
    RequestHead head;
    head.line = "GET / HTTP/1.1";
    const auto hook = [&response](std::string_view, std::string_view) {
        return response;
    };
    return run(head, {}, hook, [] { return true; }).bytes;
}

} // namespace damask
