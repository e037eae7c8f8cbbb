/// The few socket calls that the front makes, with their errors as results.
#pragma once

#include "base/result.h"
#include "base/scope.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace damask {

/// A non-blocking listening socket. SystemError names the address and the cause.
Result<FileDescriptor> listenOn(std::string_view address, uint16_t port, int backlog);

/// The port a socket is bound to; 0 on failure.
uint16_t boundPort(int fd);

/// Why accepting gave no connection.
enum class AcceptEnd {
    Accepted,
    NonePending,
    NoDescriptors, // the process may open no more: wait until one is closed
};

struct AcceptResult {
    AcceptEnd      end = AcceptEnd::NonePending;
    FileDescriptor socket; // non-blocking, without Nagle's delay, with TCP keep-alive
    std::string    peer;   // IP number
};

AcceptResult acceptFrom(int listener);

/// Raises this process's limit of open descriptors as far as the system lets it; gives the limit now in force.
size_t raiseDescriptorLimit();

/// How a transfer that does not wait ended.
enum class TransferEnd {
    Moved,      // some bytes were moved
    WouldBlock, // none could be now
    Closed,     // the peer closed, or the connection broke
};

struct Transfer {
    TransferEnd end = TransferEnd::Closed;
    size_t      bytes = 0;
};

Transfer receiveInto(int fd, std::span<char> buf);
Transfer sendFrom(int fd, std::string_view bytes);
bool     hasInput(int fd); // bytes wait to be read

} // namespace damask
