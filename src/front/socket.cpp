#include "front/socket.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <system_error>

namespace damask {

namespace {

constexpr int KeepAliveIdleSeconds = 60;     // of silence before the first keep-alive probe
constexpr int KeepAliveIntervalSeconds = 10; // between keep-alive probes
constexpr int KeepAliveProbes = 3;           // unanswered probes before the connection is dropped

void setOption(int fd, int level, int name, int value)
{
    ::setsockopt(fd, level, name, &value, sizeof value);
}

void setConnectionOptions(int fd)
{
    setOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    setOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    setOption(fd, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
}

std::string errorText(int ec)
{
    return std::generic_category().message(ec);
}

Result<sockaddr_in> toSocketAddress(std::string_view address, uint16_t port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    if (::inet_pton(AF_INET, std::string(address).c_str(), &out.sin_addr) != 1) {
        return fail(Code::SystemError, std::string(address) + " is not an IP address");
    }
    return out;
}

Transfer toTransfer(ssize_t n)
{
    if (n > 0) {
        return {TransferEnd::Moved, static_cast<size_t>(n)};
    }
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
        return {TransferEnd::WouldBlock, 0};
    }
    return {TransferEnd::Closed, 0};
}

} // namespace

Result<FileDescriptor> listenOn(std::string_view address, uint16_t port, int backlog)
{
    const auto socketAddress = toSocketAddress(address, port);
    if (!socketAddress) {
        return tl::make_unexpected(socketAddress.error());
    }
    FileDescriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (fd.valid()) {
        setOption(fd.get(), SOL_SOCKET, SO_REUSEADDR, 1);
    }
    if (!fd.valid() || ::bind(fd.get(), reinterpret_cast<const sockaddr *>(&*socketAddress), sizeof *socketAddress) != 0
        || ::listen(fd.get(), backlog) != 0) {
        return fail(Code::SystemError,
                    "can't listen on " + std::string(address) + ":" + std::to_string(port) + ": " + errorText(errno));
    }
    return fd;
}

uint16_t boundPort(int fd)
{
    sockaddr_in socketAddress{};
    socklen_t size = sizeof socketAddress;
    if (::getsockname(fd, reinterpret_cast<sockaddr *>(&socketAddress), &size) != 0) {
        return 0;
    }
    return ntohs(socketAddress.sin_port);
}

AcceptResult acceptFrom(int listener)
{
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    AcceptResult out;
    out.socket.reset(::accept4(listener, reinterpret_cast<sockaddr *>(&peer), &size, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!out.socket.valid()) {
        const bool exhausted = errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
        out.end = exhausted ? AcceptEnd::NoDescriptors : AcceptEnd::NonePending;
        return out;
    }
    setConnectionOptions(out.socket.get());
    std::array<char, INET_ADDRSTRLEN> buf{};
    ::inet_ntop(AF_INET, &peer.sin_addr, buf.data(), buf.size());
    out.peer = buf.data();
    out.end = AcceptEnd::Accepted;
    return out;
}

size_t raiseDescriptorLimit()
{
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
    ::getrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur;
}

Transfer receiveInto(int fd, std::span<char> buf)
{
    return toTransfer(::recv(fd, buf.data(), buf.size(), 0));
}

Transfer sendFrom(int fd, std::string_view bytes)
{
    return toTransfer(::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL));
}

size_t pendingInput(int fd)
{
    int n = 0;
    return ::ioctl(fd, FIONREAD, &n) == 0 && n > 0 ? static_cast<size_t>(n) : 0;
}

bool hasInput(int fd)
{
    char c = 0;
    return ::recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

} // namespace damask
