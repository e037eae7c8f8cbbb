#include "route/wait_queue.h"

#include "base/check.h"

#include <algorithm>
#include <numeric>

namespace damask {

AcquireRequest Waiter::request() const
{
    AcquireRequest n;
    n.dataCentres = dataCentres;
    n.deadline = deadline;
    n.idempotent = idempotent;
    n.avoid = avoid;
    n.bodyBytes = bodyBytes;
    n.rank = rank;
    return n;
}

bool Waiter::picky() const
{
    return !dataCentres.empty() || !avoid.empty();
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

Code WaitQueue::add(Waiter waiter, std::vector<Decided> &decided)
{
    if (m_waiters.size() < m_limit) {
        m_waiters.push_back(std::move(waiter));
        return Code::Ok;
    }
    const int last = leastUrgent();
    if (last >= 0 && m_waiters[last].rank > waiter.rank) {
        Waiter displaced = take(last);
        decided.push_back({std::move(displaced.granted), fail(Code::QueueFull)});
        m_waiters.push_back(std::move(waiter));
        return Code::Ok;
    }
    const int most = latestOfLargest();
    if (most < 0 || m_waiters[most].caller == waiter.caller) {
        return callers() > 1 ? Code::FairShareExceeded : Code::QueueFull;
    }
    if (countOf(m_waiters[most].caller) <= countOf(waiter.caller) + 1) {
        return Code::QueueFull;
    }
    Waiter displaced = take(most);
    decided.push_back({std::move(displaced.granted), fail(Code::FairShareExceeded)});
    m_waiters.push_back(std::move(waiter));
    return Code::Ok;
}

Waiter WaitQueue::take(size_t position)
{
    DAMASK_ASSERT(position < m_waiters.size(), "take only what order() named");
    Waiter waiter = std::move(m_waiters[position]);
    m_waiters.erase(m_waiters.begin() + static_cast<std::ptrdiff_t>(position));
    return waiter;
}

int WaitQueue::positionOf(uint64_t id) const
{
    const auto it = std::find_if(m_waiters.begin(), m_waiters.end(), [id](const Waiter &n) { return n.id == id; });
    return it == m_waiters.end() ? -1 : static_cast<int>(it - m_waiters.begin());
}

size_t WaitQueue::ahead(TimePoint giveUpAt) const
{
    const auto earlier = [giveUpAt](const Waiter &n) {
        return n.giveUpAt <= giveUpAt;
    };
    return static_cast<size_t>(std::count_if(m_waiters.begin(), m_waiters.end(), earlier));
}

TimePoint WaitQueue::firstEnd() const
{
    TimePoint first = Never;
    for (const Waiter &it : m_waiters) {
        first = std::min(first, it.giveUpAt);
    }
    return first;
}

void WaitQueue::refuseDue(TimePoint now, std::vector<Decided> &decided)
{
    for (size_t n = m_waiters.size(); n > 0; --n) {
        if (m_waiters[n - 1].giveUpAt <= now) {
            Waiter waiter = take(n - 1);
            decided.push_back({std::move(waiter.granted), fail(waiter.atEnd)});
        }
    }
}

void WaitQueue::refuseAll(Code code, std::vector<Decided> &decided)
{
    for (Waiter &it : m_waiters) {
        decided.push_back({std::move(it.granted), fail(code)});
    }
    m_waiters.clear();
}

std::vector<size_t> WaitQueue::order(const CallerShares &shares) const
{
    std::vector<size_t> positions(m_waiters.size());
    std::iota(positions.begin(), positions.end(), size_t{0});
    const auto before = [&](size_t left, size_t right) {
        const Waiter &a = m_waiters[left];
        const Waiter &b = m_waiters[right];
        if (a.rank != b.rank) {
            return a.rank < b.rank;
        }
        const uint32_t aShare = shares.inFlight(a.caller);
        const uint32_t bShare = shares.inFlight(b.caller);
        return aShare != bShare ? aShare < bShare : a.giveUpAt < b.giveUpAt;
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

int WaitQueue::leastUrgent() const
{
    int last = -1;
    for (size_t n = 0; n < m_waiters.size(); ++n) {
        if (last < 0 || m_waiters[n].rank >= m_waiters[last].rank) {
            last = static_cast<int>(n);
        }
    }
    return last;
}

int WaitQueue::latestOfLargest() const
{
    int best = -1;
    size_t bestCount = 0;
    for (size_t n = 0; n < m_waiters.size(); ++n) {
        const size_t count = countOf(m_waiters[n].caller);
        const bool later = best >= 0 && count == bestCount && m_waiters[n].giveUpAt >= m_waiters[best].giveUpAt;
        if (count > bestCount || later) {
            best = static_cast<int>(n);
            bestCount = count;
        }
    }
    return best;
}

} // namespace damask
