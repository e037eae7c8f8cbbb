/// Deadlines of connections on the runtime clock. A thread of its own sleeps until the nearest one.
///
/// epoll's own time limit would not hear tests that advance the clock; a Condition does.
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

/// Safe from all threads. Calls the hook once when deadlines have passed, again only after takeExpired().
class DeadlineTimer
{
public:
    DeadlineTimer(Clock &clock, std::function<void()> expired); // hook: runs on the timer's thread
    ~DeadlineTimer();

    void                  set(uint64_t id, TimePoint deadline); // replaces an earlier one; Never takes it away
    std::vector<uint64_t> takeExpired();                        // those whose deadline has passed

private:
    using Entry = std::pair<TimePoint, uint64_t>;

    void run();

    Clock                                  &m_clock;
    std::function<void()>                   m_expired;
    RankedMutex                             m_mutex{LockRank::Server};
    Condition                               m_changed;
    std::set<Entry>                         m_entries;
    std::unordered_map<uint64_t, TimePoint> m_deadlines;
    bool                                    m_notified = false; // the hook was called and nothing taken since
    bool                                    m_closed = false;
    Thread                                  m_thread;
};

} // namespace damask
