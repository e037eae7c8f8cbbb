#include "http/connection.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <ctime>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <sys/uio.h>

namespace damask {

namespace {

constexpr size_t MaxParts = 4; // per send()

timespec toTimespec(Duration duration)
{
    const Duration n = std::max(duration, Duration::zero());
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(n);
    timespec out{};
    out.tv_sec = seconds.count();
    out.tv_nsec = (n - seconds).count();
    return out;
}

struct SocketAddress {
    sockaddr_storage storage{};
    socklen_t size = 0;
};

Result<SocketAddress> toSocketAddress(std::string_view address, uint16_t port)
{
    const std::string terminated(address);
    SocketAddress out;
    auto &ipv4 = reinterpret_cast<sockaddr_in &>(out.storage);
    auto &ipv6 = reinterpret_cast<sockaddr_in6 &>(out.storage);
    if (inet_pton(AF_INET, terminated.c_str(), &ipv4.sin_addr) == 1) {
        ipv4.sin_family = AF_INET;
        ipv4.sin_port = htons(port);
        out.size = sizeof ipv4;
    } else if (inet_pton(AF_INET6, terminated.c_str(), &ipv6.sin6_addr) == 1) {
        ipv6.sin6_family = AF_INET6;
        ipv6.sin6_port = htons(port);
        out.size = sizeof ipv6;
    } else {
        return fail(Code::ConnectFailed, "the address of the target is not an IP address");
    }
    return out;
}

void setOptions(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

/// Waits for events and returns those that are ready; 0 on timeout.
short pollOne(int socket, short events, Duration timeout)
{
    pollfd n{socket, events, 0};
    const timespec limit = toTimespec(timeout);
    int ready = -1;
    do {
        ready = ppoll(&n, 1, &limit, nullptr);
    } while (ready < 0 && errno == EINTR);
    return ready > 0 ? n.revents : short{0};
}

int pendingError(int socket)
{
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
    return error;
}

/// Removes the bytes already sent from the front of the parts.
void dropFront(std::span<iovec> parts, size_t bytes)
{
    for (iovec &it : parts) {
        const size_t n = std::min(bytes, it.iov_len);
        it.iov_base = static_cast<char *>(it.iov_base) + n;
        it.iov_len -= n;
        bytes -= n;
    }
}

} // namespace

Result<std::unique_ptr<Connection>> Connection::startConnect(std::string_view address, uint16_t port)
{
    const auto to = toSocketAddress(address, port);
    if (!to) {
        return tl::unexpected(to.error());
    }
    FileDescriptor socket(::socket(to->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket.valid()) {
        return fail(Code::ConnectFailed, "the socket could not be created");
    }
    setOptions(socket.get());
    auto out = std::make_unique<Connection>(std::move(socket));
    out->setUnacknowledgedLimit(UnacknowledgedLimit);
    const int result = ::connect(out->descriptor(), reinterpret_cast<const sockaddr *>(&to->storage), to->size);
    if (result != 0 && errno != EINPROGRESS) {
        return fail(Code::ConnectFailed, "the target refused the connection");
    }
    return out;
}

Result<void> Connection::finishConnect() const
{
    return pendingError(m_socket.get()) == 0 ? Result<void>()
                                             : fail(Code::ConnectFailed, "the target refused the connection");
}

Result<std::unique_ptr<Connection>> Connection::open(std::string_view address, uint16_t port, Duration timeout)
{
    auto connection = startConnect(address, port);
    if (!connection) {
        return connection;
    }
    if (!(*connection)->waitFor(POLLOUT, timeout)) {
        return fail(Code::ConnectFailed, "the target did not accept the connection in time");
    }
    const auto connected = (*connection)->finishConnect();
    if (!connected) {
        return tl::unexpected(connected.error());
    }
    return connection;
}

Connection::Connection(FileDescriptor socket)
    : m_socket(std::move(socket))
{
}

IoResult Connection::send(std::span<const std::string_view> parts, Duration timeout)
{
    std::array<iovec, MaxParts> left{};
    size_t count = 0;
    size_t bytes = 0;
    for (const std::string_view it : parts.first(std::min(parts.size(), MaxParts))) {
        left[count] = {const_cast<char *>(it.data()), it.size()};
        ++count;
        bytes += it.size();
    }
    IoResult out;
    while (out.bytes < bytes) {
        msghdr message{};
        message.msg_iov = left.data();
        message.msg_iovlen = count;
        const ssize_t n = sendmsg(m_socket.get(), &message, MSG_NOSIGNAL);
        if (n >= 0) {
            out.bytes += static_cast<size_t>(n);
            dropFront({left.data(), count}, static_cast<size_t>(n));
        } else if (errno == EAGAIN) {
            const short ready = pollOne(m_socket.get(), POLLOUT | POLLIN, timeout);
            if (ready == 0) {
                out.end = IoEnd::TimedOut;
                return out;
            }
            if ((ready & POLLOUT) == 0) {
                out.end = IoEnd::InputPending;
                return out;
            }
        } else if (errno != EINTR) {
            out.end = recordError(errno);
            return out;
        }
    }
    return out;
}

IoResult Connection::receive(std::span<char> buffer, Duration timeout)
{
    while (true) {
        if (!waitFor(POLLIN, timeout)) {
            return {IoEnd::TimedOut, 0};
        }
        const ssize_t n = recv(m_socket.get(), buffer.data(), buffer.size(), 0);
        if (n > 0) {
            return {IoEnd::Done, static_cast<size_t>(n)};
        }
        if (n == 0) {
            return {m_reset ? IoEnd::Reset : IoEnd::Closed, 0};
        }
        if (errno != EINTR && errno != EAGAIN) {
            return {recordError(errno), 0};
        }
    }
}

bool Connection::isReusable()
{
    char byte = 0;
    const ssize_t n = recv(m_socket.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n < 0 && errno != EAGAIN && errno != EINTR) {
        recordError(errno);
    }
    return n < 0 && errno == EAGAIN;
}

void Connection::setUnacknowledgedLimit(Duration limit)
{
    constexpr int64_t MaxMilliseconds = 60 * 60 * 1000;
    const int64_t n = std::chrono::duration_cast<std::chrono::milliseconds>(limit).count();
    const auto ms = static_cast<unsigned>(std::clamp<int64_t>(n, 1, MaxMilliseconds));
    setsockopt(m_socket.get(), IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
}

int Connection::descriptor() const
{
    return m_socket.get();
}

void Connection::interrupt()
{
    shutdown(m_socket.get(), SHUT_RDWR);
}

/// The system reports the error of a connection to one call only. Later reads return the data that arrived before it,
/// and then the same 0 as after a clean close. EPIPE is no such error: it follows a clean close by the peer, after
/// which no data is missing, or interrupt().
IoEnd Connection::recordError(int error)
{
    m_reset = m_reset || error != EPIPE;
    return IoEnd::Reset;
}

bool Connection::waitFor(short events, Duration timeout) const
{
    return pollOne(m_socket.get(), events, timeout) != 0;
}

} // namespace damask
