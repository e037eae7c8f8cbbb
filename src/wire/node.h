/// One process's endpoint of the inner protocol: listens, connects, sends and receives over ZeroMQ with CURVE keys.
///
/// Use:
///     WireNode node(clock, metrics, {.name = "entry-1"}, {.receive = handler});
///     node.start();
///     node.send({.address = "tcp://10.0.0.7:7002"}, message);
/// One thread owns all sockets; send() and reply() queue encoded messages for it and never block on the network.
/// Pitfall: the receive hook runs on that thread; move long work to another thread.
#pragma once

#include "base/clock.h"
#include "base/metrics.h"
#include "base/result.h"
#include "wire/keys.h"
#include "wire/message.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace damask {

/// An address where other processes connect to this one.
struct WireListener {
    std::string address; // "tcp://127.0.0.1:7001"; port "*": any free one
    std::string domain;  // ZAP domain, passed to admit(): "entry", "peer"
    KeyPair     key;     // empty: no encryption, no key check
};

/// Another process that this one connects to.
struct WirePeer {
    std::string address;   // "tcp://10.0.0.7:7002"
    std::string serverKey; // its public key, Z85; empty: no encryption
    KeyPair     key;       // of this process, for authentication
};

/// The origin of a message; sufficient to reply over the same connection.
struct WireSource {
    std::string domain;       // of the listener; empty: from a peer that this process connected to
    std::string routingId;    // ZeroMQ routing ID, opaque
    size_t      listener = 0; // index
};

struct WireNodeOptions {
    std::string               name;                // of this instance, for logs
    std::vector<WireListener> listeners;           // may be empty
    size_t                    maxConnections = 64; // outgoing; at the limit, the least recently used one is closed
    size_t                    outboxLimit = 4096;  // messages queued for the thread
    size_t                    sendLimit = 64;      // messages queued for one connection
    size_t                    receiveLimit = 64; // messages of one connection that wait to be read; then it is not read
    Duration                  reconnectMax = std::chrono::seconds(5); // between two attempts to connect to a peer
    Duration                  heartbeat = std::chrono::seconds(2);    // interval; detects dead connections
};

struct WireNodeHooks {
    std::function<void(const WireSource &, Message)>                                 receive;
    std::function<Result<void>(std::string_view domain, std::string_view publicKey)> admit; // default: refuse all
};

class WireNode
{
public:
    WireNode(Clock &clock, Metrics &metrics, const WireNodeOptions &options, WireNodeHooks hooks);
    ~WireNode(); // stops

    Result<void> start();                                             // SystemError when an address can't be bound
    void         stop();                                              // sends queued messages, with a short linger time
    Result<void> send(const WirePeer &peer, const Message &message);  // QueueFull, QueueClosed
    Result<void> reply(const WireSource &to, const Message &message); // over a listener
    void         reconnect();                                         // closes all connections, e.g. after a key change
    std::string  address(size_t listener) const;                      // the bound address; valid after start()

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Bytes on the network for one message of this size, including the overhead of ZeroMQ, CURVE, TCP and IP.
constexpr size_t wireBytes(size_t payload)
{
    constexpr size_t FrameOverhead = 110; // bytes
    constexpr size_t SegmentBytes = 1400;
    constexpr size_t SegmentOverhead = 66;
    return payload + FrameOverhead + payload / SegmentBytes * SegmentOverhead;
}

} // namespace damask
