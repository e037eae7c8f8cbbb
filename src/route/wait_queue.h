/// The bounded queue of calls that wait in this instance for a slot of one service. Ordered by the rank of the client
/// account, then that of the rule, then calls that can meet their objective before those that are late already, then by
/// fair share, then by expiry. The fair share is decided by what accounts used of their quotas lately (caller_share.h),
/// then by the calls that each account, or caller without one, has in flight.
///
/// When the queue is full, the least urgent call gives way, then that of the account with the highest usage, then that
/// of the caller with most calls in the queue. Refused calls give their quota back, so the usage of an account that
/// gets no slots falls, and its calls get their turn.
///
/// Not thread-safe: the caller holds the lock of the service, passes the time and runs the hooks after unlocking.
#pragma once

#include "base/time.h"
#include "route/balancer.h"
#include "route/caller_share.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace damask {

/// One queued call. Copies what its request only refers to.
struct Waiter {
    uint64_t                 id = 0;
    uint32_t                 caller = 0;        // bucket of CallerShares, as fairShareBucket()
    bool                     byAccount = false; // the caller is a client account
    int                      accountRank = 0;   // compared before rank
    int                      usageStep = 0;     // as usageStep()
    std::vector<std::string> dataCentres;
    std::vector<std::string> allowedRegions;
    std::vector<std::string> accountRegions;
    std::string              avoid;
    TimePoint                deadline = Never;  // of the call
    TimePoint                expiresAt = Never; // refused with expiryCode if not granted by then
    Code                     expiryCode = Code::QueueTimeout;
    TimePoint                arrivedAt;
    bool                     idempotent = false;
    int                      rank = 0;     // 0 is the most urgent
    bool                     late = false; // can no longer meet its objective
    Duration                 objective{0};
    Duration                 callerTimeLeft{0}; // on arrival
    size_t                   bodyBytes = 0;
    GrantHook                granted;

    AcquireRequest request() const;                          // refers to this waiter
    bool           restricted() const;                       // only some targets may take the call
    bool           isBefore(const Waiter &other) const;      // by ranks and lateness
    bool           boundToHome() const;                      // has home regions
    bool           reachesSameAs(const Waiter &other) const; // the same targets may take both calls
};

/// Bucket of the client account of a request, or of its caller if it has none.
uint32_t fairShareBucket(const AcquireRequest &request);

/// A waiter that left the queue and its result. The hook runs after the lock is released.
struct ResolvedWait {
    GrantHook      granted;
    Result<Permit> result;
};

class WaitQueue
{
public:
    explicit WaitQueue(size_t limit = 0);

    void   setLimit(size_t limit);
    size_t size() const;
    bool   empty() const;
    /// Whether a queued call competes with the request for the same targets. `competes` decides for calls without home
    /// regions.
    bool holdsBack(const AcquireRequest &request, const std::function<bool(const Waiter &)> &competes) const;

    Code      add(Waiter waiter, std::vector<ResolvedWait> &resolved); // Ok, QueueFull or FairShareExceeded
    Waiter    take(size_t position);                                   // removes it
    int       positionOf(uint64_t id) const;                           // -1: not found
    size_t    countExpiringBy(TimePoint expiresAt) const;              // waiters with that expiry or an earlier one
    TimePoint earliestExpiry() const;                                  // Never when empty
    void      refuseExpired(TimePoint now, std::vector<ResolvedWait> &resolved,
                            const std::function<void(const Waiter &)> &refused = {});
    void      refuseIf(const std::function<bool(const Waiter &)> &test, Code code, std::vector<ResolvedWait> &resolved);
    void      refuseAll(Code code, std::vector<ResolvedWait> &resolved);

    std::vector<size_t> grantOrder(const CallerShares &shares) const; // positions, next to be granted first
    const Waiter       &at(size_t position) const;

private:
    size_t countOf(uint32_t caller) const;
    size_t callers() const;
    int    latestOfLargestCaller(const Waiter &newcomer) const; // that may give way to it; -1: none
    int    latestOfHighestUsage(const Waiter &newcomer) const;  // of the same urgency; -1: none
    int    latestLeastUrgent() const;                           // the last of them; -1 when empty
    void   replace(int position, Code code, Waiter waiter, std::vector<ResolvedWait> &resolved);

    size_t              m_limit;
    std::vector<Waiter> m_waiters;
};

} // namespace damask
