#include "damask-target/server.h"

#include "base/hash.h"
#include "base/log.h"
#include "call/headers.h"
#include "settings/settings.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace damask::standin {

namespace {

constexpr int Backlog = 1024;                 // connections waiting to be accepted
constexpr int MaxEpollEvents = 64;            // per epoll_wait
constexpr size_t ReadBytes = 16 * 1024;       // per recv
constexpr size_t NestedCallThreads = 64;      // concurrent nested calls
constexpr size_t QueueLimit = 100000;         // tasks
constexpr uint64_t StopId = 0;                // epoll id of the stop event; listeners start at 1
constexpr uint64_t FirstConnection = 1000000; // connection ids in epoll; unlike descriptors, never reused

FileDescriptor listenOn(std::string_view address, uint16_t port)
{
    FileDescriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(port);
    ::inet_pton(AF_INET, std::string(address).c_str(), &name.sin_addr);
    const bool bound = ::bind(fd.get(), reinterpret_cast<const sockaddr *>(&name), sizeof name) == 0;
    if (!bound || ::listen(fd.get(), Backlog) != 0) {
        fd.reset();
    }
    return fd;
}

void watch(int epoll, int fd, uint64_t id, uint32_t events, int operation)
{
    epoll_event event{};
    event.events = events;
    event.data.u64 = id;
    ::epoll_ctl(epoll, operation, fd, &event);
}

bool idempotentMethod(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "PUT" || method == "DELETE" || method == "OPTIONS";
}

} // namespace

/// A target and its listening socket.
struct TargetServer::Hosted {
    std::string name;
    FileDescriptor listener;
    TargetModel model;
};

/// Owner of a connection's buffer: none, the worker that serves it, or the request in flight.
enum class ConnectionState {
    Parked,
    Serving,
    InFlight,
};

struct TargetServer::Connection {
    uint64_t id = 0;
    FileDescriptor fd;
    Hosted *hosted = nullptr;
    ConnectionState state = ConnectionState::Parked;
    std::string buf;     // received, not yet parsed
    uint64_t call = 0;   // the request in flight
    bool silent = false; // sends no more responses
    bool closed = false;
};

TargetServer::TargetServer(Clock &clock, const TargetServerOptions &options, NestedCall nestedCall)
    : m_clock(clock)
    , m_options(options)
    , m_nestedCall(std::move(nestedCall))
    , m_wake(clock)
{
}

TargetServer::~TargetServer()
{
    stop();
}

Result<void> TargetServer::start()
{
    m_epoll.reset(::epoll_create1(EPOLL_CLOEXEC));
    m_stopEvent.reset(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK));
    watch(m_epoll.get(), m_stopEvent.get(), StopId, EPOLLIN, EPOLL_CTL_ADD);
    for (int n = 0; n < m_options.count; ++n) {
        TargetOptions target = m_options.target;
        target.name = m_options.namePrefix + std::to_string(n + 1);
        const auto port = static_cast<uint16_t>(m_options.firstPort + n);
        FileDescriptor listener = listenOn(m_options.address, port);
        if (!listener.valid()) {
            return fail(Code::SystemError, "can't listen on port " + std::to_string(port));
        }
        watch(m_epoll.get(), listener.get(), static_cast<uint64_t>(n) + 1, EPOLLIN, EPOLL_CTL_ADD);
        TargetModel model(target, seededRandom(m_options.seed + static_cast<uint64_t>(n)), m_clock.now());
        m_hosted.push_back(std::unique_ptr<Hosted>(new Hosted{target.name, std::move(listener), std::move(model)}));
    }
    m_pool = std::make_unique<WorkerPool>(
        m_clock, WorkerPoolOptions{.name = "target", .threads = m_options.threads, .queueLimit = QueueLimit});
    m_nestedCallPool = std::make_unique<WorkerPool>(
        m_clock, WorkerPoolOptions{.name = "call-on", .threads = NestedCallThreads, .queueLimit = QueueLimit});
    m_poller = Thread("poller", [this] { poll(); });
    m_timer = Thread("timer", [this] { completeDue(); });
    return {};
}

void TargetServer::stop()
{
    if (!m_poller.running()) {
        return;
    }
    {
        LockGuard lock(m_mutex);
        while (m_inFlight > 0) {
            m_wake.waitUntil(lock, m_clock.now() + std::chrono::seconds(1));
        }
        m_stopping = true;
        m_wake.notifyAll();
    }
    ::eventfd_write(m_stopEvent.get(), 1);
    m_poller.join();
    m_timer.join();
    m_nestedCallPool->drain();
    m_pool->drain();
    m_connections.clear();
}

bool TargetServer::setFaults(std::string_view name, const std::function<void(TargetFaults &)> &change)
{
    LockGuard lock(m_mutex);
    bool found = false;
    for (const auto &it : m_hosted) {
        if (name != "*" && name != it->name) {
            continue;
        }
        found = true;
        TargetFaults faults = it->model.faults;
        change(faults);
        if (faults.silent && !it->model.faults.silent) {
            for (const auto &[id, connection] : m_connections) {
                connection->silent = connection->silent || connection->hosted == it.get();
            }
        }
        const bool unfrozen = it->model.faults.frozen && !faults.frozen;
        it->model.setFaults(faults, m_clock.now());
        if (unfrozen) {
            armParked(*it);
        }
    }
    m_wake.notifyAll();
    return found;
}

void TargetServer::crash(std::string_view name)
{
    LockGuard lock(m_mutex);
    for (const auto &[id, connection] : m_connections) {
        if (name == "*" || connection->hosted->name == name) {
            ::shutdown(connection->fd.get(), SHUT_RDWR);
        }
    }
}

void TargetServer::armParked(const Hosted &hosted)
{
    for (const auto &[id, connection] : m_connections) {
        if (connection->hosted == &hosted && connection->state == ConnectionState::Parked) {
            watch(m_epoll.get(), connection->fd.get(), id, EPOLLIN | EPOLLRDHUP | EPOLLONESHOT, EPOLL_CTL_MOD);
        }
    }
}

std::string TargetServer::ledgerText() const
{
    LockGuard lock(m_mutex);
    std::string out;
    for (const auto &it : m_hosted) {
        for (const auto &[id, times] : it->model.runCounts) {
            out += id + " " + std::to_string(times) + "\n";
        }
    }
    return out;
}

std::string TargetServer::statusText() const
{
    LockGuard lock(m_mutex);
    nlohmann::json out = nlohmann::json::array();
    for (const auto &it : m_hosted) {
        const LoadReport load = it->model.report(m_clock.now());
        out.push_back({{"name", it->name},
                       {"inFlight", load.inFlight},
                       {"slots", load.slots},
                       {"draining", load.draining},
                       {"arrived", it->model.arrived},
                       {"refused", it->model.refused},
                       {"lastArrivalMs", toMilliseconds(it->model.lastArrival.time_since_epoch())},
                       {"nowMs", toMilliseconds(m_clock.now().time_since_epoch())}});
    }
    return out.dump();
}

void TargetServer::poll()
{
    std::array<epoll_event, MaxEpollEvents> events{};
    while (true) {
        const int n = ::epoll_wait(m_epoll.get(), events.data(), MaxEpollEvents, -1);
        for (int it = 0; it < n; ++it) {
            const uint64_t id = events[static_cast<size_t>(it)].data.u64;
            if (id == StopId) {
                return;
            }
            if (id < FirstConnection) {
                accept(*m_hosted[id - 1]);
                continue;
            }
            ConnectionPtr connection;
            {
                LockGuard lock(m_mutex);
                const auto found = m_connections.find(id);
                connection = found == m_connections.end() ? nullptr : found->second;
            }
            if (connection) {
                const auto submitted = m_pool->submit([this, connection] { serve(connection); });
                if (!submitted) {
                    close(connection);
                }
            }
        }
    }
}

void TargetServer::accept(Hosted &hosted)
{
    const int fd = ::accept4(hosted.listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
        return;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto connection = std::make_shared<Connection>();
    connection->fd.reset(fd);
    connection->hosted = &hosted;
    LockGuard lock(m_mutex);
    connection->id = m_nextConnection++;
    m_connections[connection->id] = connection;
    watch(m_epoll.get(), fd, connection->id, EPOLLIN | EPOLLRDHUP | EPOLLONESHOT, EPOLL_CTL_ADD);
}

void TargetServer::park(const ConnectionPtr &connection)
{
    LockGuard lock(m_mutex);
    if (!connection->closed) {
        connection->state = ConnectionState::Parked;
        watch(m_epoll.get(), connection->fd.get(), connection->id, EPOLLIN | EPOLLRDHUP | EPOLLONESHOT, EPOLL_CTL_MOD);
    }
}

void TargetServer::close(const ConnectionPtr &connection)
{
    LockGuard lock(m_mutex);
    if (std::exchange(connection->closed, true)) {
        return;
    }
    m_connections.erase(connection->id);
    connection->fd.reset();
}

void TargetServer::serve(const ConnectionPtr &connection)
{
    {
        LockGuard lock(m_mutex);
        if (connection->closed || connection->silent || connection->hosted->model.faults.frozen) {
            return; // not read while silent or frozen; unfreezing arms the event again
        }
        if (connection->state == ConnectionState::InFlight) {
            handleDisconnect(*connection);
            return;
        }
        if (connection->state == ConnectionState::Serving) {
            return; // its worker sees the end of the stream on its next read
        }
        connection->state = ConnectionState::Serving;
    }
    std::array<char, ReadBytes> buf{};
    while (true) {
        const ssize_t n = ::recv(connection->fd.get(), buf.data(), buf.size(), 0);
        if (n > 0) {
            connection->buf.append(buf.data(), static_cast<size_t>(n));
            continue;
        }
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
            break;
        }
        close(connection);
        return;
    }
    serveNext(connection);
}

void TargetServer::serveNext(const ConnectionPtr &connection)
{
    auto request = extractRequest(connection->buf);
    if (!request) {
        close(connection);
        return;
    }
    if (!request->has_value()) {
        park(connection);
        return;
    }
    handleRequest(connection, std::move(**request));
}

void TargetServer::handleRequest(const ConnectionPtr &connection, HttpRequest request)
{
    if (request.path == "/load") {
        LoadReport load;
        {
            LockGuard lock(m_mutex);
            load = connection->hosted->model.report(m_clock.now());
        }
        const nlohmann::json body{{"inFlight", load.inFlight}, {"slots", load.slots}, {"draining", load.draining}};
        write(connection, formatResponse(200, {}, body.dump()));
        serveNext(connection);
        return;
    }
    if (headerValue(request.headers, "X-Chain-Left").empty()) {
        enqueue(connection, request);
        return;
    }
    // The nested call completes first; only then does this request take a slot like any other.
    auto nestedCall = [this, connection, request = std::move(request)] {
        const int status = m_nestedCall(request);
        if (status == 200) {
            enqueue(connection, request);
            return;
        }
        write(connection, formatResponse(status, {}, "the nested call failed"));
        serveNext(connection);
    };
    if (!m_nestedCallPool->submit(std::move(nestedCall))) {
        close(connection);
    }
}

void TargetServer::enqueue(const ConnectionPtr &connection, const HttpRequest &request)
{
    PendingCall call;
    call.requestId = headerValue(request.headers, header::RequestId);
    const auto left = parseNumber(headerValue(request.headers, header::Deadline));
    const TimePoint now = m_clock.now();
    call.deadline = left ? now + std::chrono::milliseconds(*left) : Never;
    const std::string echo = request.method + " " + call.requestId + " " + std::to_string(hashBytes(request.body))
                             + (idempotentMethod(request.method) ? "" : " once");
    call.answer = [this, connection, echo](const TargetAnswer &content) {
        answer(connection, content, echo);
    };
    std::vector<DueAnswer> due;
    {
        LockGuard lock(m_mutex);
        call.number = m_nextCall++;
        connection->call = call.number;
        connection->state = ConnectionState::InFlight;
        ++m_inFlight;
        // While the request is in flight, only a disconnect by the peer matters.
        watch(m_epoll.get(), connection->fd.get(), connection->id, EPOLLRDHUP | EPOLLONESHOT, EPOLL_CTL_MOD);
        connection->hosted->model.arrive(std::move(call), now, due);
        m_wake.notifyAll();
    }
    run(due);
}

void TargetServer::answer(const ConnectionPtr &connection, const TargetAnswer &content, std::string_view body)
{
    bool sendsNothing = false;
    {
        LockGuard lock(m_mutex);
        --m_inFlight;
        connection->call = 0;
        connection->state = ConnectionState::Serving;
        sendsNothing = connection->silent || connection->closed;
        m_wake.notifyAll();
    }
    if (sendsNothing) {
        return;
    }
    std::vector<HeaderField> headers{{std::string(header::Load), "inflight=" + std::to_string(content.load.inFlight)
                                                                     + "; slots=" + std::to_string(content.load.slots)},
                                     {"X-Target", connection->hosted->name}};
    if (content.draining) {
        headers.push_back({std::string(header::Drain), "yes"});
    }
    if (content.refused) {
        headers.push_back({std::string(header::Refused), "not-run"});
    }
    std::string text = formatResponse(content.status, headers, body);
    if (content.truncate) {
        text.resize(text.size() - body.size() / 2 - 1);
    }
    if (!content.close) {
        write(connection, text);
    }
    if (content.truncate || content.close) {
        close(connection);
        return;
    }
    serveNext(connection);
}

void TargetServer::write(const ConnectionPtr &connection, std::string_view text)
{
    // Responses are small: if one does not fit into the socket buffer, the caller is not reading, so close.
    const ssize_t n = ::send(connection->fd.get(), text.data(), text.size(), MSG_NOSIGNAL);
    if (n != static_cast<ssize_t>(text.size())) {
        close(connection);
    }
}

void TargetServer::handleDisconnect(Connection &connection)
{
    if (!connection.hosted->model.cancel(connection.call)) {
        return; // already running; it runs to completion
    }
    --m_inFlight;
    connection.closed = true;
    const ConnectionPtr kept = m_connections.at(connection.id);
    m_connections.erase(connection.id);
    kept->fd.reset();
    m_wake.notifyAll();
}

void TargetServer::completeDue()
{
    std::vector<DueAnswer> due;
    while (true) {
        {
            LockGuard lock(m_mutex);
            if (m_stopping) {
                return;
            }
            const TimePoint now = m_clock.now();
            TimePoint next = Never;
            for (const auto &it : m_hosted) {
                it->model.finishDue(now, due);
                next = std::min(next, it->model.nextDue());
            }
            if (due.empty()) {
                m_wake.waitUntil(lock, next);
            }
        }
        run(due);
    }
}

void TargetServer::run(std::vector<DueAnswer> &due)
{
    for (DueAnswer &it : due) {
        const auto submitted =
            m_pool->submit([answerIt = std::move(it.answer), content = it.content] { answerIt(content); });
        if (!submitted) {
            logEvent(Severity::Warning, "answer-dropped", {{"code", codeNumber(submitted.error().code)}});
        }
    }
    due.clear();
}

} // namespace damask::standin
