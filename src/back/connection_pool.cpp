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

Result<ConnectionLease> ConnectionPool::acquire(std::string_view key, int share, const ConnectionUse &use)
{
    const TimePoint now = m_clock.now();
    const Duration maxAge = use.provenAliveOnly ? m_options.freshLimit : m_options.idleLimit;
    Retired retired;
    LockGuard lock(m_mutex);
    TargetConnections &target = connectionsOf(key);
    // The connection with the most recent response is the most likely to be alive, so it is used first; the others
    // expire.
    for (size_t n = target.idle.size(); n > 0 && now - target.idle[n - 1].answeredAt <= maxAge; --n) {
        const auto at = target.idle.begin() + static_cast<ptrdiff_t>(n) - 1;
        if (use.request != 0 && at->history.carried(use.request)) {
            continue;
        }
        Idle found = std::move(*at);
        target.idle.erase(at);
        if (now < found.usableUntil && found.connection->isReusable()) {
            ++target.inUse;
            return ConnectionLease{.key = std::string(key),
                                   .connection = std::move(found.connection),
                                   .reused = true,
                                   .history = std::move(found.history)};
        }
        retired.push_back(std::move(found));
    }
    const int total = target.inUse + static_cast<int>(target.idle.size());
    if (total >= share) {
        if (target.idle.empty()) {
            return fail(Code::TargetShares, key);
        }
        retired.push_back(std::move(target.idle.front()));
        target.idle.erase(target.idle.begin());
    }
    ++target.inUse;
    return ConnectionLease{.key = std::string(key)};
}

void ConnectionPool::release(ConnectionLease lease)
{
    const TimePoint now = m_clock.now();
    LockGuard lock(m_mutex);
    TargetConnections &target = connectionsOf(lease.key);
    DAMASK_ASSERT(target.inUse > 0, "call release() or discard() exactly once for each lease");
    --target.inUse;
    const Duration maxIdleTime = std::min(lease.maxIdleTime, m_options.idleLimit);
    if (lease.history.requests.size() <= ConnectionHistory::MaxRequests) {
        target.idle.push_back({std::move(lease.connection), now, now + maxIdleTime, std::move(lease.history)});
    }
}

void ConnectionPool::discard(ConnectionLease lease)
{
    LockGuard lock(m_mutex);
    TargetConnections &target = connectionsOf(lease.key);
    DAMASK_ASSERT(target.inUse > 0, "call release() or discard() exactly once for each lease");
    --target.inUse;
}

void ConnectionPool::retireIdle(std::string_view key, TimePoint before)
{
    Retired retired;
    LockGuard lock(m_mutex);
    TargetConnections &target = connectionsOf(key);
    const auto firstKept = std::find_if(target.idle.begin(), target.idle.end(),
                                        [before](const Idle &it) { return it.answeredAt >= before; });
    std::move(target.idle.begin(), firstKept, std::back_inserter(retired));
    target.idle.erase(target.idle.begin(), firstKept);
}

void ConnectionPool::closeExpired()
{
    const TimePoint before = m_clock.now() - m_options.idleLimit;
    Retired retired;
    LockGuard lock(m_mutex);
    for (auto it = m_targets.begin(); it != m_targets.end();) {
        TargetConnections &target = it->second;
        const auto firstKept = std::find_if(target.idle.begin(), target.idle.end(),
                                            [before](const Idle &n) { return n.answeredAt >= before; });
        std::move(target.idle.begin(), firstKept, std::back_inserter(retired));
        target.idle.erase(target.idle.begin(), firstKept);
        it = target.idle.empty() && target.inUse == 0 ? m_targets.erase(it) : std::next(it);
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
