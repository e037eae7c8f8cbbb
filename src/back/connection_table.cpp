#include "back/connection_table.h"

#include "base/check.h"

#include <algorithm>
#include <iterator>

namespace damask {

ConnectionTable::ConnectionTable(Clock &clock, const ConnectionTableOptions &options)
    : m_clock(clock)
    , m_options(options)
{
}

Result<ConnectionLease> ConnectionTable::take(std::string_view key, int share, bool provenOnly)
{
    const TimePoint now = m_clock.now();
    const Duration oldest = provenOnly ? m_options.freshLimit : m_options.idleLimit;
    Retired retired;
    LockGuard lock(m_mutex);
    Place &at = place(key);
    // The newest answer is the best proof, so the last one is used first and the others age out.
    while (!at.idle.empty() && now - at.idle.back().answeredAt <= oldest) {
        Idle found = std::move(at.idle.back());
        at.idle.pop_back();
        if (now < found.usableUntil && found.connection->quiet()) {
            ++at.inUse;
            return ConnectionLease{std::string(key), std::move(found.connection), true};
        }
        retired.push_back(std::move(found));
    }
    const int held = at.inUse + static_cast<int>(at.idle.size());
    if (held >= share) {
        if (at.idle.empty()) {
            return fail(Code::TargetShares, key);
        }
        retired.push_back(std::move(at.idle.front()));
        at.idle.erase(at.idle.begin());
    }
    ++at.inUse;
    return ConnectionLease{std::string(key), nullptr, false};
}

void ConnectionTable::give(ConnectionLease lease)
{
    const TimePoint now = m_clock.now();
    LockGuard lock(m_mutex);
    Place &at = place(lease.key);
    DAMASK_ASSERT(at.inUse > 0, "give back or drop each connection exactly once");
    --at.inUse;
    const Duration keepFor = std::min(lease.keepFor, m_options.idleLimit);
    at.idle.push_back({std::move(lease.connection), now, now + keepFor});
}

void ConnectionTable::drop(ConnectionLease lease)
{
    LockGuard lock(m_mutex);
    Place &at = place(lease.key);
    DAMASK_ASSERT(at.inUse > 0, "give back or drop each connection exactly once");
    --at.inUse;
}

void ConnectionTable::retireIdle(std::string_view key, TimePoint before)
{
    Retired retired;
    LockGuard lock(m_mutex);
    Place &at = place(key);
    const auto kept =
        std::find_if(at.idle.begin(), at.idle.end(), [before](const Idle &it) { return it.answeredAt >= before; });
    std::move(at.idle.begin(), kept, std::back_inserter(retired));
    at.idle.erase(at.idle.begin(), kept);
}

void ConnectionTable::closeOld()
{
    const TimePoint before = m_clock.now() - m_options.idleLimit;
    Retired retired;
    LockGuard lock(m_mutex);
    for (auto it = m_places.begin(); it != m_places.end();) {
        Place &at = it->second;
        const auto kept =
            std::find_if(at.idle.begin(), at.idle.end(), [before](const Idle &n) { return n.answeredAt >= before; });
        std::move(at.idle.begin(), kept, std::back_inserter(retired));
        at.idle.erase(at.idle.begin(), kept);
        it = at.idle.empty() && at.inUse == 0 ? m_places.erase(it) : std::next(it);
    }
}

int ConnectionTable::open(std::string_view key) const
{
    LockGuard lock(m_mutex);
    const auto it = m_places.find(key);
    return it == m_places.end() ? 0 : it->second.inUse + static_cast<int>(it->second.idle.size());
}

int ConnectionTable::idle(std::string_view key) const
{
    LockGuard lock(m_mutex);
    const auto it = m_places.find(key);
    return it == m_places.end() ? 0 : static_cast<int>(it->second.idle.size());
}

ConnectionTable::Place &ConnectionTable::place(std::string_view key)
{
    const auto it = m_places.find(key);
    return it != m_places.end() ? it->second : m_places[std::string(key)];
}

} // namespace damask
