// Admission and the queue of a service: which calls wait for a slot, which are refused and who goes first.
#include "route/service_table.h"

#include <algorithm>
#include <utility>

namespace damask {

/// Whether the caller's first attempt was so long ago that no answer can be within the objective.
bool ServiceTable::isLate(const AcquireRequest &request) const
{
    const auto it = m_deadlines.find(request.rank);
    return it != m_deadlines.end() && request.objective > Duration(0) && request.callerTimeLeft > Duration(0)
           && it->second.minAge(request.callerTimeLeft) >= request.objective;
}

Code ServiceTable::arrive(const AcquireRequest &request, TimePoint now)
{
    if (request.onlyFree) {
        if (!m_queue.empty()) {
            return Code::QueueFull;
        }
        return m_shortage.active(now) ? Code::ObjectiveMissed : admit(request, now);
    }
    const bool known = m_deadlines.contains(request.rank) || m_deadlines.size() < MaxRanks;
    if (known && request.callerTimeLeft > Duration(0) && !m_shortage.active(now)) {
        m_deadlines[request.rank].record(request.callerTimeLeft);
    }
    const Code code = admit(request, now);
    const bool makesWay =
        code == Code::Ok && m_shortage.holdsBack({request.accountRank, request.rank}, now) && isLate(request);
    return makesWay ? Code::ObjectiveMissed : code;
}

Code ServiceTable::checkPlacement(const AcquireRequest &request) const
{
    if (m_retired) {
        return Code::NoSuchService;
    }
    if (lacksHome(request)) {
        return Code::NoHomeTarget;
    }
    return m_regions.empty() ? Code::NoTarget : Code::Ok; // none is configured, or all are evacuated
}

Code ServiceTable::admit(const AcquireRequest &request, TimePoint now) const
{
    if (m_retired) {
        return Code::NoSuchService;
    }
    if (lacksHome(request)) {
        return Code::NoHomeTarget;
    }
    if (request.deadline == Never) {
        return Code::Ok;
    }
    const Duration left = request.deadline - now;
    return left <= Duration(0) || left < m_expected.lowQuantile(now) ? Code::DeadlineTooShort : Code::Ok;
}

/// The longest time that a call may be queued. Bounded by a share of its latency objective: after that the answer would
/// be too late anyway, and an early refusal lets the caller try elsewhere.
Duration ServiceTable::queueWait(const AcquireRequest &request) const
{
    if (request.objective <= Duration(0)) {
        return m_service.queueWait;
    }
    return std::min(m_service.queueWait,
                    std::chrono::duration_cast<Duration>(request.objective * m_options.queueShare));
}

Code ServiceTable::wait(const AcquireRequest &request, uint64_t id, GrantHook granted, TimePoint now,
                        std::vector<ResolvedWait> &resolved)
{
    Waiter waiter;
    waiter.id = id;
    waiter.caller = fairShareBucket(request);
    waiter.byAccount = !request.account.empty();
    waiter.accountRank = request.accountRank;
    waiter.usageStep = usageStep(request.accountUsage);
    waiter.dataCentres.assign(request.dataCentres.begin(), request.dataCentres.end());
    waiter.allowedRegions.assign(request.allowedRegions.begin(), request.allowedRegions.end());
    waiter.accountRegions.assign(request.accountRegions.begin(), request.accountRegions.end());
    waiter.avoid = request.avoid;
    waiter.deadline = request.deadline;
    waiter.arrivedAt = now;
    waiter.idempotent = request.idempotent;
    waiter.bodyBytes = request.bodyBytes;
    waiter.rank = request.rank;
    waiter.objective = request.objective;
    waiter.callerTimeLeft = request.callerTimeLeft;
    waiter.late = isLate(request);
    waiter.granted = std::move(granted);
    waiter.expiresAt = now + queueWait(request);
    const TimePoint latest = request.deadline == Never ? Never : request.deadline - m_expected.lowQuantile(now);
    if (latest < waiter.expiresAt) {
        waiter.expiresAt = latest;
        waiter.expiryCode = Code::DeadlineTooShort;
    }
    const bool late = waiter.late;
    const Code code = m_queue.add(std::move(waiter), resolved);
    if (code != Code::Ok && !late) {
        m_shortage.record({request.accountRank, request.rank}, request.objective, now);
    }
    return code;
}

void ServiceTable::cancel(uint64_t id, std::vector<ResolvedWait> &resolved)
{
    const int position = m_queue.positionOf(id);
    if (position >= 0) {
        Waiter waiter = m_queue.take(static_cast<size_t>(position));
        resolved.push_back({std::move(waiter.granted), fail(Code::Cancelled)});
    }
}

TimePoint ServiceTable::processQueue(TimePoint now, std::vector<ResolvedWait> &resolved)
{
    m_queue.refuseExpired(now, resolved, [&](const Waiter &it) {
        if (!it.late) {
            m_shortage.record({it.accountRank, it.rank}, it.objective, now);
        }
    });
    if (std::exchange(m_placementChanged, false)) {
        m_queue.refuseIf([this](const Waiter &it) { return lacksHome(it.request()); }, Code::NoHomeTarget, resolved);
    }
    while (!m_queue.empty() && grantOne(now, resolved)) { }
    m_replacementCredit = 0;
    return m_queue.empty() ? Never : std::min(m_queue.earliestExpiry(), now + m_options.queuePollInterval);
}

/// Whether a waiter without home regions may use the targets that a request with this reach is bound to. While the
/// budget between regions is too low for the waiter, it can't use those of other regions.
bool ServiceTable::competesFor(const HomeReach &reach, const Waiter &waiter, TimePoint now)
{
    return !reach.mustLeave() || m_regionBudget.allows(waiter.bodyBytes, now);
}

bool ServiceTable::holdsBack(const AcquireRequest &request, TimePoint now)
{
    const HomeReach reach = reachOf(request);
    return m_queue.holdsBack(request, [&](const Waiter &it) { return competesFor(reach, it, now); });
}

/// Of the waiters that the same targets may take, only the first is looked at: without room for it there is none for
/// the others, and each comparison may look at all targets. Behind a waiter without restrictions, only those are looked
/// at that are bound to targets which it can't use.
bool ServiceTable::grantOne(TimePoint now, std::vector<ResolvedWait> &resolved)
{
    m_withoutRoom.clear();
    const Waiter *unrestricted = nullptr; // the first that found no room
    for (const size_t position : m_queue.grantOrder(m_shares)) {
        const Waiter &waiter = m_queue.at(position);
        if (unrestricted != nullptr && competesFor(reachOf(waiter.request()), *unrestricted, now)) {
            continue;
        }
        if (std::any_of(m_withoutRoom.begin(), m_withoutRoom.end(),
                        [&](size_t n) { return waiter.reachesSameAs(m_queue.at(n)); })) {
            continue;
        }
        const Duration waited = now - waiter.arrivedAt;
        const Choice choice = choose(waiter.request(), now, waited);
        if (choice.target == nullptr && choice.code == Code::Ok) {
            m_withoutRoom.push_back(position);
            unrestricted = waiter.restricted() ? unrestricted : &waiter;
            continue;
        }
        Waiter taken = m_queue.take(position);
        if (choice.target == nullptr) {
            resolved.push_back({std::move(taken.granted), fail(choice.code)});
        } else {
            Permit permit = grant(*choice.target, taken.request(), taken.caller, now, waited);
            resolved.push_back({std::move(taken.granted), std::move(permit)});
        }
        return true;
    }
    return false;
}

} // namespace damask
