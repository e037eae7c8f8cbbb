#include "front/exchange.h"

#include "front/translate.h"

#include <algorithm>
#include <cstring>
#include <httplib.h>
#include <utility>

namespace damask {

namespace {

constexpr int LowestStatus = 200;  // of a final answer
constexpr int HighestStatus = 599; // of any answer

/// What one thread is at: the library hands its hooks no context of their own.
struct Running {
    Running(const AnswerHook &answer, const std::function<bool()> &closing, const CallerForm &callerForm,
            std::string_view id)
        : hook(answer)
        , mustClose(closing)
        , form(callerForm)
        , requestId(id)
    {
    }

    const AnswerHook &hook;
    const std::function<bool()> &mustClose;
    const CallerForm &form;
    std::string_view requestId;
    bool close = false;
    bool called = false;
    std::vector<HeaderField> fields; // to write
    bool hasLength = false;          // fields say Content-Length
};

thread_local Running *running = nullptr;

/// A connection in memory: the library reads the head from a view and writes into a string.
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

/// The request line and the one field that the library needs to know. It would act on others (Range,
/// Accept-Encoding, Content-Type), and those are the target's to answer.
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

/// Where there is no answer that could be passed on.
CallResponse unknownAnswer()
{
    CallResponse answer;
    answer.status = 502;
    answer.outcome = Outcome::Unknown;
    answer.code = Code::BadAnswer;
    return answer;
}

bool hasNoBody(int status)
{
    return status == 204 || status == 304;
}

void writeFields(const httplib::Request &request, httplib::Response &out)
{
    const bool ownLength = running->hasLength || hasNoBody(out.status);
    out.headers.clear();
    for (const HeaderField &it : running->fields) {
        out.headers.emplace(it.name, it.value);
    }
    if (!ownLength) {
        out.headers.emplace("Content-Length", std::to_string(out.body.size()));
    }
    if (running->close || request.version == "HTTP/1.0") {
        out.headers.emplace("Connection", running->close ? "close" : "keep-alive");
    }
}

} // namespace

class HttpExchange::Library : public httplib::Server
{
public:
    Library()
    {
        set_pre_routing_handler([](const httplib::Request &request, httplib::Response &out) {
            answer(request, out);
            return HandlerResponse::Handled;
        });
        set_post_routing_handler(writeFields);
    }

    /// False when the library found the request line malformed.
    bool process(MemoryStream &stream)
    {
        bool closed = false;
        process_request(stream, false, closed, [](httplib::Request &request) {
            const std::string option = request.get_header_value("Connection");
            const bool old = request.version == "HTTP/1.0";
            running->close = option == "close" || (old && option != "Keep-Alive");
        });
        return running->called;
    }

private:
    static void answer(const httplib::Request &request, httplib::Response &out)
    {
        running->called = true;
        running->fields =
            answerFields(unknownAnswer(), running->requestId, false, running->form); // in case the hook throws
        CallResponse given = running->hook(request.method, request.target);
        running->close = running->close || running->mustClose();
        if (given.status < LowestStatus || given.status > HighestStatus) {
            given = unknownAnswer();
        }
        const bool headMethod = request.method == "HEAD";
        running->fields = answerFields(given, running->requestId, headMethod, running->form);
        running->hasLength = !headerValue(running->fields, "Content-Length").empty();
        out.status = given.status;
        if (!hasNoBody(given.status)) {
            out.body = std::move(given.body);
        }
    }
};

HttpExchange::HttpExchange(std::function<bool()> leaving, CallerForm form)
    : m_leaving(std::move(leaving))
    , m_form(std::move(form))
    , m_library(std::make_unique<Library>())
{
    refuse(CallResponse{}); // the library fills its tables on first use: do that before threads share them
}

HttpExchange::~HttpExchange() = default;

EncodedAnswer HttpExchange::run(const RequestHead &head, std::string_view requestId, const AnswerHook &hook)
{
    return runWith(head, requestId, hook, m_leaving);
}

EncodedAnswer HttpExchange::runWith(const RequestHead &head, std::string_view requestId, const AnswerHook &hook,
                                    const std::function<bool()> &mustClose)
{
    Running now(hook, mustClose, m_form, requestId);
    running = &now;
    const std::string text = headForLibrary(head);
    MemoryStream stream(text);
    const bool called = m_library->process(stream);
    running = nullptr;
    if (!called) {
        return {refuse(refusal({Code::BadRequest, "the request line is malformed"})), true};
    }
    return {std::move(stream.out), now.close};
}

std::string HttpExchange::refuse(const CallResponse &answer)
{
    RequestHead head;
    head.line = "GET / HTTP/1.1";
    const auto hook = [&answer](std::string_view, std::string_view) {
        return answer;
    };
    return runWith(head, {}, hook, [] { return true; }).bytes;
}

} // namespace damask
