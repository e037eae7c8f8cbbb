#include "back/load_probes.h"

#include "back/request_head.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <ctime>
#include <poll.h>

namespace damask {

namespace {

constexpr size_t MaxResponseBytes = 16UL * 1024; // head and body together
constexpr size_t ReadBytes = 2048;               // per read from a socket
constexpr std::string_view HeadEnd = "\r\n\r\n";

/// One probe in flight.
class LoadProbe
{
public:
    LoadProbe(const Clock &clock, ConnectionPool &pool, const TargetProtocol &protocol, const TargetAddress &target)
        : m_clock(clock)
        , m_pool(pool)
        , m_protocol(protocol)
        , m_target(target)
        , m_began(clock.now())
    {
    }

    void start()
    {
        auto lease = m_pool.acquire(connectionKey(m_target.address, m_target.port), m_target.connectionShare, {});
        if (!lease) {
            end(tl::make_unexpected(lease.error()));
            return;
        }
        m_lease = std::move(*lease);
        m_leased = true;
        if (m_lease.connection) {
            sendRequest();
        } else {
            connect();
        }
    }

    /// The descriptor and events to wait for; -1 as descriptor if done.
    pollfd pollEntry() const
    {
        const bool reading = m_phase == Phase::Reading;
        return {m_done ? -1 : m_lease.connection->descriptor(), static_cast<short>(reading ? POLLIN : POLLOUT), 0};
    }

    void onReady()
    {
        if (m_phase == Phase::Reading) {
            read();
        } else if (const auto connected = m_lease.connection->finishConnect(); connected) {
            sendRequest();
        } else {
            end(tl::make_unexpected(connected.error()));
        }
    }

    void expire()
    {
        if (!m_done) {
            const bool connecting = m_phase == Phase::Connecting;
            end(fail(connecting ? Code::ConnectFailed : Code::AnswerTimeout,
                     "the target did not answer the load probe in time"));
        }
    }

    bool done() const
    {
        return m_done;
    }
    ProbeResult &result()
    {
        return m_result;
    }
    const std::string &key() const
    {
        return m_lease.key;
    }
    bool reusedConnectionSilent() const // no byte was received on a reused connection
    {
        return m_lease.reused && m_bytes.empty() && !m_result.report;
    }

private:
    enum class Phase {
        Connecting,
        Reading,
    };

    void connect()
    {
        auto connection = Connection::startConnect(m_target.address, m_target.port);
        if (!connection) {
            end(tl::make_unexpected(connection.error()));
            return;
        }
        m_lease.connection = std::move(*connection);
        m_lease.reused = false;
        m_result.connected = true;
        m_phase = Phase::Connecting;
    }

    void sendRequest()
    {
        const std::string head =
            probeRequestHead("GET", m_protocol.probePath(m_target), connectionKey(m_target.address, m_target.port));
        const std::array<std::string_view, 1> parts{head};
        const IoResult sent = m_lease.connection->send(parts, Duration::zero());
        if (sent.end == IoEnd::Done) {
            m_phase = Phase::Reading;
        } else {
            onConnectionLost();
        }
    }

    void read()
    {
        std::array<char, ReadBytes> buf{};
        const IoResult got = m_lease.connection->receive(buf, Duration::zero());
        if (got.end == IoEnd::TimedOut) {
            return;
        }
        if (got.end != IoEnd::Done) {
            onConnectionLost();
            return;
        }
        m_bytes.append(buf.data(), got.bytes);
        const size_t at = m_bytes.find(HeadEnd);
        if (at != std::string::npos) {
            parseResponse(at + HeadEnd.size());
        } else if (m_bytes.size() > MaxResponseBytes) {
            end(fail(Code::AnswerTooLarge, "the head of the load probe's response is too large"));
        }
    }

    /// Parses the response once its head, of the given size, is complete.
    void parseResponse(size_t headBytes)
    {
        const auto head = parseResponseHead(std::string_view(m_bytes).substr(0, headBytes), "GET");
        if (!head) {
            end(tl::make_unexpected(head.error()));
            return;
        }
        if (head->framing == BodyFraming::Chunked || head->framing == BodyFraming::ByClose) {
            end(fail(Code::BadAnswer, "the response to the load probe has no Content-Length"));
            return;
        }
        const size_t length = head->framing == BodyFraming::Length ? head->length : 0;
        if (headBytes + length > MaxResponseBytes) {
            end(fail(Code::AnswerTooLarge, "the body of the load probe's response is too large"));
            return;
        }
        if (m_bytes.size() < headBytes + length) {
            return;
        }
        m_reusable = m_bytes.size() == headBytes + length && !head->close;
        m_lease.history.unnamedAnswer = true;
        m_lease.maxIdleTime = keepAliveTime(head->headers).value_or(m_lease.maxIdleTime);
        m_result.notice = m_protocol.notice(m_target, {}, *head);
        auto report = m_protocol.readProbe(m_target, *head, std::string_view(m_bytes).substr(headBytes));
        m_reusable = m_reusable && (report || report.error().code != Code::BadAnswer);
        end(std::move(report));
    }

    /// The target may have closed a reused connection while it was idle, which says nothing about its health. So a
    /// probe that got no byte on one is repeated once on a new connection.
    void onConnectionLost()
    {
        if (m_lease.reused && m_bytes.empty()) {
            connect();
        } else {
            end(fail(Code::ConnectionLost, "the connection was lost during the load probe"));
        }
    }

    void end(Result<LoadReport> report)
    {
        m_done = true;
        m_result.report = std::move(report);
        m_result.elapsed = m_clock.now() - m_began;
        if (!m_leased) {
            return;
        }
        if (m_reusable) {
            m_pool.release(std::move(m_lease));
        } else {
            m_pool.discard(m_lease);
            m_lease.connection.reset();
        }
    }

    const Clock &m_clock;
    ConnectionPool &m_pool;
    const TargetProtocol &m_protocol;
    const TargetAddress &m_target;
    TimePoint m_began;
    ConnectionLease m_lease;
    bool m_leased = false;
    Phase m_phase = Phase::Connecting;
    std::string m_bytes;
    bool m_reusable = false;
    bool m_done = false;
    ProbeResult m_result{.report = fail(Code::AnswerTimeout)};
};

int waitMilliseconds(Duration left)
{
    return static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(std::max(left, Duration::zero())).count());
}

void pollUntil(const Clock &clock, std::span<LoadProbe> probes, TimePoint until)
{
    std::vector<pollfd> pollEntries;
    while (std::any_of(probes.begin(), probes.end(), [](const LoadProbe &it) { return !it.done(); })) {
        const Duration left = until - clock.now();
        if (left <= Duration::zero()) {
            return;
        }
        pollEntries.clear();
        for (const LoadProbe &it : probes) {
            pollEntries.push_back(it.pollEntry());
        }
        const int ready = ::poll(pollEntries.data(), pollEntries.size(), waitMilliseconds(left));
        if (ready <= 0) {
            if (ready < 0 && errno == EINTR) {
                continue;
            }
            return;
        }
        for (size_t n = 0; n < probes.size(); ++n) {
            if (pollEntries[n].revents != 0 && !probes[n].done()) {
                probes[n].onReady();
            }
        }
    }
}

} // namespace

std::vector<ProbeResult> probeAll(const Clock &clock, ConnectionPool &pool, const TargetProtocol &protocol,
                                  std::span<const std::shared_ptr<const TargetAddress>> targets, Duration timeout)
{
    const TimePoint began = clock.now();
    std::vector<LoadProbe> probes;
    probes.reserve(targets.size());
    for (const auto &it : targets) {
        probes.emplace_back(clock, pool, protocol, *it).start();
    }
    pollUntil(clock, probes, began + timeout);
    std::vector<ProbeResult> out;
    for (LoadProbe &it : probes) {
        it.expire();
        if (it.reusedConnectionSilent()) {
            pool.retireIdle(it.key(), began);
        }
        out.push_back(std::move(it.result()));
    }
    return out;
}

} // namespace damask
