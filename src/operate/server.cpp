#include "operate/server.h"

#include "base/check.h"
#include "base/log.h"
#include "base/worker_pool.h"

#include <httplib.h>
#include <sys/socket.h>
#include <utility>

namespace damask {

namespace {

constexpr int Backlog = 128;               // connections waiting to be accepted
constexpr size_t QueueLimit = 1024 * 1024; // above any limit of descriptors: the library can't handle a rejected task
constexpr int TransferTimeoutSeconds = 5;  // for a client to send a request or receive a response
constexpr std::string_view Bearer = "Bearer ";

/// Runs the library's queue of accepted connections on a WorkerPool.
class PoolQueue : public httplib::TaskQueue
{
public:
    PoolQueue(Clock &clock, size_t threads)
        : m_pool(clock, {.name = "operate", .threads = threads, .queueLimit = QueueLimit})
    {
    }

    void enqueue(std::function<void()> task) override
    {
        const auto submitted = m_pool.submit(std::move(task));
        DAMASK_ASSERT(submitted.has_value(), "stop the listener before its worker pool");
    }

    void shutdown() override
    {
        m_pool.drain();
    }

private:
    WorkerPool m_pool;
};

/// Gives access to the library's listening socket, whose default backlog is 5.
class Listener : public httplib::Server
{
public:
    void setBacklog()
    {
        ::listen(svr_sock_, Backlog);
    }
};

/// Compares in constant time, so that the response time does not reveal where the first difference is.
bool sameSecret(std::string_view left, std::string_view right)
{
    unsigned difference = left.size() == right.size() ? 0 : 1;
    for (size_t n = 0; n < left.size(); ++n) {
        const char other = right.empty() ? '\0' : right[n % right.size()];
        difference |= static_cast<unsigned char>(left[n]) ^ static_cast<unsigned char>(other);
    }
    return difference == 0;
}

Error errorOfStatus(int status, std::string_view path)
{
    switch (status) {
    case 404:
        return {Code::NotFound, "no such page: " + std::string(path)};
    case 413:
        return {Code::BodyTooLarge, "send a smaller body"};
    default:
        return {Code::BadRequest, "the request is not valid"};
    }
}

void writeResponse(httplib::Response &out, const OperateResponse &response)
{
    out.status = response.status;
    out.set_content(response.body, response.type);
}

} // namespace

struct OperateServer::State {
    struct Route {
        OperateHandler handler;
        bool open = false;
    };
    using RouteKey = std::pair<std::string, std::string>; // method, path

    explicit State(const OperateOptions &o)
        : options(o)
    {
    }

    void handle(const httplib::Request &request, httplib::Response &out);
    bool tokenAccepted(const httplib::Request &request) const;
    const Route *findRoute(std::string_view method, std::string_view path) const;
    void refuse(httplib::Response &out, int status, const Error &error);
    void answerLibraryError(const httplib::Request &request, httplib::Response &out);
    void waitUntilRunning();

    OperateOptions options;
    Clock clock;
    Listener listener;
    std::map<RouteKey, Route> routes;
    RankedMutex mutex{LockRank::Server};
    Condition started{clock};
    bool running = false;
    uint16_t port = 0;
    Thread thread;
};

bool OperateServer::State::tokenAccepted(const httplib::Request &request) const
{
    if (options.token.empty()) {
        return true;
    }
    const std::string given = request.get_header_value("Authorization");
    const std::string_view view = given;
    return view.starts_with(Bearer) && sameSecret(view.substr(Bearer.size()), options.token);
}

void OperateServer::State::refuse(httplib::Response &out, int status, const Error &error)
{
    if (options.refused) {
        options.refused(error.code);
    }
    writeResponse(out, operateError(status, error));
}

/// Returns the route of exactly this path, or else the longest matching "PREFIX/*" route; null if none.
const OperateServer::State::Route *OperateServer::State::findRoute(std::string_view method, std::string_view path) const
{
    auto it = routes.find({std::string(method), std::string(path)});
    size_t slash = path.rfind('/');
    while (it == routes.end() && slash != std::string_view::npos) {
        it = routes.find({std::string(method), std::string(path.substr(0, slash)) + "/*"});
        slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1);
    }
    return it == routes.end() ? nullptr : &it->second;
}

void OperateServer::State::handle(const httplib::Request &request, httplib::Response &out)
{
    const Route *it = findRoute(request.method, request.path);
    const bool known = it != nullptr;
    if (!(known && it->open) && !tokenAccepted(request)) {
        out.set_header("WWW-Authenticate", "Bearer");
        refuse(out, 401, {Code::TokenRefused, "send the operators' token as Authorization: Bearer TOKEN"});
        return;
    }
    if (!known) {
        refuse(out, 404, errorOfStatus(404, request.path));
        return;
    }
    OperateRequest in;
    in.method = request.method;
    in.path = request.path;
    in.query.insert(request.params.begin(), request.params.end());
    in.body = request.body;
    writeResponse(out, it->handler(in));
}

void OperateServer::State::answerLibraryError(const httplib::Request &request, httplib::Response &out)
{
    if (out.body.empty()) {
        refuse(out, out.status, errorOfStatus(out.status, request.path));
    }
}

void OperateServer::State::waitUntilRunning()
{
    LockGuard lock(mutex);
    while (!running) {
        started.wait(lock);
    }
}

OperateServer::OperateServer(const OperateOptions &options)
    : m_state(std::make_unique<State>(options))
{
}

OperateServer::~OperateServer()
{
    stop();
}

void OperateServer::route(std::string_view method, std::string_view path, OperateHandler handler, bool open)
{
    DAMASK_ASSERT(!m_state->thread.running(), "add routes before start()");
    m_state->routes[{std::string(method), std::string(path)}] = {std::move(handler), open};
}

Result<void> OperateServer::start()
{
    State &state = *m_state;
    Listener &listener = state.listener;
    listener.set_keep_alive_max_count(1);
    listener.set_tcp_nodelay(true);
    // The library's default, SO_REUSEPORT, fails while connections of the previous process linger.
    listener.set_socket_options([](socket_t it) {
        const int on = 1;
        ::setsockopt(it, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    });
    listener.set_payload_max_length(state.options.maxBodyBytes);
    listener.set_read_timeout(TransferTimeoutSeconds);
    listener.set_write_timeout(TransferTimeoutSeconds);
    const auto handler = [&state](const httplib::Request &in, httplib::Response &out) {
        state.handle(in, out);
    };
    listener.Get(".*", handler).Post(".*", handler).Put(".*", handler).Delete(".*", handler);
    listener.set_error_handler(
        [&state](const httplib::Request &in, httplib::Response &out) { state.answerLibraryError(in, out); });
    listener.new_task_queue = [&state] {
        LockGuard lock(state.mutex);
        state.running = true;
        state.started.notifyAll();
        return new PoolQueue(state.clock, state.options.threads);
    };
    const std::string endpoint = state.options.address + ":" + std::to_string(state.options.port);
    if (state.options.port == 0) {
        const int port = listener.bind_to_any_port(state.options.address);
        state.port = static_cast<uint16_t>(port > 0 ? port : 0);
    } else if (listener.bind_to_port(state.options.address, state.options.port)) {
        state.port = state.options.port;
    }
    if (state.port == 0) {
        return fail(Code::SystemError, "can't listen on " + endpoint + " for the operators' port");
    }
    listener.setBacklog();
    state.thread = Thread("operate-accept", [&listener] { listener.listen_after_bind(); });
    state.waitUntilRunning();
    return {};
}

void OperateServer::stop()
{
    if (m_state->thread.running()) {
        m_state->listener.stop();
        m_state->thread.join();
    }
}

uint16_t OperateServer::port() const
{
    return m_state->port;
}

OperateResponse operateError(int status, const Error &error)
{
    std::string body = "{\"code\": " + std::to_string(codeNumber(error.code)) + ", \"name\": ";
    appendJsonString(body, codeName(error.code));
    body += ", \"detail\": ";
    appendJsonString(body, error.detail);
    body += "}\n";
    return {status, "application/json", std::move(body)};
}

} // namespace damask
