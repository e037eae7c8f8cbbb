/// Wrappers of the socket calls used by the front; errors are returned as results.
#pragma once

#include "base/result.h"
#include "base/scope.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace damask {

/// Creates a non-blocking listening socket. SystemError names the address and the cause.
Result<FileDescriptor> listenOn(std::string_view address, uint16_t port, int backlog);

/// The port a socket is bound to; 0 on failure.
uint16_t boundPort(int fd);

/// Outcome of accepting one connection.
enum class AcceptEnd {
    Accepted,
    NonePending,
    NoDescriptors, // out of file descriptors or kernel memory: retry later
};

struct AcceptResult {
    AcceptEnd      end = AcceptEnd::NonePending;
    FileDescriptor socket; // non-blocking, TCP_NODELAY, TCP keep-alive
    std::string    peer;   // IP address
};

AcceptResult acceptFrom(int listener);

/// Raises the soft limit of open file descriptors to the hard limit; returns the limit now in force.
size_t raiseDescriptorLimit();

/// Outcome of a non-blocking transfer.
enum class TransferEnd {
    Moved,      // at least one byte was transferred
    WouldBlock, // no byte could be transferred
    Closed,     // closed by the peer or broken
};

struct Transfer {
    TransferEnd end = TransferEnd::Closed;
    size_t      bytes = 0;
};

Transfer receiveInto(int fd, std::span<char> buf);
Transfer sendFrom(int fd, std::string_view bytes);
bool     hasInput(int fd);     // data is available to read
size_t   pendingInput(int fd); // bytes received by the system and not yet read

} // namespace damask
