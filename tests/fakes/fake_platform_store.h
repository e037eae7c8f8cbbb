/// Fake of the platform's metadata store over a raw socket: ranges, long polls and injected faults.
#pragma once

#include "base/clock.h"
#include "base/lock.h"
#include "base/scope.h"
#include "base/thread.h"
#include "store/base64.h"

#include <arpa/inet.h>
#include <array>
#include <criterion/criterion.h>
#include <functional>
#include <map>
#include <netinet/in.h>
#include <optional>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace damask {

/// How the store responds to calls.
enum class StoreBehaviour {
    Healthy,
    Unavailable,       // 503
    RateLimited,       // 429
    ResetsConnections, // closes with a TCP reset
    Silent,            // accepts calls and answers none, including waiting long polls
    InvalidJson,       // 200 with truncated JSON
};

class FakePlatformStore
{
public:
    FakePlatformStore()
        : m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
        , m_wake(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
    {
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof to;
        cr_assert(bind(m_listener.get(), reinterpret_cast<sockaddr *>(&to), size) == 0);
        cr_assert(listen(m_listener.get(), 128) == 0);
        getsockname(m_listener.get(), reinterpret_cast<sockaddr *>(&to), &size);
        m_port = ntohs(to.sin_port);
        m_thread = Thread("fake-store", [this] { serve(); });
    }
    ~FakePlatformStore()
    {
        {
            LockGuard lock(m_mutex);
            m_stopped = true;
        }
        wake();
        m_thread.join();
    }

    uint16_t port() const
    {
        return m_port;
    }
    void put(std::string_view key, std::string_view value)
    {
        change(key, toBase64(value));
    }
    void putEncoded(std::string_view key, std::string_view text) // sends the text as the value, instead of base64
    {
        change(key, std::string(text));
    }
    void remove(std::string_view key)
    {
        change(key, std::nullopt);
    }
    void dropHistory() // later long polls from an older revision get 410
    {
        LockGuard lock(m_mutex);
        m_events.clear();
        m_oldest = m_revision;
    }
    void freezeStaleReads() // ranges that may be stale return the present state from now on
    {
        LockGuard lock(m_mutex);
        m_staleItems = m_items;
        m_staleRevision = m_revision;
    }
    void restoreFrozen() // the store returns with the state and the revision of freezeStaleReads()
    {
        {
            LockGuard lock(m_mutex);
            m_items = m_staleItems;
            m_revision = std::exchange(m_staleRevision, 0);
            std::erase_if(m_events, [this](const Event &it) { return it.revision > m_revision; });
        }
        wake();
    }
    /// Returns from the copy of freezeStaleReads() in a new era, and runs `writes` before it answers a call.
    void returnInEra(uint64_t era, const std::function<void()> &writes)
    {
        setBehaviour(StoreBehaviour::ResetsConnections);
        restoreFrozen();
        writes();
        setEra(std::to_string(era));
        setBehaviour(StoreBehaviour::Healthy);
    }
    void setEra(std::string_view era) // of all later answers; empty: they have none
    {
        LockGuard lock(m_mutex);
        m_era = era;
    }
    void setPageItems(size_t items) // of a range
    {
        LockGuard lock(m_mutex);
        m_pageItems = items;
    }
    void holdAfterFirstPage(bool hold) // connections of calls for later pages are closed meanwhile
    {
        LockGuard lock(m_mutex);
        m_holdPages = hold;
    }
    void cutNextPoll() // closes the connection of the next long poll that waits
    {
        LockGuard lock(m_mutex);
        m_cutNext = true;
    }
    bool pollCut() const // since cutNextPoll()
    {
        LockGuard lock(m_mutex);
        return !m_cutNext;
    }
    int latestRanges() const // calls for a range that may not be stale
    {
        LockGuard lock(m_mutex);
        return m_latestRanges;
    }
    void setBehaviour(StoreBehaviour behaviour)
    {
        LockGuard lock(m_mutex);
        m_behaviour = behaviour;
    }
    void delayReplies(Duration delay) // later replies are sent so long after their content is determined
    {
        LockGuard lock(m_mutex);
        m_replyDelay = delay;
    }
    uint64_t revision() const
    {
        LockGuard lock(m_mutex);
        return m_revision;
    }
    int calls() const
    {
        LockGuard lock(m_mutex);
        return m_calls;
    }

private:
    struct Event {
        std::string                key;
        std::optional<std::string> text; // the value as it is sent: encoded once, as a large one takes long
        uint64_t                   revision = 0;
    };
    struct Peer {
        FileDescriptor socket;
        std::string    read;
        bool           waits = false; // a long poll
        uint64_t       after = 0;
        TimePoint      until{};
    };

    void change(std::string_view key, std::optional<std::string> text)
    {
        {
            LockGuard lock(m_mutex);
            ++m_revision;
            if (text) {
                m_items[std::string(key)] = {std::string(key), text, m_revision};
            } else {
                m_items.erase(std::string(key));
            }
            m_events.push_back({std::string(key), std::move(text), m_revision});
        }
        wake();
    }
    void wake()
    {
        const uint64_t one = 1;
        cr_assert(write(m_wake.get(), &one, sizeof one) == sizeof one);
    }

    void serve()
    {
        std::vector<Peer> peers;
        while (true) {
            std::vector<pollfd> waits{{m_wake.get(), POLLIN, 0}, {m_listener.get(), POLLIN, 0}};
            for (const Peer &it : peers) {
                waits.push_back({it.socket.get(), POLLIN, 0});
            }
            poll(waits.data(), waits.size(), 20);
            uint64_t                       n = 0;
            [[maybe_unused]] const ssize_t taken = read(m_wake.get(), &n, sizeof n);
            LockGuard                      lock(m_mutex);
            if (m_stopped) {
                return;
            }
            for (size_t at = peers.size(); at > 0; --at) {
                const bool readable = waits[at + 1].revents != 0;
                if ((readable && !take(peers[at - 1])) || !answerLongPoll(peers[at - 1])) {
                    peers.erase(peers.begin() + static_cast<ptrdiff_t>(at) - 1);
                }
            }
            if (waits[1].revents != 0) {
                peers.push_back({FileDescriptor(accept(m_listener.get(), nullptr, nullptr))});
            }
        }
    }
    bool take(Peer &peer)
    {
        std::array<char, 4096> buf{};
        const ssize_t          n = recv(peer.socket.get(), buf.data(), buf.size(), 0);
        if (n <= 0) {
            return false;
        }
        peer.read.append(buf.data(), static_cast<size_t>(n));
        if (peer.read.find("\r\n\r\n") == std::string::npos) {
            return true;
        }
        ++m_calls;
        return answer(peer);
    }
    static std::string valueOf(std::string_view path, std::string_view name)
    {
        const size_t at = path.find(std::string(name) + "=");
        return at == std::string_view::npos
                   ? ""
                   : std::string(path.substr(at + name.size() + 1, path.find('&', at) - at - name.size() - 1));
    }
    bool answer(Peer &peer)
    {
        switch (m_behaviour) {
        case StoreBehaviour::Unavailable:
            return reply(peer, "503 Service Unavailable", "{}");
        case StoreBehaviour::RateLimited:
            return reply(peer, "429 Too Many Requests", "{}");
        case StoreBehaviour::InvalidJson:
            return reply(peer, "200 OK", "{\"events\": [[");
        case StoreBehaviour::Silent:
            return true;
        case StoreBehaviour::ResetsConnections: {
            const linger hard{1, 0};
            setsockopt(peer.socket.get(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
            return false;
        }
        case StoreBehaviour::Healthy:
            break;
        }
        const std::string path = peer.read.substr(4, peer.read.find(' ', 4) - 4);
        if (path.starts_with("/-/kv-range")) {
            if (m_holdPages && !valueOf(path, "after").empty()) {
                return false;
            }
            const bool mayBeStale = valueOf(path, "staleOk") == "1";
            m_latestRanges += mayBeStale ? 0 : 1;
            return reply(peer, "200 OK",
                         range(valueOf(path, "prefix"), valueOf(path, "after"), mayBeStale && m_staleRevision > 0));
        }
        peer.waits = true;
        peer.after = std::stoull(valueOf(path, "after"));
        peer.until = m_clock.now() + std::chrono::milliseconds(std::stoll(valueOf(path, "waitMs")));
        return answerLongPoll(peer);
    }
    bool answerLongPoll(Peer &peer)
    {
        if (!peer.waits || m_behaviour == StoreBehaviour::Silent) {
            return true;
        }
        if (m_behaviour != StoreBehaviour::Healthy) {
            return false; // a fault closes waiting long polls
        }
        if (peer.after < m_oldest || (!m_era.empty() && peer.after > m_revision)) {
            return reply(peer, "410 Gone", "{}");
        }
        std::string events;
        for (const Event &it : m_events) {
            if (it.revision > peer.after) {
                events += (events.empty() ? "" : ",") + item(it);
            }
        }
        if (events.empty() && m_clock.now() < peer.until) {
            return !std::exchange(m_cutNext, false);
        }
        return reply(peer, "200 OK", "{\"events\":[" + events + "],\"asOf\":" + std::to_string(m_revision) + "}");
    }
    std::string range(const std::string &prefix, const std::string &after, bool stale) const
    {
        std::string items;
        size_t      count = 0;
        bool        more = false;
        for (const auto &[key, it] : stale ? m_staleItems : m_items) {
            if (!key.starts_with(prefix) || key <= after) {
                continue;
            }
            more = count == m_pageItems;
            if (more) {
                break;
            }
            items += (items.empty() ? "" : ",") + item(it);
            ++count;
        }
        return "{\"items\":[" + items + "],\"morePages\":" + (more ? "true" : "false")
               + ",\"asOf\":" + std::to_string(stale ? m_staleRevision : m_revision) + "}";
    }
    static std::string item(const Event &it)
    {
        std::string out = "{\"key\":\"" + it.key + "\",\"revision\":" + std::to_string(it.revision);
        if (!it.text) {
            return out + ",\"tombstone\":true}";
        }
        out += ",\"value\":\"" + *it.text + "\"}";
        return out;
    }
    bool reply(Peer &peer, std::string_view status, std::string_view body) const
    {
        poll(nullptr, 0, static_cast<int>(toMilliseconds(m_replyDelay)));
        std::string out = "HTTP/1.1 " + std::string(status) + "\r\nContent-Type: application/json\r\nContent-Length: "
                          + std::to_string(body.size()) + (m_era.empty() ? "" : "\r\nStore-Era: " + m_era)
                          + "\r\nConnection: close\r\n\r\n" + std::string(body);
        send(peer.socket.get(), out.data(), out.size(), MSG_NOSIGNAL);
        return false;
    }

    FileDescriptor               m_listener;
    FileDescriptor               m_wake;
    uint16_t                     m_port = 0;
    Clock                        m_clock;
    mutable RankedMutex          m_mutex{LockRank::Leaf};
    std::map<std::string, Event> m_items;
    std::vector<Event>           m_events;
    uint64_t                     m_revision = 1;
    uint64_t                     m_oldest = 0;
    std::string                  m_era; // empty: not named
    std::map<std::string, Event> m_staleItems;
    uint64_t                     m_staleRevision = 0; // 0: no read is stale
    int                          m_latestRanges = 0;
    bool                         m_holdPages = false;
    size_t                       m_pageItems = 2; // small, so that tests cover paging
    bool                         m_cutNext = false;
    StoreBehaviour               m_behaviour = StoreBehaviour::Healthy;
    int                          m_calls = 0;
    Duration                     m_replyDelay{0};
    bool                         m_stopped = false;
    Thread                       m_thread;
};

} // namespace damask
