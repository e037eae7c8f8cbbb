/// HTTP server for callers: reads complete requests, runs each on a worker and sends the complete response.
///
/// Use: `FrontServer front(clock, metrics, options, handler); front.start(); ... front.startDraining(); front.stop();`
/// One thread at a time polls all connections. A connection occupies a worker only while the handler runs: an idle
/// connection, a slow request or a slow reader of the response occupies no thread, and an idle one causes no wake-up.
/// With a pipelineLimit above 1, requests that may be repeated run alongside those before them on their connection;
/// responses keep the order of the requests (front/pipeline.h).
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
    std::string      address = "127.0.0.1";                     // IP address to listen on
    uint16_t         port = 0;                                  // TCP port; 0: any free port
    int              backlog = 1024;                            // of listen(): connections not yet accepted
    size_t           maxConnections = 10000;                    // maximum number of open connections
    size_t           maxBufferedBytes = 256 * 1024 * 1024;      // over all connections, requests and responses
    RequestLimits    limits = {};                               // size limits of one request
    AdmissionOptions admission = {};                            // workers, and those reserved for deeper calls
    Duration         requestTimeout = std::chrono::seconds(10); // from the first byte to the complete request
    size_t           minBytesPerSecond = 16 * 1024;             // requestTimeout grows by 1 s per this many bytes
    Duration         writeTimeout = std::chrono::seconds(10);   // without progress in sending a response
    Duration         retryAfter = std::chrono::seconds(1);      // sent with EntryBusy and TooManyConnections
    size_t           gatherBytes = 64 * 1024;                   // of a body that could be passed on while it arrives
    size_t           pipelineLimit = 1;                         // requests of a connection in flight at once; 1: off
    size_t           pipelineBytes = 1024 * 1024;               // held on a connection, beyond which it is not read
};

/// Handles one call on a worker. The token is cancelled when the caller closes its connection.
using CallHandler = std::function<CallResponse(const CallRequest &, CancelToken &)>;

/// Whether the body of a call is passed on while it arrives, as CallRequest::stream, once it is known to be larger than
/// gatherBytes. Called on the poller with method, path and fields, but no body.
using StreamHook = std::function<bool(const CallRequest &)>;

/// Whether a request may run alongside those before it on its connection, because it may be repeated. Called on the
/// thread that reads the connection with method, path and fields; only with a pipelineLimit above 1.
using RepeatHook = std::function<bool(const CallRequest &)>;

/// Current state and counters of a FrontServer.
struct FrontStatus {
    size_t   connections = 0;   // open connections
    size_t   callsInFlight = 0; // calls admitted and not yet finished
    size_t   bufferedBytes = 0; // requests that are incomplete or wait, bodies of calls, unsent responses
    uint64_t pollerWakeUps = 0; // since the start
    uint64_t workerTasks = 0;   // since the start
};

class FrontServer
{
public:
    FrontServer(Clock &clock, Metrics &metrics, const FrontOptions &options, CallHandler handler,
                CallerProtocol protocol = defaultCallerProtocol(), StreamHook streams = {}, RepeatHook repeats = {});
    ~FrontServer(); // calls stop()

    Result<void> start(); // SystemError if the port can't be opened
    /// Replaces the size limits of requests, the idle timeout (0: none) and the request timeout, also on open
    /// connections. A request whose first byte has arrived is judged by the more generous of both versions.
    void setLimits(const RequestLimits &limits, Duration idleTimeout, Duration requestTimeout);
    /// Closes each connection after the response to the last request started on it; still accepts and serves calls.
    /// Starts no request behind one in flight. Requests that are not complete at `lastAnswerAt` are refused with
    /// EntryLeaving.
    void        startDraining(TimePoint lastAnswerAt = Never);
    void        stop();       // stops accepting, closes idle connections, returns when all calls have finished
    uint16_t    port() const; // bound port, after start()
    FrontStatus status() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
