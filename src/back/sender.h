/// Sends attempts to targets over pooled HTTP connections and reports how far each of them got.
///
/// Use: `Sender sender(clock, metrics, {}); hooks.send = [&](const Attempt &it) { return sender.send(it); };`
/// Pitfall: send(), probe() and ask() block the calling thread until the response, the deadline or a cancellation.
#pragma once

#include "back/load_probes.h"
#include "back/target_protocol.h"
#include "base/clock.h"
#include "base/metrics.h"
#include "call/message.h"
#include "route/dispatcher.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace damask {

struct SenderOptions {
    Duration connectTimeout =
        std::chrono::milliseconds(250);                   // for a new connection, within the attempt's remaining time
    Duration idleLimit = std::chrono::seconds(15);        // idle connections older than this are closed, not reused
    Duration freshLimit = std::chrono::milliseconds(500); // a response younger than this proves a connection alive
    size_t   maxResponseBytes = 16UL * 1024 * 1024;       // of one response body; larger ones are AnswerTooLarge
    size_t   maxBufferedBytes = 256UL * 1024 * 1024;      // of all response bodies that are being read
};

/// Current number of connections, for status pages and tests.
struct ConnectionCounts {
    int open = 0; // in use and idle
    int idle = 0;
};

class Sender
{
public:
    Sender(Clock &clock, Metrics &metrics, const SenderOptions &options,
           TargetProtocol protocol = defaultTargetProtocol());
    ~Sender(); // closes idle connections; send() must not be running

    AttemptResult            send(const Attempt &attempt);
    Result<LoadReport>       probe(std::string_view address, uint16_t port, Duration timeout); // on a new connection
    std::vector<ProbeResult> ask(std::span<const std::shared_ptr<const TargetAddress>> targets, Duration timeout);
    ConnectionCounts         connections(std::string_view address, uint16_t port) const;
    void                     closeIdle(); // those older than idleLimit; call periodically

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
