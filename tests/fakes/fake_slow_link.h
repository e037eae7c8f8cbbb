/// A server on loopback whose replies arrive as over a slow link: some bytes at a time.
#pragma once

#include "base/clock.h"
#include "base/lock.h"
#include "base/scope.h"
#include "base/thread.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <utility>

namespace damask {

class FakeSlowLink
{
public:
    /// Sends `bytesPerStep` of the reply every `step`, and nothing more after `stallAfter` bytes.
    FakeSlowLink(std::string reply, size_t bytesPerStep, Duration step, size_t stallAfter = std::string::npos)
        : m_reply(std::move(reply))
        , m_bytesPerStep(bytesPerStep)
        , m_step(step)
        , m_stallAfter(stallAfter)
        , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof to;
        cr_assert(bind(m_listener.get(), reinterpret_cast<sockaddr *>(&to), size) == 0);
        cr_assert(listen(m_listener.get(), 8) == 0);
        getsockname(m_listener.get(), reinterpret_cast<sockaddr *>(&to), &size);
        m_port = ntohs(to.sin_port);
        m_thread = Thread("slow-link", [this] { serve(); });
    }
    ~FakeSlowLink()
    {
        shutdown(m_listener.get(), SHUT_RDWR);
        m_thread.join();
    }

    uint16_t port() const
    {
        return m_port;
    }

private:
    void serve()
    {
        while (true) {
            const FileDescriptor peer(accept(m_listener.get(), nullptr, nullptr));
            if (!peer.valid()) {
                return;
            }
            std::array<char, 4096> buf{};
            recv(peer.get(), buf.data(), buf.size(), 0);
            std::string_view left = std::string_view(m_reply).substr(0, m_stallAfter);
            while (!left.empty()) {
                pause();
                const ssize_t n = send(peer.get(), left.data(), std::min(left.size(), m_bytesPerStep), MSG_NOSIGNAL);
                left.remove_prefix(n > 0 ? static_cast<size_t>(n) : left.size());
            }
            while (recv(peer.get(), buf.data(), buf.size(), 0) > 0) { }
        }
    }
    void pause()
    {
        RankedMutex     mutex{LockRank::Program};
        Condition       neverNotified(m_clock);
        LockGuard       lock(mutex);
        const TimePoint until = m_clock.now() + m_step;
        while (neverNotified.waitUntil(lock, until)) { }
    }

    std::string    m_reply;
    size_t         m_bytesPerStep;
    Duration       m_step;
    size_t         m_stallAfter;
    Clock          m_clock;
    FileDescriptor m_listener;
    uint16_t       m_port = 0;
    Thread         m_thread;
};

} // namespace damask
