/// Notices that this process stood still, and holds it back until it has heard anew what is in force.
///
/// Others may pass an instance over once its lease has lapsed and the instance list no longer shows it; a ticket may
/// then be accepted that it never heard of. So a process that wakes from a pause asks first and acts after.
/// Use: tick() often from one thread; mayAct() right before each act; confirm() once the answer has come.
/// Pitfall: the limit has to be well below the time to live of the lease.
#pragma once

#include "base/time.h"

#include <atomic>
#include <cstdint>

namespace damask {

/// Safe from all threads.
class PauseGuard
{
public:
    PauseGuard(Duration limit, TimePoint now); // limit: standing still for longer counts as a pause

    void     tick(TimePoint now);          // this process runs
    bool     mayAct(TimePoint now);        // false from a pause until it is confirmed
    uint64_t pauses() const;               // noticed so far: what is asked for after a pause carries this number
    void     confirm(uint64_t pauseCount); // heard what is in force; does nothing when another pause came since

private:
    void detectPause(TimePoint now);

    Duration              m_limit;
    std::atomic<int64_t>  m_tickedAt;     // ns
    std::atomic<uint64_t> m_pauses{0};    // noticed
    std::atomic<uint64_t> m_confirmed{0}; // of them, confirmed
};

} // namespace damask
