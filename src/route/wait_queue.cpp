#include "route/wait_queue.h"

#include "base/check.h"

#include <algorithm>
#include <numeric>

namespace damask {

AcquireRequest Waiter::request() const
{
    AcquireRequest n;
    n.dataCentres = dataCentres;
    n.allowedRegions = allowedRegions;
    n.accountRegions = accountRegions;
    n.deadline = deadline;
    n.idempotent = idempotent;
    n.avoid = avoid;
    n.bodyBytes = bodyBytes;
    n.rank = rank;
    n.accountRank = accountRank;
    n.objective = objective;
    n.callerTimeLeft = callerTimeLeft;
    return n;
}

bool Waiter::restricted() const
{
    return !dataCentres.empty() || !avoid.empty() || boundToHome();
}

bool Waiter::boundToHome() const
{
    return !allowedRegions.empty() || !accountRegions.empty();
}

bool Waiter::reachesSameAs(const Waiter &other) const
{
    return allowedRegions == other.allowedRegions && accountRegions == other.accountRegions
           && dataCentres == other.dataCentres && avoid == other.avoid && idempotent == other.idempotent;
}

bool Waiter::isBefore(const Waiter &other) const
{
    if (accountRank != other.accountRank) {
        return accountRank < other.accountRank;
    }
    return rank != other.rank ? rank < other.rank : !late && other.late;
}

uint32_t fairShareBucket(const AcquireRequest &request)
{
    return CallerShares::bucket(request.account.empty() ? request.caller : request.account);
}

WaitQueue::WaitQueue(size_t limit)
    : m_limit(limit)
{
}

void WaitQueue::setLimit(size_t limit)
{
    m_limit = limit;
}

size_t WaitQueue::size() const
{
    return m_waiters.size();
}

bool WaitQueue::empty() const
{
    return m_waiters.empty();
}

/// Calls that wait for room in their home regions hold back none of other regions: otherwise one full region would
/// stop all kinds of request.
bool WaitQueue::holdsBack(const AcquireRequest &request, const std::function<bool(const Waiter &)> &competes) const
{
    return std::any_of(m_waiters.begin(), m_waiters.end(), [&](const Waiter &n) {
        return n.boundToHome() ? (std::ranges::equal(n.allowedRegions, request.allowedRegions)
                                  && std::ranges::equal(n.accountRegions, request.accountRegions))
                               : competes(n);
    });
}

Code WaitQueue::add(Waiter waiter, std::vector<ResolvedWait> &resolved)
{
    if (m_waiters.size() < m_limit) {
        m_waiters.push_back(std::move(waiter));
        return Code::Ok;
    }
    const int last = latestLeastUrgent();
    if (last >= 0 && waiter.isBefore(m_waiters[last])) {
        replace(last, Code::QueueFull, std::move(waiter), resolved);
        return Code::Ok;
    }
    const bool isLeastUrgent = last >= 0 && m_waiters[last].isBefore(waiter);
    if (isLeastUrgent && (waiter.byAccount || m_waiters[last].accountRank < waiter.accountRank)) {
        return Code::QueueFull;
    }
    const int heaviest = latestOfHighestUsage(waiter);
    if (heaviest >= 0 && m_waiters[heaviest].usageStep < waiter.usageStep) {
        return Code::FairShareExceeded;
    }
    if (heaviest >= 0 && m_waiters[heaviest].usageStep > waiter.usageStep) {
        replace(heaviest, Code::FairShareExceeded, std::move(waiter), resolved);
        return Code::Ok;
    }
    const int largest = latestOfLargestCaller(waiter);
    if (largest < 0 || m_waiters[largest].caller == waiter.caller) {
        return callers() > 1 ? Code::FairShareExceeded : Code::QueueFull;
    }
    if (countOf(m_waiters[largest].caller) <= countOf(waiter.caller) + 1) {
        return Code::QueueFull;
    }
    replace(largest, Code::FairShareExceeded, std::move(waiter), resolved);
    return Code::Ok;
}

/// Refuses the call at the position in favour of another one.
void WaitQueue::replace(int position, Code code, Waiter waiter, std::vector<ResolvedWait> &resolved)
{
    Waiter displaced = take(static_cast<size_t>(position));
    resolved.push_back({std::move(displaced.granted), fail(code)});
    m_waiters.push_back(std::move(waiter));
}

Waiter WaitQueue::take(size_t position)
{
    DAMASK_ASSERT(position < m_waiters.size(), "take only positions from grantOrder()");
    Waiter waiter = std::move(m_waiters[position]);
    m_waiters.erase(m_waiters.begin() + static_cast<std::ptrdiff_t>(position));
    return waiter;
}

int WaitQueue::positionOf(uint64_t id) const
{
    const auto it = std::find_if(m_waiters.begin(), m_waiters.end(), [id](const Waiter &n) { return n.id == id; });
    return it == m_waiters.end() ? -1 : static_cast<int>(it - m_waiters.begin());
}

size_t WaitQueue::countExpiringBy(TimePoint expiresAt) const
{
    const auto earlier = [expiresAt](const Waiter &n) {
        return n.expiresAt <= expiresAt;
    };
    return static_cast<size_t>(std::count_if(m_waiters.begin(), m_waiters.end(), earlier));
}

TimePoint WaitQueue::earliestExpiry() const
{
    TimePoint first = Never;
    for (const Waiter &it : m_waiters) {
        first = std::min(first, it.expiresAt);
    }
    return first;
}

void WaitQueue::refuseExpired(TimePoint now, std::vector<ResolvedWait> &resolved,
                              const std::function<void(const Waiter &)> &refused)
{
    for (size_t n = m_waiters.size(); n > 0; --n) {
        if (m_waiters[n - 1].expiresAt <= now) {
            Waiter waiter = take(n - 1);
            if (refused) {
                refused(waiter);
            }
            resolved.push_back({std::move(waiter.granted), fail(waiter.expiryCode)});
        }
    }
}

void WaitQueue::refuseIf(const std::function<bool(const Waiter &)> &test, Code code,
                         std::vector<ResolvedWait> &resolved)
{
    for (size_t n = m_waiters.size(); n > 0; --n) {
        if (test(m_waiters[n - 1])) {
            resolved.push_back({take(n - 1).granted, fail(code)});
        }
    }
}

void WaitQueue::refuseAll(Code code, std::vector<ResolvedWait> &resolved)
{
    for (Waiter &it : m_waiters) {
        resolved.push_back({std::move(it.granted), fail(code)});
    }
    m_waiters.clear();
}

std::vector<size_t> WaitQueue::grantOrder(const CallerShares &shares) const
{
    std::vector<size_t> positions(m_waiters.size());
    std::iota(positions.begin(), positions.end(), size_t{0});
    const auto before = [&](size_t left, size_t right) {
        const Waiter &a = m_waiters[left];
        const Waiter &b = m_waiters[right];
        if (a.accountRank != b.accountRank || a.rank != b.rank || a.late != b.late) {
            return a.isBefore(b);
        }
        if (a.usageStep != b.usageStep) {
            return a.usageStep < b.usageStep;
        }
        const uint32_t aShare = shares.inFlight(a.caller);
        const uint32_t bShare = shares.inFlight(b.caller);
        return aShare != bShare ? aShare < bShare : a.expiresAt < b.expiresAt;
    };
    std::stable_sort(positions.begin(), positions.end(), before);
    return positions;
}

const Waiter &WaitQueue::at(size_t position) const
{
    return m_waiters[position];
}

size_t WaitQueue::countOf(uint32_t caller) const
{
    return static_cast<size_t>(
        std::count_if(m_waiters.begin(), m_waiters.end(), [caller](const Waiter &n) { return n.caller == caller; }));
}

size_t WaitQueue::callers() const
{
    std::array<bool, CallerShares::Buckets> seen{};
    for (const Waiter &it : m_waiters) {
        seen[it.caller] = true;
    }
    return static_cast<size_t>(std::count(seen.begin(), seen.end(), true));
}

int WaitQueue::latestLeastUrgent() const
{
    int last = -1;
    for (size_t n = 0; n < m_waiters.size(); ++n) {
        if (last < 0 || !m_waiters[n].isBefore(m_waiters[last])) {
            last = static_cast<int>(n);
        }
    }
    return last;
}

int WaitQueue::latestOfHighestUsage(const Waiter &newcomer) const
{
    int best = -1;
    for (size_t n = 0; n < m_waiters.size(); ++n) {
        const Waiter &it = m_waiters[n];
        const bool sameUrgency = !it.isBefore(newcomer) && !newcomer.isBefore(it);
        if (sameUrgency && (best < 0 || it.usageStep >= m_waiters[best].usageStep)) {
            best = static_cast<int>(n);
        }
    }
    return best;
}

int WaitQueue::latestOfLargestCaller(const Waiter &newcomer) const
{
    int best = -1;
    size_t bestCount = 0;
    for (size_t n = 0; n < m_waiters.size(); ++n) {
        const bool goesFirst = newcomer.byAccount && m_waiters[n].isBefore(newcomer);
        if (goesFirst || m_waiters[n].usageStep < newcomer.usageStep) {
            continue;
        }
        const size_t count = countOf(m_waiters[n].caller);
        const bool later = best >= 0 && count == bestCount && m_waiters[n].expiresAt >= m_waiters[best].expiresAt;
        if (count > bestCount || later) {
            best = static_cast<int>(n);
            bestCount = count;
        }
    }
    return best;
}

} // namespace damask
