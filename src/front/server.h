/// The callers' HTTP port: whole requests in, each handed to a worker; whole answers out.
///
/// Use: `FrontServer front(clock, metrics, options, handler); front.start(); ... front.startDraining(); front.stop();`
/// One thread at a time polls all connections. A connection costs no thread and no wake-up while it is idle, sends its
/// request slowly or takes its answer slowly: a worker has it only while the handler runs.
#pragma once

#include "base/clock.h"
#include "base/metrics.h"
#include "base/result.h"
#include "call/cancel.h"
#include "call/message.h"
#include "front/admission.h"
#include "front/caller_protocol.h"
#include "front/request_reader.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace damask {

/// Options of a FrontServer.
struct FrontOptions {
    std::string      address = "127.0.0.1";                     // IP number to listen on
    uint16_t         port = 0;                                  // TCP; 0: any free one
    int              backlog = 1024;                            // connections that wait to be accepted
    size_t           maxConnections = 10000;                    // open at once
    size_t           maxBufferedBytes = 256 * 1024 * 1024;      // of requests and answers under way, all together
    RequestLimits    limits = {};                               // of one request
    AdmissionOptions admission = {};                            // workers, and those kept for deeper calls
    Duration         requestTimeout = std::chrono::seconds(10); // for a caller to send a request
    size_t           minBytesPerSecond = 16 * 1024;             // of a request: each so many buy a second more
    Duration         writeTimeout = std::chrono::seconds(10);   // for a caller to take any more of an answer
    Duration         retryAfter = std::chrono::seconds(1);      // told with EntryBusy and TooManyConnections
};

/// Answers one call; runs on a worker. The token is cancelled when the caller closes its connection.
using CallHandler = std::function<CallResponse(const CallRequest &, CancelToken &)>;

/// What a FrontServer holds at the moment, and what its poller has done.
struct FrontStatus {
    size_t   connections = 0;   // open
    size_t   callsInFlight = 0; // in the handler
    size_t   bufferedBytes = 0; // of incomplete requests
    uint64_t pollerWakeUps = 0; // since the start
    uint64_t workerTasks = 0;   // since the start
};

class FrontServer
{
public:
    FrontServer(Clock &clock, Metrics &metrics, const FrontOptions &options, CallHandler handler,
                CallerProtocol protocol = defaultCallerProtocol());
    ~FrontServer(); // stops

    Result<void> start(); // SystemError when the port can't be had
    /// From now on: what a request may be, for how long an idle connection is kept (0: for good), and how long a caller
    /// may take to send a request.
    void        setLimits(const RequestLimits &limits, Duration idle, Duration send);
    void        startDraining(); // from now on each answer closes its connection; still takes and serves calls
    void        stop();          // takes no more connections, closes idle ones, returns when all calls have ended
    uint16_t    port() const;    // the one listened on, after start()
    FrontStatus status() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
