/// A server on loopback that answers each connection with bytes without end, until the other side closes.
#pragma once

#include "base/scope.h"
#include "base/thread.h"

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <utility>

namespace damask {

class FakeFlood
{
public:
    /// Sends `start` once, then `unit` again and again.
    FakeFlood(std::string start, std::string unit)
        : m_start(std::move(start))
        , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        while (m_units.size() < 32 * 1024) {
            m_units += unit;
        }
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof to;
        cr_assert(bind(m_listener.get(), reinterpret_cast<sockaddr *>(&to), size) == 0);
        cr_assert(listen(m_listener.get(), 8) == 0);
        getsockname(m_listener.get(), reinterpret_cast<sockaddr *>(&to), &size);
        m_port = ntohs(to.sin_port);
        m_thread = Thread("flood", [this] { serve(); });
    }
    ~FakeFlood()
    {
        shutdown(m_listener.get(), SHUT_RDWR);
        m_thread.join();
    }

    uint16_t port() const
    {
        return m_port;
    }
    size_t sent() const // bytes that the system has taken, on all connections
    {
        return m_sent;
    }

private:
    void serve()
    {
        while (true) {
            const FileDescriptor peer(accept(m_listener.get(), nullptr, nullptr));
            if (!peer.valid()) {
                return;
            }
            std::array<char, 4096> request{};
            recv(peer.get(), request.data(), request.size(), 0);
            const std::string *next = &m_start;
            ssize_t            n = 0;
            do {
                n = send(peer.get(), next->data(), next->size(), MSG_NOSIGNAL);
                m_sent += n > 0 ? static_cast<size_t>(n) : 0;
                next = &m_units;
            } while (n > 0);
        }
    }

    const std::string   m_start;
    std::string         m_units;
    FileDescriptor      m_listener;
    uint16_t            m_port = 0;
    std::atomic<size_t> m_sent{0};
    Thread              m_thread;
};

} // namespace damask
