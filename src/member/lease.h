/// The holder's side of a lease: until when the holder may act, by its own clock.
///
/// Use:
///     const TimePoint requestedAt = clock.now();   // before sending the request
///     lease.granted(id, requestedAt, timeToLive);  // on its answer
///     if (const auto held = lease.check(clock.now()); !held) { return held; }   // right before each action
///
/// The deadline counts from before the request was sent, on a clock that keeps running while the process is paused. So
/// the lease always expires for the holder before it expires in the store.
#pragma once

#include "base/result.h"
#include "base/time.h"

#include <cstdint>

namespace damask {

struct LeaseOptions {
    Duration margin = std::chrono::milliseconds(500); // before the deadline, for an action to reach the store
    int      renewals = 3;                            // renewal attempts per time to live
};

/// Pure; the caller passes the time and holds any lock.
class LeaseHolder
{
public:
    explicit LeaseHolder(const LeaseOptions &options = {});

    void         granted(uint64_t id, TimePoint requestedAt, Duration timeToLive); // also on renewal, with the same id
    void         lost();                                                           // the store does not know the lease
    Result<void> check(TimePoint now) const;                                       // LeaseLapsed unless held
    bool         renewalDue(TimePoint now) const;                                  // also without a lease
    bool         expired(TimePoint now) const; // a lease was granted and its time is over
    uint64_t     id() const;                   // 0: none

private:
    LeaseOptions m_options;
    uint64_t     m_id = 0;
    TimePoint    m_deadline;
    TimePoint    m_renewAt;
};

} // namespace damask
