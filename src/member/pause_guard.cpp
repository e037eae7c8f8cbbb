#include "member/pause_guard.h"

namespace damask {

PauseGuard::PauseGuard(Duration limit, TimePoint now)
    : m_limit(limit)
    , m_tickedAt(now.time_since_epoch().count())
{
}

void PauseGuard::tick(TimePoint now)
{
    notice(now);
    m_tickedAt = now.time_since_epoch().count();
}

bool PauseGuard::mayAct(TimePoint now)
{
    notice(now);
    return m_confirmed == m_pauses;
}

uint64_t PauseGuard::pauses() const
{
    return m_pauses;
}

void PauseGuard::confirm(uint64_t pausesThen)
{
    uint64_t confirmed = m_confirmed;
    while (confirmed < pausesThen && !m_confirmed.compare_exchange_weak(confirmed, pausesThen)) { }
}

/// Counts a gap once: whoever moves the time of the last tick on is the one that counts it.
void PauseGuard::notice(TimePoint now)
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
