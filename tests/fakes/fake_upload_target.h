/// A target on loopback that serves one upload at a time on a blocking socket, and reads as the test tells it to.
#pragma once

#include "base/clock.h"
#include "base/lock.h"
#include "base/scope.h"
#include "base/thread.h"

#include <arpa/inet.h>
#include <array>
#include <criterion/criterion.h>
#include <cstdint>
#include <netinet/in.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace damask {

/// What the target does with a connection after its response.
enum class UploadEnd {
    ReadsOn,        // keeps it open
    EndsSending,    // ends its direction, then reads the rest of the request
    EndsThenCloses, // ends its direction, then closes as below: the reset follows the end
    Closes,         // closes although the rest of the request is unread, which the system turns into a reset
    Resets,         // closes with a TCP reset
};

/// What the target does with each connection.
struct UploadBehaviour {
    size_t      readBytes = SIZE_MAX; // of head and body, before the response; SIZE_MAX: up to the end of the body
    std::string response;             // empty: none
    bool        stopsReading = false; // after readBytes, until released; the response follows
    UploadEnd   end = UploadEnd::ReadsOn;
};

class FakeUploadTarget
{
public:
    explicit FakeUploadTarget(UploadBehaviour behaviour)
        : m_behaviour(std::move(behaviour))
        , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int   small = 64 * 1024;
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof to;
        setsockopt(m_listener.get(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
        cr_assert(bind(m_listener.get(), reinterpret_cast<sockaddr *>(&to), size) == 0);
        cr_assert(listen(m_listener.get(), 128) == 0);
        getsockname(m_listener.get(), reinterpret_cast<sockaddr *>(&to), &size);
        m_port = ntohs(to.sin_port);
        m_thread = Thread("upload-target", [this] { serve(); });
    }
    ~FakeUploadTarget()
    {
        release();
        shutdown(m_listener.get(), SHUT_RDWR);
        m_thread.join();
    }

    uint16_t port() const
    {
        return m_port;
    }
    void release() // ends stopsReading
    {
        LockGuard lock(m_mutex);
        m_released = true;
        m_changed.notifyAll();
    }
    int connections() const
    {
        LockGuard lock(m_mutex);
        return m_connections;
    }
    std::string received() const // on all connections, as sent
    {
        LockGuard lock(m_mutex);
        return m_received;
    }
    size_t waitForBytes(size_t n) const
    {
        LockGuard lock(m_mutex);
        while (m_received.size() < n) {
            m_changed.wait(lock);
        }
        return m_received.size();
    }
    void waitForEnds(int n) const // connections that either side has ended
    {
        LockGuard lock(m_mutex);
        while (m_ends < n) {
            m_changed.wait(lock);
        }
    }

private:
    void serve()
    {
        while (true) {
            FileDescriptor peer(accept(m_listener.get(), nullptr, nullptr));
            if (!peer.valid()) {
                return;
            }
            {
                LockGuard lock(m_mutex);
                ++m_connections;
            }
            serveOne(peer.get());
            peer.reset();
            LockGuard lock(m_mutex);
            ++m_ends;
            m_changed.notifyAll();
        }
    }
    void serveOne(int peer)
    {
        std::string            bytes;
        std::array<char, 4096> buf{};
        bool                   answered = false;
        while (true) {
            const bool due =
                m_behaviour.readBytes == SIZE_MAX ? complete(bytes) : bytes.size() >= m_behaviour.readBytes;
            if (due && !answered) {
                answered = true;
                if (m_behaviour.stopsReading) {
                    LockGuard lock(m_mutex);
                    while (!m_released) {
                        m_changed.wait(lock);
                    }
                }
                send(peer, m_behaviour.response.data(), m_behaviour.response.size(), MSG_NOSIGNAL);
                if (!readsAfterResponse(peer)) {
                    return;
                }
            }
            if (due && m_behaviour.readBytes == SIZE_MAX) { // the next request on this connection
                bytes.clear();
                answered = false;
            }
            const ssize_t n = recv(peer, buf.data(), buf.size(), 0);
            if (n <= 0) {
                return;
            }
            LockGuard lock(m_mutex);
            bytes.append(buf.data(), static_cast<size_t>(n));
            m_received.append(buf.data(), static_cast<size_t>(n));
            m_changed.notifyAll();
        }
    }
    bool readsAfterResponse(int peer) const
    {
        const UploadEnd end = m_behaviour.end;
        if (end == UploadEnd::EndsSending || end == UploadEnd::EndsThenCloses) {
            shutdown(peer, SHUT_WR);
        }
        if (end == UploadEnd::Resets) {
            const linger now{.l_onoff = 1, .l_linger = 0};
            setsockopt(peer, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        }
        return end == UploadEnd::ReadsOn || end == UploadEnd::EndsSending;
    }
    static bool complete(std::string_view bytes)
    {
        const size_t end = bytes.find("\r\n\r\n");
        if (end == std::string_view::npos) {
            return false;
        }
        const size_t at = bytes.substr(0, end).find("Content-Length: ");
        if (at == std::string_view::npos) {
            return bytes.ends_with("\r\n0\r\n\r\n");
        }
        return bytes.size() >= end + 4 + std::stoul(std::string(bytes.substr(at + 16, 20)));
    }

    const UploadBehaviour m_behaviour;
    FileDescriptor        m_listener;
    uint16_t              m_port = 0;
    mutable Clock         m_clock;
    mutable RankedMutex   m_mutex{LockRank::Leaf};
    mutable Condition     m_changed{m_clock};
    std::string           m_received;
    int                   m_connections = 0;
    int                   m_ends = 0;
    bool                  m_released = false;
    Thread                m_thread;
};

} // namespace damask
