/// One TCP connection to a target: opened, used by one thread at a time, cut by any thread.
///
/// Use: `auto connection = Connection::open("10.0.0.7", 8080, 50ms);` then send() and receive().
/// Pitfall: after a failed send() or receive() the connection is of no more use; let it go.
#pragma once

#include "base/result.h"
#include "base/scope.h"
#include "base/time.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

namespace damask {

/// Why a receive() or send() ended.
enum class IoEnd {
    Done,         // some bytes moved
    Closed,       // the other side closed in order, or interrupt() was called
    Reset,        // the other side reset the connection, or it failed
    InputPending, // while sending: the other side takes no more and has something to say
    TimedOut      // nothing moved in time
};

/// Bytes moved by one call, and how it ended.
struct IoResult {
    IoEnd  end = IoEnd::Done;
    size_t bytes = 0; // moved, also when it did not end well
};

class Connection
{
public:
    /// Connects to an IP number. ConnectFailed when refused, unreachable or not in time.
    static Result<std::unique_ptr<Connection>> open(std::string_view address, uint16_t port, Duration timeout);

    /// Begins to connect without waiting; the descriptor is writable when finishConnect() can tell how it went.
    static Result<std::unique_ptr<Connection>> startConnect(std::string_view address, uint16_t port);
    Result<void>                               finishConnect() const; // ConnectFailed

    explicit Connection(FileDescriptor socket);

    IoResult send(std::span<const std::string_view> parts, Duration timeout); // all parts as one write where it fits
    IoResult receive(std::span<char> buffer, Duration timeout);
    bool     isReusable() const; // open, and nothing has come that was not asked for
    int      descriptor() const; // to wait on
    void     interrupt();        // ends the other thread's send() or receive() with Closed; safe from all threads

private:
    bool waitFor(short events, Duration timeout) const;

    FileDescriptor m_socket;
};

} // namespace damask
