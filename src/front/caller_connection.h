/// State of one caller's connection, shared by the source files of this package.
#pragma once

#include "base/scope.h"
#include "base/time.h"
#include "call/cancel.h"
#include "front/request_reader.h"

#include <cstdint>
#include <memory>
#include <string>

namespace damask {

/// State of a connection. It determines the owning thread: a worker while Serving, the poller otherwise.
enum class Phase {
    Reading,   // parked until bytes of a request arrive
    Serving,   // owned by a worker; the poller only watches for a disconnect
    Writing,   // parked until the socket is writable again
    Lingering, // write side shut down; waits for the caller to close, so that no reset discards the last response
};

struct CallerConnection {
    CallerConnection(uint64_t n, FileDescriptor fd, std::string ip, const RequestLimits &limits)
        : id(n)
        , socket(std::move(fd))
        , peer(std::move(ip))
        , reader(limits)
    {
    }

    const uint64_t    id;     // unique in this process, never reused
    FileDescriptor    socket; // closed when the last reference is dropped
    const std::string peer;   // IP address

    // Guarded by the lock of the connection table
    Phase                        phase = Phase::Serving; // initially owned by the thread that accepts it
    std::shared_ptr<CancelToken> cancel;                 // of the call in progress

    // Accessed only by the owning thread
    RequestReader reader;
    RequestHead   head;                // of the request in progress
    TimePoint     firstByteAt = Never; // of the request being read
    TimePoint     idleSince{};         // when it began to wait for the next request
    TimePoint     deadline = Never;    // last value passed to the timer
    std::string   out;                 // response being sent
    size_t        sent = 0;            // bytes of out already sent
    size_t        bufferedBytes = 0;   // this connection's part of the total over all connections
    size_t        callBytes = 0;       // of the gathered body of the call in progress
    size_t        bodyBytes = 0;       // of a streamed body, received so far
    TimePoint     bodyBegan{};         // when the first byte of the request with the streamed body was read
    bool          gathers = false;     // the body of the request being read is not streamed
    uint64_t      requests = 0;        // received on it so far
    bool          close = false;       // close once out has been sent
};

using CallerPtr = std::shared_ptr<CallerConnection>;

} // namespace damask
