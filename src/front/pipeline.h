/// Decides whether a further request of a connection may be started or read while earlier ones of it are in flight.
///
/// Load pattern: callers that send their next idempotent requests without waiting for the first response. One at a
/// time, each of them would wait for the sum of all before it, although targets are free. Started without bounds, one
/// such connection could take all workers, or fill the memory with responses that wait behind a slow first one.
///
/// Use: `if (holdFor(limits, state, repeatable) == PipelineHold::None) { start it }`. Pure: no lock, socket or clock;
/// the caller decides and records the start under one lock. The first request of a connection is never held.
#pragma once

#include <cstddef>
#include <string_view>

namespace damask {

/// Bounds of the requests behind the first one of a connection.
struct PipelineLimits {
    size_t requests = 1;        // in flight on one connection; 1: a request waits for all before it
    size_t connectionBytes = 0; // requests and responses held on the connection
    size_t frontBytes = 0;      // the same over all connections, from which first requests may still be refused
    size_t workers = 0;         // that calls of this depth may use
};

/// What is in flight when the decision is made.
struct PipelineState {
    size_t inFlight = 0;        // requests of the connection that have been started and not yet been answered
    bool   repeatable = true;   // all of these may be repeated
    bool   closing = false;     // one of them is the last of the connection, or the front is stopping
    size_t connectionBytes = 0; // held on the connection
    size_t frontBytes = 0;      // held on all connections
    size_t busyWorkers = 0;     // of the whole front
};

/// Why a request has to wait until those before it have been answered.
enum class PipelineHold {
    None,     // it may start
    Closing,  // nothing is started any more; the caller sends it again on another connection
    Limit,    // as many as allowed are in flight
    RunsOnce, // it, or one in flight, may not be repeated: it could have run behind a response that closes
    Bytes,    // the connection or the front holds too many bytes
    Workers,  // more than three quarters of the workers are busy
};

std::string_view holdName(PipelineHold hold); // e.g. "runs-once"; empty for None

/// Whether a complete request has to wait; `repeatable`: it may be repeated. The first hold in the order above applies.
PipelineHold holdFor(const PipelineLimits &limits, const PipelineState &state, bool repeatable);

/// Whether more of the connection should be read while requests of it are in flight.
bool readsAhead(const PipelineLimits &limits, const PipelineState &state);

} // namespace damask
