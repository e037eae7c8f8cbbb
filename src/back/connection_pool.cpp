#include "back/connection_pool.h"

#include "base/check.h"

#include <algorithm>
#include <iterator>

namespace damask {

ConnectionPool::ConnectionPool(Clock &clock, const ConnectionPoolOptions &options)
    : m_clock(clock)
    , m_options(options)
{
}

Result<ConnectionLease> ConnectionPool::acquire(std::string_view key, int share, bool provenAliveOnly)
{
    const TimePoint now = m_clock.now();
    const Duration maxAge = provenAliveOnly ? m_options.freshLimit : m_options.idleLimit;
    Retired retired;
    LockGuard lock(m_mutex);
    TargetConnections &at = connectionsOf(key);
    // The connection with the most recent response is the most likely to be alive, so it is used first; the others
    // expire.
    while (!at.idle.empty() && now - at.idle.back().answeredAt <= maxAge) {
        Idle found = std::move(at.idle.back());
        at.idle.pop_back();
        if (now < found.usableUntil && found.connection->isReusable()) {
            ++at.inUse;
            return ConnectionLease{std::string(key), std::move(found.connection), true};
        }
        retired.push_back(std::move(found));
    }
    const int total = at.inUse + static_cast<int>(at.idle.size());
    if (total >= share) {
        if (at.idle.empty()) {
            return fail(Code::TargetShares, key);
        }
        retired.push_back(std::move(at.idle.front()));
        at.idle.erase(at.idle.begin());
    }
    ++at.inUse;
    return ConnectionLease{std::string(key), nullptr, false};
}

void ConnectionPool::release(ConnectionLease lease)
{
    const TimePoint now = m_clock.now();
    LockGuard lock(m_mutex);
    TargetConnections &at = connectionsOf(lease.key);
    DAMASK_ASSERT(at.inUse > 0, "call release() or discard() exactly once for each lease");
    --at.inUse;
    const Duration maxIdleTime = std::min(lease.maxIdleTime, m_options.idleLimit);
    at.idle.push_back({std::move(lease.connection), now, now + maxIdleTime});
}

void ConnectionPool::discard(ConnectionLease lease)
{
    LockGuard lock(m_mutex);
    TargetConnections &at = connectionsOf(lease.key);
    DAMASK_ASSERT(at.inUse > 0, "call release() or discard() exactly once for each lease");
    --at.inUse;
}

void ConnectionPool::retireIdle(std::string_view key, TimePoint before)
{
    Retired retired;
    LockGuard lock(m_mutex);
    TargetConnections &at = connectionsOf(key);
    const auto firstKept =
        std::find_if(at.idle.begin(), at.idle.end(), [before](const Idle &it) { return it.answeredAt >= before; });
    std::move(at.idle.begin(), firstKept, std::back_inserter(retired));
    at.idle.erase(at.idle.begin(), firstKept);
}

void ConnectionPool::closeExpired()
{
    const TimePoint before = m_clock.now() - m_options.idleLimit;
    Retired retired;
    LockGuard lock(m_mutex);
    for (auto it = m_targets.begin(); it != m_targets.end();) {
        TargetConnections &at = it->second;
        const auto firstKept =
            std::find_if(at.idle.begin(), at.idle.end(), [before](const Idle &n) { return n.answeredAt >= before; });
        std::move(at.idle.begin(), firstKept, std::back_inserter(retired));
        at.idle.erase(at.idle.begin(), firstKept);
        it = at.idle.empty() && at.inUse == 0 ? m_targets.erase(it) : std::next(it);
    }
}

int ConnectionPool::open(std::string_view key) const
{
    LockGuard lock(m_mutex);
    const auto it = m_targets.find(key);
    return it == m_targets.end() ? 0 : it->second.inUse + static_cast<int>(it->second.idle.size());
}

int ConnectionPool::idle(std::string_view key) const
{
    LockGuard lock(m_mutex);
    const auto it = m_targets.find(key);
    return it == m_targets.end() ? 0 : static_cast<int>(it->second.idle.size());
}

ConnectionPool::TargetConnections &ConnectionPool::connectionsOf(std::string_view key)
{
    const auto it = m_targets.find(key);
    return it != m_targets.end() ? it->second : m_targets[std::string(key)];
}

} // namespace damask
