/// One caller's connection, as the parts of the front share it.
#pragma once

#include "base/scope.h"
#include "base/time.h"
#include "call/cancel.h"
#include "front/request_reader.h"

#include <cstdint>
#include <memory>
#include <string>

namespace damask {

/// What a connection is at. It decides whose it is: a worker's while Serving, the poller's otherwise.
enum class Phase {
    Reading,   // parked until bytes of a request come
    Serving,   // a worker has it; the poller only watches for the caller's going
    Writing,   // parked until the caller takes more of its answer
    Lingering, // our side is closed; waits for the caller to close, so that the last answer is not torn away
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
    FileDescriptor    socket; // closed with the last reference
    const std::string peer;   // IP number

    // Guarded by the table's lock
    Phase                        phase = Phase::Serving; // whoever accepts has it first
    std::shared_ptr<CancelToken> cancel;                 // of the call being served

    // Of the thread whose the connection is
    RequestReader reader;
    RequestHead   head;                // of the request being answered
    TimePoint     firstByteAt = Never; // of the request being read
    TimePoint     idleSince{};         // last, without a byte of a next request
    TimePoint     deadline = Never;    // as given to the timer
    std::string   out;                 // answer being sent
    size_t        sent = 0;            // of out
    size_t        bufferedBytes = 0;   // as counted over all connections
    uint64_t      requests = 0;        // taken from it so far
    bool          close = false;       // after out was sent
};

using CallerPtr = std::shared_ptr<CallerConnection>;

} // namespace damask
