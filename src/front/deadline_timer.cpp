#include "front/deadline_timer.h"

#include <iterator>

namespace damask {

DeadlineTimer::DeadlineTimer(Clock &clock, std::function<void()> expired)
    : m_clock(clock)
    , m_expired(std::move(expired))
    , m_changed(clock)
    , m_thread("front-timer", [this] { run(); })
{
}

DeadlineTimer::~DeadlineTimer()
{
    {
        LockGuard lock(m_mutex);
        m_closed = true;
        m_changed.notifyAll();
    }
    m_thread.join();
}

void DeadlineTimer::set(uint64_t id, TimePoint deadline)
{
    LockGuard lock(m_mutex);
    const auto it = m_deadlines.find(id);
    if (it != m_deadlines.end()) {
        m_entries.erase({it->second, id});
        m_deadlines.erase(it);
    }
    if (deadline == Never) {
        return;
    }
    m_deadlines.emplace(id, deadline);
    const auto [entry, added] = m_entries.emplace(deadline, id);
    if (entry == m_entries.begin()) {
        m_changed.notifyAll();
    }
}

std::vector<uint64_t> DeadlineTimer::takeExpired()
{
    LockGuard lock(m_mutex);
    const TimePoint now = m_clock.now();
    std::vector<uint64_t> ids;
    while (!m_entries.empty() && m_entries.begin()->first <= now) {
        ids.push_back(m_entries.begin()->second);
        m_deadlines.erase(m_entries.begin()->second);
        m_entries.erase(m_entries.begin());
    }
    m_notified = false;
    m_changed.notifyAll();
    return ids;
}

void DeadlineTimer::run()
{
    while (true) {
        {
            LockGuard lock(m_mutex);
            while (!m_closed && (m_notified || m_entries.empty() || m_entries.begin()->first > m_clock.now())) {
                m_changed.waitUntil(lock, m_notified || m_entries.empty() ? Never : m_entries.begin()->first);
            }
            if (m_closed) {
                return;
            }
            m_notified = true;
        }
        m_expired();
    }
}

} // namespace damask
