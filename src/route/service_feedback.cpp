// Updates of a ServiceTable from finished calls and load updates, and the updates and status that it returns.
#include "route/service_table.h"

#include "base/check.h"

#include <algorithm>

namespace damask {

namespace {

constexpr size_t EjectedOneIn = 3;                                         // at most one target in this many is ejected
constexpr float OverloadFactor = 1.5F;                                     // of the limit of calls in flight
constexpr Duration FleetMeanWindow = std::chrono::milliseconds(500);       // smoothing window of the mean load
constexpr Duration MaxReportAgeOfRefusal = std::chrono::milliseconds(100); // of a report that can explain a refusal
constexpr Duration FirstReportSpan = std::chrono::milliseconds(50);        // time covered by a target's first report
constexpr double MaxSlowerShare = 2;     // upper bound of the relative deviation of an answer time, for ReportTrust
constexpr double MaxReportShare = 0.2;   // weight of one report in the mean load
constexpr float FleetTimeWeight = 0.02F; // of one answer in the mean answer time
constexpr Duration LeavingHold = std::chrono::seconds(60);            // after a leaving update, unless renewed
constexpr Duration UnresponsiveHold = std::chrono::milliseconds(500); // of the penalty, which delays the next probe
constexpr float SlowdownWeight = 0.02F;                               // of one report in the mean slowdown
constexpr int FirstServerError = 500;                                 // HTTP status
constexpr Duration MaxPushBack = std::chrono::seconds(60);            // taken at face value; longer ones count as this

/// Whether the attempt failed because of its caller: it sent its body too slowly, malformed or too large.
bool isCallersFault(Code code)
{
    constexpr int CallersFaults = 3;
    return codeNumber(code) / 100 == CallersFaults;
}

/// Whether the target reports far more calls than its limit, so that an ended call must not be replaced by another.
bool isOverloaded(const TargetEntry &entry, const PermitReport &report, TimePoint now)
{
    const float limit = OverloadFactor * entry.load.limit(entry.target.slots, now);
    return report.load && static_cast<float>(report.load->inFlight) > limit;
}

/// Whether a recent report of the target shows a free slot. Its refusal then has another reason than a lack of slots.
bool reportsFreeSlot(const TargetEntry &entry, const PermitReport &report, TimePoint now)
{
    if (report.load) {
        return report.load->inFlight < entry.target.slots;
    }
    const bool fresh = entry.load.lastReport() >= 0 && now - entry.load.reportedAt() < MaxReportAgeOfRefusal;
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
    DAMASK_ASSERT(m_inFlight >= 0, "finish each permit exactly once");
    recordResult(*entry, permit, report, now);
    if (!entry->configured && entry->load.inFlight() == 0) {
        eraseRemoved(now);
    }
}

void ServiceTable::recordResult(TargetEntry &entry, const Permit &permit, const PermitReport &report, TimePoint now)
{
    if (report.load) {
        recordReport(entry, *report.load, now - entry.linkDelay / 2, report.end == AttemptEnd::Answered ? 1 : 0);
        m_lastProgressAt = now;
    }
    if (permit.address->startedAt == entry.target.startedAt && permit.address->port == entry.target.port) {
        recordNotice(entry, report.notice, now);
    }
    const bool freeSlot = !report.load || report.load->inFlight < entry.target.slots;
    if (report.code == Code::TargetReplaced) {
        entry.leavingUntil = now + LeavingHold; // until the registry reports the new process
        entry.health.trialEnded();
        return;
    }
    if (report.notice.pushBack > Duration(0)) {
        entry.health.trialEnded(); // it is well, and its slots are not known to be full
        return;
    }
    switch (report.end) {
    case AttemptEnd::Answered:
        m_lastProgressAt = now;
        m_replacementCredit = isOverloaded(entry, report, now) ? 0 : 1;
        if (report.status >= FirstServerError) {
            recordFailure(entry, now, "failure");
        } else {
            recordAnswer(entry, permit, now);
        }
        break;
    case AttemptEnd::Refused:
        if (!reportsFreeSlot(entry, report, now)) {
            entry.load.refused(entry.target.slots, now);
            if (!permit.late) {
                m_shortage.record({permit.accountRank, permit.rank}, permit.objective, now);
            }
        }
        if (freeSlot && !entry.reportsDrain && !entry.leaving) {
            recordFailure(entry, now, "failure");
        } else {
            entry.health.trialEnded();
        }
        break;
    case AttemptEnd::NotSent:
    case AttemptEnd::Lost:
        if (report.overtaken) {
            recordOvertaken(entry, permit, now);
        }
        if (report.code == Code::Cancelled || report.code == Code::TargetShares || isCallersFault(report.code)) {
            entry.health.trialEnded();
        } else {
            recordFailure(entry, now, "failure");
        }
        break;
    }
}

/// The time until the cancellation is a lower bound of the answer time. Without it, a slow target whose calls are
/// always overtaken would keep the answer time that it had when it was fast. A shorter one says nothing.
void ServiceTable::recordOvertaken(TargetEntry &entry, const Permit &permit, TimePoint now)
{
    const Duration targetTime = std::max(now - permit.grantedAt - entry.linkDelay, Duration(0));
    const double sample = toMilliseconds(targetTime) / static_cast<double>(entry.load.lastSlowdown());
    if (sample > static_cast<double>(entry.load.typicalTime())) {
        entry.load.answered(fromMilliseconds(sample));
        entry.load.overtaken(permit.grantedAt, now);
    }
}

void ServiceTable::recordAnswer(TargetEntry &entry, const Permit &permit, TimePoint now)
{
    const Duration elapsed = now - permit.grantedAt;
    const Duration targetTime = std::max(elapsed - entry.linkDelay, Duration(0));
    const auto sample = static_cast<float>(toMilliseconds(targetTime)) / entry.load.lastSlowdown();
    if (entry.load.lastReport() >= 0 && m_fleetTime > 0) {
        const double deviation = std::clamp(static_cast<double>(sample / m_fleetTime) - 1, -1.0, MaxSlowerShare);
        m_trust.addSample(entry.load.others() - entry.load.meanOthers(), deviation);
    }
    m_expected.answered(elapsed, now);
    m_fleetTime = m_fleetTime == 0 ? sample : m_fleetTime + FleetTimeWeight * (sample - m_fleetTime);
    entry.load.answered(fromMilliseconds(sample));
    entry.load.progressed(permit.grantedAt, now);
    entry.load.succeeded(entry.target.slots, now);
    recordSuccess(entry, now, "answer");
}

void ServiceTable::recordSuccess(TargetEntry &entry, TimePoint now, std::string_view reason)
{
    const bool wasEjected = entry.health.ejected();
    entry.health.recordSuccess(now);
    if (!wasEjected || entry.health.ejected()) {
        return;
    }
    --m_ejected;
    if (m_hooks.healthChanged) {
        m_hooks.healthChanged({entry.address->name, false, entry.health.failureShare(), reason});
    }
}

void ServiceTable::recordFailure(TargetEntry &entry, TimePoint now, std::string_view reason)
{
    const bool wasEjected = entry.health.ejected();
    if (!entry.health.recordFailure()) {
        return;
    }
    if (!wasEjected && (m_ejected + 1) * EjectedOneIn > m_configured) {
        return;
    }
    entry.health.eject(now);
    m_ejected += wasEjected ? 0 : 1;
    if (!wasEjected && m_hooks.healthChanged) {
        m_hooks.healthChanged({entry.address->name, true, entry.health.failureShare(), reason});
    }
    DAMASK_ASSERT(m_ejected * EjectedOneIn <= m_configured || wasEjected,
                  "at most one third of the targets is ejected");
}

/// justEnded: calls that the report no longer counts because it is carried on their answer.
void ServiceTable::recordReport(TargetEntry &entry, const LoadReport &report, TimePoint takenAt, int justEnded)
{
    // A busy target reports less often, so each report is weighted by the time since the previous one.
    const bool first = entry.load.lastReport() < 0;
    const Duration since = first ? FirstReportSpan : takenAt - entry.load.reportedAt();
    m_lastReportAt = std::max(m_lastReportAt, takenAt);
    entry.load.reported(report, takenAt, m_fleetOthers);
    if (report.slowdown > 0) {
        m_fleetSlowdown += SlowdownWeight * (static_cast<float>(report.slowdown) - m_fleetSlowdown);
    }
    entry.reportsDrain = report.draining;
    if (m_options.spillover) {
        recordCentreLoad(entry, report, takenAt, justEnded);
    }
    const double share = toSeconds(since) / (toSeconds(FleetMeanWindow) * static_cast<double>(m_targets.size()));
    m_fleetOthers += std::clamp(share, 0.0, MaxReportShare) * (entry.load.others() - m_fleetOthers);
    const auto it = std::find_if(m_targets.begin(), m_targets.end(), [&](const auto &n) { return n.get() == &entry; });
    addRecentReporter(static_cast<size_t>(it - m_targets.begin()));
}

void ServiceTable::recordCentreLoad(const TargetEntry &entry, const LoadReport &report, TimePoint takenAt,
                                    int justEnded)
{
    const std::string &centre = entry.target.dataCentre;
    const bool full = report.inFlight + justEnded >= entry.target.slots;
    if (!m_spillover.record(centre, report.inFlight, full, takenAt) || !m_hooks.spilloverChanged) {
        return;
    }
    const CentreLoad *own = m_spillover.find(centre, takenAt);
    m_hooks.spilloverChanged({m_service.name, m_spillover.isShort(), own != nullptr ? *own : CentreLoad(),
                              m_spillover.countWithRoom(takenAt)});
}

void ServiceTable::addRecentReporter(size_t index)
{
    if (std::find(m_recentReporters.begin(), m_recentReporters.end(), index) != m_recentReporters.end()) {
        return;
    }
    m_recentReporters[m_nextRecentReporter] = index;
    m_nextRecentReporter = (m_nextRecentReporter + 1) % MaxRecentReporters;
}

void ServiceTable::updateLoad(const LoadUpdate &update, TimePoint now)
{
    TargetEntry *entry = find(update.target);
    if (entry == nullptr) {
        return;
    }
    if (update.startedAt == entry->target.startedAt) {
        recordNotice(*entry, update.notice, now);
    }
    if (update.silent) {
        entry->unresponsiveUntil = now + UnresponsiveHold;
        recordFailure(*entry, now, "question");
        return;
    }
    if (update.asked) {
        recordProbeAnswer(*entry, update, now);
    }
    if (update.leaving) {
        entry->leavingUntil = std::max(entry->leavingUntil, now - update.age + LeavingHold);
    }
    const TimePoint takenAt = now - update.age;
    if (update.report.slots > 0 && (entry->load.lastReport() < 0 || takenAt > entry->load.reportedAt())) {
        recordReport(*entry, update.report, takenAt, 0);
    }
}

/// Load reports never undo a notice: a process that leaves stays leaving whatever others still say about it.
void ServiceTable::recordNotice(TargetEntry &entry, const TargetNotice &notice, TimePoint now)
{
    const Duration pushBack = std::min(notice.pushBack, MaxPushBack);
    const bool news = (notice.leaving && !entry.leaving) || pushBack > Duration(0);
    entry.leaving = entry.leaving || notice.leaving;
    entry.pushBackUntil = std::max(entry.pushBackUntil, now + pushBack);
    if (news && m_hooks.noticeReceived) {
        m_hooks.noticeReceived({entry.address->name, notice, pushBack});
    }
}

/// Successful probe answers reinstate a half-open target without risking any call.
void ServiceTable::recordProbeAnswer(TargetEntry &entry, const LoadUpdate &update, TimePoint now)
{
    entry.unresponsiveUntil = {};
    entry.unhealthy = update.report.unhealthy;
    if (update.report.coldLeft && tracksCold() && update.startedAt == entry.target.startedAt) {
        setCold(entry, now + *update.report.coldLeft, ColdReason::HealthCheck, now);
    }
    if (update.report.unhealthy || entry.health.state(now) != TargetHealth::State::HalfOpen) {
        return;
    }
    recordSuccess(entry, now, "question");
}

void ServiceTable::appendUpdates(TimePoint now, std::vector<LoadUpdate> &updates) const
{
    for (const auto &it : m_targets) {
        if (!it->configured || it->load.lastReport() < 0) {
            continue;
        }
        LoadUpdate n;
        n.target = it->address->name;
        n.report = {it->load.lastReport(), it->target.slots, it->reportsDrain};
        n.age = now - it->load.reportedAt();
        n.leaving = now < it->leavingUntil;
        updates.push_back(std::move(n));
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
        n.evacuated = it->evacuated;
        n.coldLeft = std::max(it->cold.until - now, Duration(0));
        n.oldestCall = it->load.oldestCall(now);
        n.typicalTime = fromMilliseconds(it->load.typicalTime());
        status.push_back(std::move(n));
    }
}

} // namespace damask
