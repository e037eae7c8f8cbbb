/// The holder's side of a lease: until when it may act, by its own clock.
///
/// Use:
///     const TimePoint asked = clock.now();      // before the call leaves
///     lease.granted(id, asked, timeToLive);     // when its answer is in
///     if (const auto held = lease.check(clock.now()); !held) { return held; }   // right before each act
/// The deadline counts from before the call left, on a clock that runs through a pause, so the holder always
/// believes that the lease ends before the store does.
#pragma once

#include "base/result.h"
#include "base/time.h"

#include <cstdint>

namespace damask {

struct LeaseOptions {
    Duration margin = std::chrono::milliseconds(500); // kept free before the deadline for an act to reach the store
    int      renewals = 3;                            // tries to renew in one time to live
};

/// Pure; the caller passes the time and holds any lock.
class LeaseHolder
{
public:
    explicit LeaseHolder(const LeaseOptions &options = {});

    void         granted(uint64_t id, TimePoint askedAt, Duration timeToLive); // or renewed, with the same id
    void         lost();                                                       // the store no longer knows it
    Result<void> check(TimePoint now) const;                                   // LeaseLapsed
    bool         renewalDue(TimePoint now) const;                              // also when there is none yet
    bool         lapsed(TimePoint now) const;                                  // there was one, and its time is over
    uint64_t     id() const;                                                   // 0: none

private:
    LeaseOptions m_options;
    uint64_t     m_id = 0;
    TimePoint    m_deadline;
    TimePoint    m_renewAt;
};

} // namespace damask
