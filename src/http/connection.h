/// One TCP connection to a target. Used by one thread at a time; any thread may interrupt it.
///
/// Use: `auto connection = Connection::open("10.0.0.7", 8080, 50ms);` then send() and receive().
/// Pitfall: a connection must not be used again after a failed send() or receive(); destroy it.
#pragma once

#include "base/result.h"
#include "base/scope.h"
#include "base/time.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

namespace damask {

/// How a receive() or send() ended.
enum class IoEnd {
    Done,         // data was transferred
    Closed,       // the peer closed the connection cleanly, or interrupt() was called
    Reset,        // the peer reset the connection, or it failed
    InputPending, // while sending: the peer accepts no more data and has sent some itself
    TimedOut      // no data was transferred in time
};

/// Number of bytes transferred by one call, and how the call ended.
struct IoResult {
    IoEnd  end = IoEnd::Done;
    size_t bytes = 0; // transferred, also if the call failed
};

constexpr Duration UnacknowledgedLimit = std::chrono::seconds(1); // of a new connection

class Connection
{
public:
    /// Connects to an IP address. ConnectFailed if refused, unreachable or timed out.
    static Result<std::unique_ptr<Connection>> open(std::string_view address, uint16_t port, Duration timeout);

    /// Starts a non-blocking connect. When the descriptor is writable, finishConnect() returns the result.
    static Result<std::unique_ptr<Connection>> startConnect(std::string_view address, uint16_t port);
    Result<void>                               finishConnect() const; // ConnectFailed

    explicit Connection(FileDescriptor socket);

    IoResult send(std::span<const std::string_view> parts, Duration timeout); // all parts in one write if possible
    IoResult receive(std::span<char> buffer, Duration timeout);
    bool     isReusable(); // open, and no unsolicited data has arrived

    /// How long sent data may stay unacknowledged before the connection fails; a peer that does not read counts as
    /// silent.
    void setUnacknowledgedLimit(Duration limit);
    int  descriptor() const; // for poll()
    void interrupt();        // makes another thread's send() or receive() return Closed; thread-safe

private:
    bool  waitFor(short events, Duration timeout) const;
    IoEnd recordError(int error); // that the system has reported; returns Reset

    FileDescriptor m_socket;
    bool           m_reset = false; // the connection failed before the peer closed it cleanly
};

} // namespace damask
