/// One process's end of the inner protocol: listens, connects, sends and receives over ZeroMQ with CURVE keys.
///
/// Use:
///     WireNode node(clock, metrics, {.name = "entry-1"}, {.receive = handler});
///     node.start();
///     node.send({.address = "tcp://10.0.0.7:7002"}, message);
/// One thread owns all sockets; send() and reply() hand their bytes to it and never wait for the network.
/// Pitfall: receive() runs on that thread; hand long work to another.
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

/// Where others connect to this process.
struct WireListener {
    std::string address; // "tcp://127.0.0.1:7001"; port "*": any free one
    std::string domain;  // passed to admit(): "entry", "peer"
    KeyPair     key;     // empty: plain, nobody is checked
};

/// Another process, to connect to.
struct WirePeer {
    std::string address;   // "tcp://10.0.0.7:7002"
    std::string serverKey; // its public key, Z85; empty: plain
    KeyPair     key;       // own, shown to it
};

/// Whom a message came from; enough to answer it over the same connection.
struct WireSource {
    std::string domain;       // of the listener; empty: the answer of a peer that we connected to
    std::string routingId;    // opaque
    size_t      listener = 0; // index
};

struct WireNodeOptions {
    std::string               name;                // of this instance, for logs
    std::vector<WireListener> listeners;           // may be empty
    size_t                    maxConnections = 64; // open connections to others; the least used one is closed
    size_t                    outboxLimit = 4096;  // messages that wait for the thread
    size_t                    sendLimit = 64;      // messages that wait for one connection
    Duration                  heartbeat = std::chrono::seconds(2); // finds connections that have gone silent
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

    Result<void> start();                                             // SystemError when an address can't be had
    void         stop();                                              // gives what is queued a moment to leave
    Result<void> send(const WirePeer &peer, const Message &message);  // QueueFull, QueueClosed
    Result<void> reply(const WireSource &to, const Message &message); // over a listener
    void         reconnect();                                         // closes all connections: keys have changed
    std::string  address(size_t listener) const;                      // bound, after start()

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Bytes that one message of this size costs on the network, with the framing of ZeroMQ, CURVE, TCP and IP.
constexpr size_t wireBytes(size_t payload)
{
    constexpr size_t FrameOverhead = 110; // bytes
    constexpr size_t SegmentBytes = 1400;
    constexpr size_t SegmentOverhead = 66;
    return payload + FrameOverhead + payload / SegmentBytes * SegmentOverhead;
}

} // namespace damask
