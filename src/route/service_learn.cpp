// What a service's table learns: from ended calls, from news, and what it tells of it.
#include "route/service_table.h"

#include "base/check.h"

#include <algorithm>

namespace damask {

namespace {

constexpr size_t LeastShareIn = 3;                               // at most one target in so many is ejected
constexpr float OverFullTimes = 1.5F;                            // the limit of calls in flight
constexpr Duration UsualOver = std::chrono::milliseconds(500);   // time over which the usual load is averaged
constexpr Duration FreshReport = std::chrono::milliseconds(100); // age of a report that tells why a target refuses
constexpr Duration FirstReport = std::chrono::milliseconds(50);  // time that a target's first report counts for
constexpr double MostSlower = 2;     // times the usual answer time, as one answer counts for trust in reports
constexpr double MostShare = 0.2;    // of one report in the usual load
constexpr float FleetWeight = 0.02F; // of one report or answer in the fleet's average
constexpr Duration LeavingHolds = std::chrono::seconds(60);      // news of leaving, unless repeated
constexpr Duration SilentHolds = std::chrono::milliseconds(500); // after which a silent target may be asked again
constexpr float SlowdownWeight = 0.02F;                          // of one report in the usual slowdown
constexpr int FirstServerError = 500;                            // HTTP status

/// Whether a target says that it has far more than it should: calls in flight must become fewer.
bool overFull(const TargetEntry &entry, const PermitReport &report)
{
    const float most = OverFullTimes * entry.load.limit(entry.target.slots);
    return report.load && static_cast<float>(report.load->inFlight) > most;
}

/// Whether the target told a moment ago that it has a free slot: then it refuses for another reason than want of room.
bool saysRoom(const TargetEntry &entry, const PermitReport &report, TimePoint now)
{
    if (report.load) {
        return report.load->inFlight < entry.target.slots;
    }
    const bool fresh = entry.load.lastReport() >= 0 && now - entry.load.reportedAt() < FreshReport;
    return fresh && entry.load.lastReport() < entry.target.slots;
}

} // namespace

void ServiceTable::finish(const Permit &permit, const PermitReport &report, TimePoint now)
{
    TargetEntry *entry = find(permit.address->name);
    DAMASK_ASSERT(entry != nullptr, "finish each permit exactly once");
    const CallInFlight call = entry->load.ended(permit.id);
    m_shares.ended(call.caller);
    --m_inFlight;
    DAMASK_ASSERT(m_inFlight >= 0, "calls in flight are never negative");
    learn(*entry, permit, report, now);
    if (!entry->configured && entry->load.inFlight() == 0) {
        dropGone();
    }
}

void ServiceTable::learn(TargetEntry &entry, const Permit &permit, const PermitReport &report, TimePoint now)
{
    if (report.load) {
        learnReport(entry, *report.load, now - entry.linkDelay / 2);
        m_heardAt = now;
    }
    const bool room = !report.load || report.load->inFlight < entry.target.slots;
    if (report.code == Code::TargetReplaced) {
        entry.leavingUntil = now + LeavingHolds; // until its registry names the process that is there now
        entry.health.trialEnded();
        return;
    }
    switch (report.end) {
    case AttemptEnd::Answered:
        m_heardAt = now;
        m_credit = overFull(entry, report) ? 0 : 1;
        if (report.status >= FirstServerError) {
            learnFailure(entry, now, "failure");
        } else {
            learnAnswer(entry, permit, now);
        }
        break;
    case AttemptEnd::Refused:
        if (!saysRoom(entry, report, now)) {
            entry.load.refused(entry.target.slots);
        }
        if (room && !entry.reportsDrain) {
            learnFailure(entry, now, "failure");
        } else {
            entry.health.trialEnded();
        }
        break;
    case AttemptEnd::NotSent:
    case AttemptEnd::Lost:
        if (report.code == Code::Cancelled || report.code == Code::TargetShares) {
            entry.health.trialEnded();
        } else {
            learnFailure(entry, now, "failure");
        }
        break;
    }
}

void ServiceTable::learnAnswer(TargetEntry &entry, const Permit &permit, TimePoint now)
{
    const Duration whole = now - permit.grantedAt;
    const Duration own = std::max(whole - entry.linkDelay, Duration(0));
    const auto sample = static_cast<float>(toMilliseconds(own)) / entry.load.lastSlowdown();
    if (entry.load.lastReport() >= 0 && m_fleetTime > 0) {
        const double slower = std::clamp(static_cast<double>(sample / m_fleetTime) - 1, -1.0, MostSlower);
        m_trust.learn(entry.load.others() - entry.load.meanOthers(), slower);
    }
    m_expected.answered(whole, now);
    m_fleetTime = m_fleetTime == 0 ? sample : m_fleetTime + FleetWeight * (sample - m_fleetTime);
    entry.load.answered(fromMilliseconds(sample));
    entry.load.succeeded(entry.target.slots);
    learnGood(entry, now, "answer");
}

void ServiceTable::learnGood(TargetEntry &entry, TimePoint now, std::string_view reason)
{
    const bool wasOut = entry.health.ejected();
    entry.health.good(now);
    if (!wasOut || entry.health.ejected()) {
        return;
    }
    --m_ejected;
    if (m_hooks.healthChanged) {
        m_hooks.healthChanged({entry.address->name, false, entry.health.failing(), reason});
    }
}

void ServiceTable::learnFailure(TargetEntry &entry, TimePoint now, std::string_view reason)
{
    const bool wasOut = entry.health.ejected();
    if (!entry.health.bad()) {
        return;
    }
    if (!wasOut && (m_ejected + 1) * LeastShareIn > m_configured) {
        return;
    }
    entry.health.eject(now);
    m_ejected += wasOut ? 0 : 1;
    if (!wasOut && m_hooks.healthChanged) {
        m_hooks.healthChanged({entry.address->name, true, entry.health.failing(), reason});
    }
    DAMASK_ASSERT(m_ejected * LeastShareIn <= m_configured || wasOut, "a third of the targets is out at most");
}

void ServiceTable::learnReport(TargetEntry &entry, const LoadReport &report, TimePoint takenAt)
{
    // A busy target is heard less often; each report counts for the time since the one before it.
    const bool first = entry.load.lastReport() < 0;
    const Duration since = first ? FirstReport : takenAt - entry.load.reportedAt();
    entry.load.reported(report, takenAt, m_usualOthers);
    if (report.slowdown > 0) {
        m_usualSlowdown += SlowdownWeight * (static_cast<float>(report.slowdown) - m_usualSlowdown);
    }
    entry.reportsDrain = report.draining;
    const double share = toSeconds(since) / (toSeconds(UsualOver) * static_cast<double>(m_targets.size()));
    m_usualOthers += std::clamp(share, 0.0, MostShare) * (entry.load.others() - m_usualOthers);
    const auto it = std::find_if(m_targets.begin(), m_targets.end(), [&](const auto &n) { return n.get() == &entry; });
    remember(static_cast<size_t>(it - m_targets.begin()));
}

void ServiceTable::remember(size_t index)
{
    if (std::find(m_recent.begin(), m_recent.end(), index) != m_recent.end()) {
        return;
    }
    m_recent[m_recentNext] = index;
    m_recentNext = (m_recentNext + 1) % RecentTargets;
}

void ServiceTable::absorb(const LoadNews &news, TimePoint now)
{
    TargetEntry *entry = find(news.target);
    if (entry == nullptr) {
        return;
    }
    if (news.silent) {
        entry->silentUntil = now + SilentHolds;
        learnFailure(*entry, now, "question");
        return;
    }
    if (news.asked) {
        learnAsked(*entry, news, now);
    }
    if (news.leaving) {
        entry->leavingUntil = std::max(entry->leavingUntil, now - news.age + LeavingHolds);
    }
    const TimePoint takenAt = now - news.age;
    if (news.report.slots > 0 && (entry->load.lastReport() < 0 || takenAt > entry->load.reportedAt())) {
        learnReport(*entry, news.report, takenAt);
    }
}

/// A target that answers when asked comes back from an ejection without any call at stake.
void ServiceTable::learnAsked(TargetEntry &entry, const LoadNews &news, TimePoint now)
{
    entry.silentUntil = {};
    entry.unhealthy = news.report.unhealthy;
    if (news.report.unhealthy || entry.health.state(now) != TargetHealth::State::Trial) {
        return;
    }
    learnGood(entry, now, "question");
}

void ServiceTable::appendNews(TimePoint now, std::vector<LoadNews> &news) const
{
    for (const auto &it : m_targets) {
        if (!it->configured || it->load.lastReport() < 0) {
            continue;
        }
        LoadNews n;
        n.target = it->address->name;
        n.report = {it->load.lastReport(), it->target.slots, it->reportsDrain};
        n.age = now - it->load.reportedAt();
        n.leaving = now < it->leavingUntil;
        news.push_back(std::move(n));
    }
}

void ServiceTable::appendStatus(TimePoint now, std::vector<TargetStatus> &status) const
{
    for (const auto &it : m_targets) {
        if (!it->configured) {
            continue;
        }
        const bool reported = it->load.lastReport() >= 0;
        TargetStatus n;
        n.name = it->address->name;
        n.dataCentre = it->target.dataCentre;
        n.inFlight = it->load.inFlight();
        n.estimate = it->load.estimate(now, aging());
        n.reportAge = reported ? now - it->load.reportedAt() : Duration(0);
        n.reported = reported;
        n.draining = draining(*it, now);
        n.ejected = it->health.ejected();
        n.oldestCall = it->load.oldestCall(now);
        n.typicalTime = fromMilliseconds(it->load.typicalTime());
        status.push_back(std::move(n));
    }
}

} // namespace damask
