#include "wire/node.h"

#include "base/log.h"
#include "base/scope.h"
#include "base/thread.h"

#include <atomic>
#include <deque>
#include <exception>
#include <map>
#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.hpp>
#include <zmq_addon.hpp>

namespace damask {

namespace {

constexpr int HandshakeTimeout = 5000; // ms
constexpr int StopLinger = 500;        // ms
constexpr int RebindInterval = 50;     // ms between attempts to bind a listener again
constexpr size_t ZapFrames = 7;        // in a request with a CURVE key, as in ZeroMQ RFC 27
constexpr size_t KeyBytes = 32;
constexpr std::string_view ZapAddress = "inproc://zeromq.zap.01";

/// A message queued for the thread.
struct OutgoingMessage {
    WirePeer peer;     // destination, when isReply is false
    WireSource source; // destination, when isReply is true
    bool isReply = false;
    std::string bytes;
    std::string_view kind;
};

/// An outgoing connection with its last use.
struct Connection {
    zmq::socket_t socket;
    uint64_t lastUsedAt = 0; // iteration of the loop
};

void setCommonOptions(zmq::socket_t &socket, const WireNodeOptions &options)
{
    const int heartbeat = static_cast<int>(toMilliseconds(options.heartbeat));
    socket.set(zmq::sockopt::linger, StopLinger);
    socket.set(zmq::sockopt::sndhwm, static_cast<int>(options.sendLimit));
    socket.set(zmq::sockopt::rcvhwm, static_cast<int>(options.receiveLimit));
    socket.set(zmq::sockopt::maxmsgsize, static_cast<int64_t>(MaxMessageBytes));
    socket.set(zmq::sockopt::heartbeat_ivl, heartbeat);
    socket.set(zmq::sockopt::heartbeat_timeout, 2 * heartbeat);
    socket.set(zmq::sockopt::heartbeat_ttl, 3 * heartbeat);
    socket.set(zmq::sockopt::handshake_ivl, HandshakeTimeout);
}

std::string_view viewOf(const zmq::message_t &frame)
{
    return {static_cast<const char *>(frame.data()), frame.size()};
}

std::string encodeKey(std::string_view raw)
{
    std::array<char, KeyTextBytes + 1> buf{};
    if (raw.size() != KeyBytes
        || !zmq_z85_encode(buf.data(), reinterpret_cast<const uint8_t *>(raw.data()), KeyBytes)) {
        return {};
    }
    return buf.data();
}

} // namespace

struct WireNode::State {
    Clock &clock;
    Metrics &metrics;
    WireNodeOptions options;
    WireNodeHooks hooks;
    zmq::context_t context{1};
    FileDescriptor wake{::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)};

    mutable RankedMutex mutex{LockRank::Wire};
    std::deque<OutgoingMessage> outbox; // guarded by mutex
    std::vector<std::string> addresses; // bound; guarded by mutex
    bool closed = true;                 // guarded by mutex
    bool reconnectRequested = false;    // guarded by mutex

    // Used only by the thread after start().
    zmq::socket_t zap;
    std::vector<zmq::socket_t> listeners; // one without a handle still has to be bound again
    std::map<std::string, Connection> connections;
    uint64_t iteration = 0;
    Thread thread;

    State(Clock &clockIn, Metrics &metricsIn, const WireNodeOptions &optionsIn, WireNodeHooks hooksIn)
        : clock(clockIn)
        , metrics(metricsIn)
        , options(optionsIn)
        , hooks(std::move(hooksIn))
    {
    }

    void signal() const
    {
        const uint64_t one = 1;
        if (::write(wake.get(), &one, sizeof one) < 0) {
            return; // the eventfd counter is at its maximum, so the thread wakes anyway
        }
    }

    Result<void> push(OutgoingMessage item)
    {
        {
            LockGuard lock(mutex);
            if (closed) {
                return fail(Code::QueueClosed, options.name);
            }
            if (outbox.size() >= options.outboxLimit) {
                metrics.countCode("damask_wire_refusals_total", Code::QueueFull);
                return fail(Code::QueueFull, options.name);
            }
            outbox.push_back(std::move(item));
        }
        signal();
        return {};
    }

    zmq::socket_t bindListener(size_t n)
    {
        const WireListener &listener = options.listeners[n];
        zmq::socket_t socket(context, zmq::socket_type::router);
        setCommonOptions(socket, options);
        socket.set(zmq::sockopt::router_mandatory, true);
        if (!listener.key.empty()) {
            socket.set(zmq::sockopt::zap_domain, listener.domain);
            socket.set(zmq::sockopt::curve_server, true);
            socket.set(zmq::sockopt::curve_secretkey, listener.key.secretKey);
        }
        socket.bind(addresses.size() > n ? addresses[n] : listener.address);
        return socket;
    }

    Result<void> open()
    {
        try {
            zap = zmq::socket_t(context, zmq::socket_type::rep);
            zap.set(zmq::sockopt::linger, 0);
            zap.bind(std::string(ZapAddress));
            for (size_t n = 0; n < options.listeners.size(); ++n) {
                listeners.push_back(bindListener(n));
                addresses.push_back(listeners.back().get(zmq::sockopt::last_endpoint));
            }
        } catch (const zmq::error_t &ec) {
            return fail(Code::SystemError, std::string("can't bind a socket of the inner protocol: ") + ec.what());
        }
        return {};
    }

    /// Closes all connections in both directions, so that each is re-established and authenticated with the current
    /// keys.
    void reopen()
    {
        connections.clear();
        for (zmq::socket_t &it : listeners) {
            it.close();
        }
        bindUnboundListeners();
    }

    bool bindUnboundListeners()
    {
        bool allBound = true;
        for (size_t n = 0; n < listeners.size(); ++n) {
            if (listeners[n].handle() != nullptr) {
                continue;
            }
            try {
                listeners[n] = bindListener(n);
            } catch (const zmq::error_t &) {
                allBound = false; // the closed socket has not released the port yet
            }
        }
        return allBound;
    }

    Connection &connectionTo(const WirePeer &peer)
    {
        const std::string name = peer.address + " " + peer.serverKey + " " + peer.key.publicKey;
        const auto existing = connections.find(name);
        if (existing != connections.end()) {
            return existing->second;
        }
        if (connections.size() >= options.maxConnections) {
            const auto lessRecentlyUsed = [](const auto &a, const auto &b) {
                return a.second.lastUsedAt < b.second.lastUsedAt;
            };
            connections.erase(std::min_element(connections.begin(), connections.end(), lessRecentlyUsed));
        }
        zmq::socket_t socket(context, zmq::socket_type::dealer);
        setCommonOptions(socket, options);
        socket.set(zmq::sockopt::reconnect_ivl, static_cast<int>(toMilliseconds(options.reconnectFirst)));
        socket.set(zmq::sockopt::reconnect_ivl_max, static_cast<int>(toMilliseconds(options.reconnectMax)));
        socket.set(zmq::sockopt::connect_timeout, static_cast<int>(toMilliseconds(options.connectTimeout)));
        if (!peer.serverKey.empty()) {
            socket.set(zmq::sockopt::curve_serverkey, peer.serverKey);
            socket.set(zmq::sockopt::curve_publickey, peer.key.publicKey);
            socket.set(zmq::sockopt::curve_secretkey, peer.key.secretKey);
        }
        socket.connect(peer.address);
        return connections.emplace(name, Connection{std::move(socket), iteration}).first->second;
    }

    bool transmit(const OutgoingMessage &item)
    {
        if (item.isReply) {
            zmq::socket_t &socket = listeners.at(item.source.listener);
            if (socket.handle() == nullptr) {
                return false;
            }
            return socket.send(zmq::buffer(item.source.routingId), zmq::send_flags::sndmore | zmq::send_flags::dontwait)
                   && socket.send(zmq::buffer(item.bytes), zmq::send_flags::dontwait);
        }
        Connection &connection = connectionTo(item.peer);
        connection.lastUsedAt = iteration;
        return connection.socket.send(zmq::buffer(item.bytes), zmq::send_flags::dontwait).has_value();
    }

    void count(std::string_view direction, std::string_view kind, size_t bytes) const
    {
        metrics.counter("damask_wire_bytes_total", {{"direction", direction}, {"kind", kind}})
            .Increment(static_cast<double>(wireBytes(bytes)));
        metrics.count("damask_wire_messages_total", {{"direction", direction}, {"kind", kind}});
    }

    void sendOne(const OutgoingMessage &item)
    {
        bool sent = false;
        try {
            sent = transmit(item);
        } catch (const zmq::error_t &ec) {
            logEvent(Severity::Warning, "wire-send-failed", {{"peer", item.peer.address}, {"reason", ec.what()}});
        }
        if (!sent) {
            metrics.countCode("damask_wire_refusals_total", Code::PeerUnavailable);
            return;
        }
        count("out", item.kind, item.bytes.size());
    }

    /// Sends all queued messages. Returns false once the node is closed.
    bool flush()
    {
        std::deque<OutgoingMessage> batch;
        bool reconnectNow = false;
        bool open = true;
        {
            LockGuard lock(mutex);
            batch.swap(outbox);
            reconnectNow = std::exchange(reconnectRequested, false);
            open = !closed;
        }
        if (reconnectNow) {
            reopen();
        }
        for (const OutgoingMessage &it : batch) {
            sendOne(it);
        }
        return open;
    }

    void deliver(const WireSource &source, const zmq::message_t &frame)
    {
        auto message = decodeMessage(viewOf(frame));
        count("in", message ? kindOf(message->body) : "unreadable", frame.size());
        if (!message) {
            metrics.countCode("damask_wire_refusals_total", message.error().code);
            logEvent(Severity::Warning, "message-refused",
                     {{"code", codeNumber(message.error().code)},
                      {"domain", source.domain},
                      {"reason", message.error().detail}});
            return;
        }
        try {
            hooks.receive(source, std::move(*message));
        } catch (const std::exception &ec) { // one message must not end the process
            metrics.countCode("damask_wire_refusals_total", Code::SystemError);
            logEvent(Severity::Error, "message-failed", {{"domain", source.domain}, {"reason", ec.what()}});
        }
    }

    void receiveFrom(zmq::socket_t &socket, size_t listener)
    {
        constexpr int MaxMessagesPerPoll = 64; // per socket
        for (int n = 0; n < MaxMessagesPerPoll; ++n) {
            std::vector<zmq::message_t> frames;
            if (!zmq::recv_multipart(socket, std::back_inserter(frames), zmq::recv_flags::dontwait)) {
                return;
            }
            const bool fromListener = listener < listeners.size();
            if (frames.size() != (fromListener ? 2 : 1)) {
                metrics.countCode("damask_wire_refusals_total", Code::BadMessage);
                continue;
            }
            WireSource source{.domain = {}, .routingId = {}, .listener = listener};
            if (fromListener) {
                source.domain = options.listeners[listener].domain;
                source.routingId = frames[0].to_string();
            }
            deliver(source, frames.back());
        }
    }

    /// Handles one ZAP request, in which libzmq asks whether a key may connect.
    void handleZapRequest()
    {
        std::vector<zmq::message_t> frames;
        if (!zmq::recv_multipart(zap, std::back_inserter(frames), zmq::recv_flags::dontwait)) {
            return;
        }
        if (frames.size() < 2) {
            return;
        }
        const std::string domain = frames.size() > 2 ? frames[2].to_string() : std::string();
        const std::string from = frames.size() > 3 ? frames[3].to_string() : std::string();
        const std::string key = frames.size() == ZapFrames ? encodeKey(viewOf(frames[6])) : std::string();
        const auto admitted =
            hooks.admit && !key.empty() ? hooks.admit(domain, key) : Result<void>(fail(Code::StrangerRefused, key));
        if (!admitted) {
            metrics.countCode("damask_wire_refusals_total", admitted.error().code);
            logEvent(Severity::Warning, "peer-refused",
                     {{"code", codeNumber(admitted.error().code)},
                      {"reason", codeName(admitted.error().code)},
                      {"key", admitted.error().detail},
                      {"address", from},
                      {"domain", domain}});
        }
        zap.send(zmq::buffer(std::string_view("1.0")), zmq::send_flags::sndmore);
        zap.send(frames[1], zmq::send_flags::sndmore);
        zap.send(zmq::buffer(std::string_view(admitted ? "200" : "400")), zmq::send_flags::sndmore);
        zap.send(zmq::buffer(std::string_view(admitted ? "OK" : "refused")), zmq::send_flags::sndmore);
        zap.send(zmq::buffer(key), zmq::send_flags::sndmore);
        zap.send(zmq::message_t(), zmq::send_flags::none);
    }

    void waitForWork(bool allBound)
    {
        std::vector<zmq::pollitem_t> items;
        std::vector<std::pair<zmq::socket_t *, size_t>> sockets;
        items.push_back({nullptr, wake.get(), ZMQ_POLLIN, 0});
        items.push_back({zap.handle(), 0, ZMQ_POLLIN, 0});
        for (size_t n = 0; n < listeners.size(); ++n) {
            if (listeners[n].handle() != nullptr) {
                items.push_back({listeners[n].handle(), 0, ZMQ_POLLIN, 0});
                sockets.emplace_back(&listeners[n], n);
            }
        }
        for (auto &it : connections) {
            items.push_back({it.second.socket.handle(), 0, ZMQ_POLLIN, 0});
            sockets.emplace_back(&it.second.socket, listeners.size());
        }
        zmq::poll(items, std::chrono::milliseconds(allBound ? -1 : RebindInterval));
        if ((items[0].revents & ZMQ_POLLIN) != 0) {
            uint64_t n = 0;
            if (::read(wake.get(), &n, sizeof n) < 0) {
                n = 0; // ignored: a pending or later signal wakes the thread again
            }
        }
        if ((items[1].revents & ZMQ_POLLIN) != 0) {
            handleZapRequest();
        }
        for (size_t n = 0; n < sockets.size(); ++n) {
            if ((items[n + 2].revents & ZMQ_POLLIN) != 0) {
                receiveFrom(*sockets[n].first, sockets[n].second);
            }
        }
    }

    void run()
    {
        while (flush()) {
            ++iteration;
            const bool allBound = bindUnboundListeners();
            try {
                waitForWork(allBound);
            } catch (const zmq::error_t &ec) {
                logEvent(Severity::Error, "wire-failed", {{"reason", ec.what()}});
            }
        }
        connections.clear();
        listeners.clear();
        zap.close();
    }
};

WireNode::WireNode(Clock &clock, Metrics &metrics, const WireNodeOptions &options, WireNodeHooks hooks)
    : m_state(std::make_unique<State>(clock, metrics, options, std::move(hooks)))
{
}

WireNode::~WireNode()
{
    stop();
}

Result<void> WireNode::start()
{
    if (auto opened = m_state->open(); !opened) {
        return opened;
    }
    {
        LockGuard lock(m_state->mutex);
        m_state->closed = false;
    }
    m_state->thread = Thread("wire", [this] { m_state->run(); });
    return {};
}

void WireNode::stop()
{
    {
        LockGuard lock(m_state->mutex);
        m_state->closed = true;
    }
    m_state->signal();
    m_state->thread.join();
}

Result<void> WireNode::send(const WirePeer &peer, const Message &message)
{
    return m_state->push(
        {.peer = peer, .source = {}, .isReply = false, .bytes = encodeMessage(message), .kind = kindOf(message.body)});
}

Result<void> WireNode::reply(const WireSource &to, const Message &message)
{
    return m_state->push(
        {.peer = {}, .source = to, .isReply = true, .bytes = encodeMessage(message), .kind = kindOf(message.body)});
}

void WireNode::reconnect()
{
    {
        LockGuard lock(m_state->mutex);
        m_state->reconnectRequested = true;
    }
    m_state->signal();
}

std::string WireNode::address(size_t listener) const
{
    return m_state->addresses.at(listener);
}

} // namespace damask
