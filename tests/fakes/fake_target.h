/// A target on loopback over a raw socket; the test defines the bytes of each response.
#pragma once

#include "base/clock.h"
#include "base/lock.h"
#include "base/scope.h"
#include "base/thread.h"

#include <arpa/inet.h>
#include <array>
#include <criterion/criterion.h>
#include <functional>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace damask {

/// Reaction to one request: the bytes to send, and whether to close the connection or to stop answering.
struct FakeReply {
    std::string bytes;
    bool        close = false;  // after the bytes
    bool        silent = false; // keeps the connection open and reads nothing more
    bool        reset = false;  // with close: by a TCP reset
};

/// A response with a Content-Length.
inline std::string completeResponse(std::string_view body, std::string_view fields = {},
                                    std::string_view status = "200 OK")
{
    std::string out = "HTTP/1.1 " + std::string(status) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    out += fields;
    out += "\r\n";
    out += body;
    return out;
}

class FakeTarget
{
public:
    /// Called on the target's own thread with the number of the connection and the complete request.
    using Reply = std::function<FakeReply(int connection, const std::string &request)>;

    explicit FakeTarget(Reply reply)
        : m_reply(std::move(reply))
        , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
        , m_stop(eventfd(0, EFD_CLOEXEC))
    {
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof to;
        cr_assert(bind(m_listener.get(), reinterpret_cast<sockaddr *>(&to), size) == 0);
        cr_assert(listen(m_listener.get(), 128) == 0);
        getsockname(m_listener.get(), reinterpret_cast<sockaddr *>(&to), &size);
        m_port = ntohs(to.sin_port);
        m_thread = Thread("fake-target", [this] { serve(); });
    }
    ~FakeTarget()
    {
        const uint64_t one = 1;
        cr_assert(write(m_stop.get(), &one, sizeof one) == sizeof one);
        m_thread.join();
    }

    /// From now on, sends these bytes as soon as any byte of a request arrives, and reads nothing more.
    void respondEarly(std::string bytes)
    {
        LockGuard lock(m_mutex);
        m_earlyResponse = std::move(bytes);
    }
    uint16_t port() const
    {
        return m_port;
    }
    std::vector<std::string> requests() const // complete requests, in order of arrival
    {
        LockGuard lock(m_mutex);
        return m_requests;
    }
    void waitForClosed(int connections) const // until the target has closed this many connections
    {
        LockGuard lock(m_mutex);
        while (m_closed < connections) {
            m_changed.wait(lock);
        }
    }
    int accepted() const
    {
        LockGuard lock(m_mutex);
        return m_accepted;
    }

private:
    struct Peer {
        FileDescriptor socket;
        std::string    read;
        int            number = 0;
        bool           silent = false;
    };

    void serve()
    {
        std::vector<Peer> peers;
        while (true) {
            std::vector<pollfd> waits{{m_stop.get(), POLLIN, 0}, {m_listener.get(), POLLIN, 0}};
            for (const Peer &it : peers) {
                waits.push_back({it.silent ? -1 : it.socket.get(), POLLIN, 0});
            }
            poll(waits.data(), waits.size(), -1);
            if (waits[0].revents != 0) {
                return;
            }
            for (size_t n = peers.size(); n > 0; --n) {
                if (waits[n + 1].revents != 0 && !take(peers[n - 1])) {
                    peers.erase(peers.begin() + static_cast<ptrdiff_t>(n) - 1);
                }
            }
            if (waits[1].revents != 0) {
                LockGuard lock(m_mutex);
                peers.push_back({FileDescriptor(accept(m_listener.get(), nullptr, nullptr)), {}, ++m_accepted, false});
            }
        }
    }
    /// Reads and serves the available bytes; returns false when the connection has ended.
    bool take(Peer &peer)
    {
        std::array<char, 4096> buf{};
        const ssize_t          n = recv(peer.socket.get(), buf.data(), buf.size(), 0);
        if (n <= 0) {
            return false;
        }
        peer.read.append(buf.data(), static_cast<size_t>(n));
        const std::string first = earlyResponse();
        if (!first.empty()) {
            send(peer.socket.get(), first.data(), first.size(), MSG_NOSIGNAL);
            peer.silent = true;
            return true;
        }
        while (const size_t requestSize = completeRequestSize(peer.read)) {
            const std::string request = peer.read.substr(0, requestSize);
            peer.read.erase(0, requestSize);
            {
                LockGuard lock(m_mutex);
                m_requests.push_back(request);
            }
            const FakeReply reply = m_reply(peer.number, request);
            send(peer.socket.get(), reply.bytes.data(), reply.bytes.size(), MSG_NOSIGNAL);
            if (reply.close) {
                if (reply.reset) {
                    const linger now{.l_onoff = 1, .l_linger = 0};
                    setsockopt(peer.socket.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
                }
                peer.socket.reset();
                LockGuard lock(m_mutex);
                ++m_closed;
                m_changed.notifyAll();
                return false;
            }
            peer.silent = peer.silent || reply.silent;
        }
        return true;
    }
    std::string earlyResponse() const
    {
        LockGuard lock(m_mutex);
        return m_earlyResponse;
    }
    static size_t completeRequestSize(std::string_view read)
    {
        const size_t end = read.find("\r\n\r\n");
        if (end == std::string_view::npos) {
            return 0;
        }
        const size_t at = read.substr(0, end).find("Content-Length: ");
        const size_t length = at == std::string_view::npos ? 0 : std::stoul(std::string(read.substr(at + 16, 20)));
        return read.size() >= end + 4 + length ? end + 4 + length : 0;
    }

    Reply                    m_reply;
    FileDescriptor           m_listener;
    FileDescriptor           m_stop;
    uint16_t                 m_port = 0;
    Clock                    m_clock;
    mutable RankedMutex      m_mutex{LockRank::Leaf};
    mutable Condition        m_changed{m_clock};
    std::string              m_earlyResponse; // sent before a request is complete; empty: none
    int                      m_closed = 0;
    std::vector<std::string> m_requests;
    int                      m_accepted = 0;
    Thread                   m_thread;
};

} // namespace damask
