/// Deadlines of connections on the runtime clock. A dedicated thread sleeps until the earliest one.
///
/// The timeout of epoll_wait() would not notice a test that advances the clock; a Condition does.
#pragma once

#include "base/clock.h"
#include "base/lock.h"
#include "base/thread.h"

#include <cstdint>
#include <functional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace damask {

/// Thread-safe. Calls the hook once when deadlines have expired, and again only after takeExpired().
class DeadlineTimer
{
public:
    DeadlineTimer(Clock &clock, std::function<void()> expired); // the hook runs on the timer's thread
    ~DeadlineTimer();

    void                  set(uint64_t id, TimePoint deadline); // replaces the previous one; Never removes it
    std::vector<uint64_t> takeExpired();                        // ids whose deadline has expired

private:
    using Entry = std::pair<TimePoint, uint64_t>;

    void run();

    Clock                                  &m_clock;
    std::function<void()>                   m_expired;
    RankedMutex                             m_mutex{LockRank::Timer};
    Condition                               m_changed;
    std::set<Entry>                         m_entries;
    std::unordered_map<uint64_t, TimePoint> m_deadlines;
    bool                                    m_notified = false; // hook called, takeExpired() not yet called
    bool                                    m_closed = false;
    Thread                                  m_thread;
};

} // namespace damask
