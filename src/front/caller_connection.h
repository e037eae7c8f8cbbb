/// State of one caller's connection, shared by the source files of this package.
#pragma once

#include "base/lock.h"
#include "base/scope.h"
#include "base/time.h"
#include "call/cancel.h"
#include "call/message.h"
#include "front/exchange.h"
#include "front/limit_history.h"
#include "front/pipeline.h"
#include "front/request_reader.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace damask {

/// State of a connection. It determines the thread that drives it: reads its requests, starts their calls and sends
/// their responses. That is one thread at a time.
enum class Phase {
    Driven,    // by the thread that set this phase
    Reading,   // parked, no call in flight; the poller drives it when bytes of a request arrive
    Serving,   // parked, calls in flight; the first call that ends drives it, or the poller if it may be read
    Writing,   // parked; the poller drives it when the socket is writable again
    Lingering, // write side shut down; waits for the caller to close, so that no reset discards the last response
    Closed,    // removed from the table
};

/// A request that has been started and not yet been answered. Its call runs on a worker, or has ended and the response
/// waits for those before it.
struct CallSlot {
    RequestHead                        head;               // request line, close and keepAlive only
    bool                               repeatable = false; // the request may run alongside others
    const std::shared_ptr<CancelToken> cancel = std::make_shared<CancelToken>();

    // Guarded by the lock of the connection table
    bool            done = false;       // the response is complete
    bool            dropped = false;    // the connection has closed: nobody waits for the response
    bool            cancelling = false; // a thread cancels the token, or has done so
    EncodedResponse response;
    size_t          bytes = 0; // gathered body of the running call, then its response; part of the total
};

using SlotPtr = std::shared_ptr<CallSlot>;

/// A complete request, or the head of one whose body is streamed, that has not been started.
struct NextRequest {
    RequestHead  head;               // request line, close and keepAlive only
    bool         repeatable = false; // it may run alongside others
    bool         closes = false;     // its response is the last of the connection
    size_t       bodyBytes = 0;      // of the gathered body
    CallRequest  call;               // unless malformed
    Result<void> valid;              // the error of a malformed one
};

struct CallerConnection {
    CallerConnection(uint64_t n, FileDescriptor fd, std::string ip, const ArrivalLimits &inForce)
        : id(n)
        , socket(std::move(fd))
        , peer(std::move(ip))
        , limits(inForce)
        , reader(inForce.size)
    {
    }

    const uint64_t    id;     // unique in this process, never reused
    FileDescriptor    socket; // closed when the last reference is dropped
    const std::string peer;   // IP address

    // Guarded by the lock of the connection table
    Phase               phase = Phase::Driven; // initially by the thread that accepts it
    std::deque<SlotPtr> slots;                 // in the order of the requests; changed only by the driving thread
    size_t              slotBytes = 0;         // sum over all slots
    bool                readable = false;      // while Serving: the poller may read it
    bool                closing = false;       // the last slot's response will close the connection
    bool                hungUp = false;        // the caller has closed while calls were in flight

    // What has arrived, and under which limits. A thread that changes the limits must not see bytes between the system
    // and `received`.
    RankedMutex  arrivalMutex{LockRank::Leaf};
    uint64_t     received = 0; // bytes read from the socket; under arrivalMutex
    LimitHistory limits;       // under arrivalMutex

    // Accessed only by the driving thread
    RequestReader              reader; // also by the only call in flight, while its body is streamed
    std::optional<NextRequest> next;   // complete, not yet started
    TimePoint    heldSince = Never; // when the first request that has not been started had to wait for those in flight
    PipelineHold heldBy = PipelineHold::None; // and why
    std::optional<Error> malformed;           // what follows can't be parsed; answered after those in flight
    TimePoint            firstByteAt = Never; // of the request being read
    TimePoint            unreadSince = Never; // when it was last parked without being read
    Duration             unread{0};           // for how long the request being read was not read
    TimePoint            idleSince{};         // when it began to wait for the next request
    TimePoint            deadline = Never;    // last value passed to the timer
    std::string          out;                 // response being sent
    size_t               sent = 0;            // bytes of out already sent
    size_t               bufferedBytes = 0;   // its part of the total over all connections, without slots
    size_t               bodyBytes = 0;       // of a streamed body, received so far
    TimePoint            bodyBegan{};         // when the first byte of the request with the streamed body was read
    bool                 gathers = false;     // the body of the request being read is not streamed
    uint64_t             requests = 0;        // started on it so far
    bool                 close = false;       // close once out has been sent
};

using CallerPtr = std::shared_ptr<CallerConnection>;

} // namespace damask
