#include "member/pause_guard.h"

namespace damask {

PauseGuard::PauseGuard(Duration limit, TimePoint now)
    : m_limit(limit)
    , m_tickedAt(now.time_since_epoch().count())
{
}

void PauseGuard::tick(TimePoint now)
{
    detectPause(now);
    m_tickedAt = now.time_since_epoch().count();
}

bool PauseGuard::mayAct(TimePoint now)
{
    detectPause(now);
    return m_confirmed == m_pauses;
}

uint64_t PauseGuard::pauses() const
{
    return m_pauses;
}

void PauseGuard::confirm(uint64_t pauseCount)
{
    uint64_t confirmed = m_confirmed;
    while (confirmed < pauseCount && !m_confirmed.compare_exchange_weak(confirmed, pauseCount)) { }
}

/// Counts each gap once: only the thread whose exchange of the tick time succeeds increments the counter.
void PauseGuard::detectPause(TimePoint now)
{
    const int64_t at = now.time_since_epoch().count();
    int64_t ticked = m_tickedAt;
    while (at - ticked > m_limit.count()) {
        if (m_tickedAt.compare_exchange_weak(ticked, at)) {
            ++m_pauses;
            return;
        }
    }
}

} // namespace damask
