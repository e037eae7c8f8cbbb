/// Detects that this process was paused, and blocks its actions until it has learnt again which configuration is in
/// force.
///
/// Other instances may proceed without an instance once its lease has expired and the instance list no longer shows
/// it, and may then accept a ticket that it has never received. So a process that resumes after a pause has to ask
/// before it acts.
///
/// Use: call tick() often from one thread, mayAct() right before each action, and confirm() once the answer has
/// arrived.
///
/// Pitfall: the limit must be well below the lease's time to live.
#pragma once

#include "base/time.h"

#include <atomic>
#include <cstdint>

namespace damask {

/// Safe from all threads.
class PauseGuard
{
public:
    PauseGuard(Duration limit, TimePoint now); // limit: a longer gap counts as a pause

    void     tick(TimePoint now);          // records that this process runs
    bool     mayAct(TimePoint now);        // false after a pause, until confirm()
    uint64_t pauses() const;               // detected so far; to be passed with a request and then to confirm()
    void     confirm(uint64_t pauseCount); // without effect when another pause was detected since

private:
    void detectPause(TimePoint now);

    Duration              m_limit;
    std::atomic<int64_t>  m_tickedAt;     // time of the last tick, ns
    std::atomic<uint64_t> m_pauses{0};    // detected
    std::atomic<uint64_t> m_confirmed{0}; // number of the last confirmed pause
};

} // namespace damask
