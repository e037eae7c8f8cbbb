// Choice of a target: which targets of a ServiceTable are compared for a call, and what is known of each.
#include "route/service_table.h"

#include <algorithm>

namespace damask {

namespace {

constexpr size_t MaxLocalCandidates = 10;   // from this data centre, if there are many targets
constexpr size_t MaxRegionCandidates = 4;   // from the rest of this region
constexpr double MaxSilenceAnswerTimes = 4; // mean answer times without any answer before estimates are ignored
constexpr float MaxHoldAnswerTimes = 1;     // mean answer times that an estimate may hold a call queued
constexpr float ColdSlowdown = 2;           // factor for a process after a cold start
constexpr float MaxNormalSlowdown = 1.5F;   // a target below it counts as running at normal speed
constexpr float UnresponsivePenalty = 10;   // factor while a target does not answer probes
constexpr float UnhealthyPenalty = 4;       // factor while a target reports itself unhealthy
constexpr float MinAnswerTime = 1;          // ms, lower bound of the mean answer time, used while none is known
constexpr Duration MinSilence = std::chrono::milliseconds(5); // without any answer before estimates are ignored

/// Whether a call sent now is likely to start at once and to run at about normal speed.
bool isAvailable(const TargetView &view)
{
    return view.penalty <= 1 && view.slowdown < MaxNormalSlowdown && view.estimate + 1 <= view.slots;
}

} // namespace

HomeReach ServiceTable::reachOf(const AcquireRequest &request) const
{
    return homeReach(m_regions, request.allowedRegions, request.accountRegions);
}

/// Whether the home regions leave none of the configured targets.
bool ServiceTable::lacksHome(const AcquireRequest &request) const
{
    return m_configured > 0 && !reachOf(request).anyTarget;
}

void ServiceTable::beginChoice(const AcquireRequest &request, TimePoint now)
{
    ++m_sequence;
    m_withoutToken.clear();
    m_trialsWithoutToken.clear();
    m_tokenChecks = 0;
    m_tokenExpiresAt = Never;
    m_reach = reachOf(request);
    m_regionOpen = m_reach.mustLeave() || m_regionBudget.allows(request.bodyBytes, now);
}

Code ServiceTable::refusalWithoutTarget(const AcquireRequest &request, const HomeReach &reach, TimePoint now) const
{
    if (pushBackLeft(request, now) > Duration(0)) {
        return Code::TargetsPushBack;
    }
    return reach.bound && m_configured > 0 ? Code::NoHomeTarget : Code::NoTarget;
}

Choice ServiceTable::choose(const AcquireRequest &request, TimePoint now, Duration waited)
{
    beginChoice(request, now);
    if (TargetEntry *trial = findHalfOpen(request, now)) {
        return {trial};
    }
    collect(request, now);
    const bool refused = m_views.empty() && m_withoutToken.empty();
    m_coldCounts.leftOut += m_withoutToken.size();
    TargetEntry *target = pickTarget(now, waited); // null: the call is refused, or waits for a slot or a token
    m_withoutToken.insert(m_withoutToken.end(), m_trialsWithoutToken.begin(), m_trialsWithoutToken.end());
    if (!m_withoutToken.empty()) {
        wantTokens(target == nullptr, now);
    }
    return {target, refused ? refusalWithoutTarget(request, m_reach, now) : Code::Ok};
}

/// Half-open targets are left out: a trial may fail, and a hedge is worth its cost only if it is answered in time. Cold
/// targets are left out as well, so that no token is taken or asked for.
Choice ServiceTable::chooseFree(const AcquireRequest &request, TimePoint now)
{
    beginChoice(request, now);
    collect(request, now);
    std::erase_if(m_views, [&](const TargetView &it) {
        const TargetEntry &entry = *m_targets[it.index];
        return entry.address->name == request.avoid || isCold(entry.cold, now) || !isAvailable(it);
    });
    const int picked = m_views.empty() ? NoPick : m_hooks.pick(m_views, {&m_hooks.random, m_sequence});
    if (picked == NoPick) {
        return {nullptr, Code::NoTarget};
    }
    return {m_targets[m_views[static_cast<size_t>(picked)].index].get()};
}

/// The best of the views. One whose token is gone is left out, and the next best is chosen.
TargetEntry *ServiceTable::pickTarget(TimePoint now, Duration waited)
{
    PickContext context;
    context.random = &m_hooks.random;
    context.sequence = m_sequence;
    context.waited = static_cast<float>(toMilliseconds(waited));
    context.ignoreEstimate =
        mayIgnoreEstimates(now) || context.waited > MaxHoldAnswerTimes * std::max(MinAnswerTime, m_fleetTime);
    while (!m_views.empty()) {
        const int picked = m_hooks.pick(m_views, context);
        if (picked == NoPick) {
            break;
        }
        const size_t index = m_views[static_cast<size_t>(picked)].index;
        TargetEntry &entry = *m_targets[index];
        if (takeToken(entry, now)) {
            return &entry;
        }
        m_withoutToken.push_back(index);
        m_views.erase(m_views.begin() + picked);
    }
    return nullptr;
}

TargetEntry *ServiceTable::findHalfOpen(const AcquireRequest &request, TimePoint now)
{
    if (m_ejected == 0 || !request.idempotent) {
        return nullptr;
    }
    for (size_t n = 0; n < m_targets.size(); ++n) {
        TargetEntry &it = *m_targets[n];
        const bool due = it.health.state(now) == TargetHealth::State::HalfOpen;
        if (!due || it.address->name == request.avoid || !allowed(it, request, now)) {
            continue;
        }
        if (takeToken(it, now)) {
            return &it;
        }
        m_trialsWithoutToken.push_back(n);
    }
    return nullptr;
}

ReportAging ServiceTable::aging() const
{
    const Duration meanTime = fromMilliseconds(std::max(MinAnswerTime, m_fleetTime));
    const Duration halfLife = m_options.reportHalfLife > Duration(0) ? m_options.reportHalfLife : meanTime;
    return {halfLife, m_fleetOthers, m_trust.trust(), m_options.slowdownHalfLife, m_fleetSlowdown};
}

bool ServiceTable::mayIgnoreEstimates(TimePoint now) const
{
    if (m_replacementCredit > 0) {
        return true;
    }
    if (m_lastReportAt != TimePoint() && now - m_lastReportAt <= m_options.trustedReportAge) {
        return false;
    }
    if (m_inFlight == 0) {
        return true;
    }
    const Duration silence = std::max(MinSilence, fromMilliseconds(MaxSilenceAnswerTimes * m_fleetTime));
    return now - m_lastProgressAt > silence;
}

void ServiceTable::collect(const AcquireRequest &request, TimePoint now)
{
    m_views.clear();
    m_aging = aging();
    if (m_configured <= MaxCandidates) {
        collectFrom(0, m_configured, m_configured, request, now);
    } else {
        for (const size_t it : m_recentReporters) {
            if (it < m_configured) {
                addView(it, request, now);
            }
        }
        const auto from =
            mostMayBeIneligible(request, now) ? &ServiceTable::collectEligible : &ServiceTable::collectFrom;
        const size_t room = MaxCandidates - m_views.size();
        (this->*from)(0, m_localEnd, std::min(room, MaxLocalCandidates), request, now);
        (this->*from)(m_localEnd, m_regionEnd, std::min(MaxCandidates - m_views.size(), MaxRegionCandidates), request,
                      now);
        (this->*from)(0, m_configured, MaxCandidates - m_views.size(), request, now);
    }
    if (m_views.empty() && !request.avoid.empty()) {
        AcquireRequest any = request;
        any.avoid = {};
        collect(any, now);
    }
}

/// Whether so few of many targets may be eligible that a limited number of them could miss all.
bool ServiceTable::mostMayBeIneligible(const AcquireRequest &request, TimePoint now) const
{
    return m_reach.bound || !request.dataCentres.empty() || !m_evacuated.empty() || limitsCold(now);
}

/// Adds up to `limit` targets, whether eligible or not.
void ServiceTable::collectFrom(size_t begin, size_t end, size_t limit, const AcquireRequest &request, TimePoint now)
{
    const size_t count = end - begin;
    if (count == 0 || limit == 0) {
        return;
    }
    const size_t selected = std::min(limit, count);
    size_t at = selected == count ? 0 : m_hooks.random() % count;
    for (size_t n = 0; n < selected; ++n) {
        addView(begin + at, request, now);
        at = at + 1 == count ? 0 : at + 1;
    }
}

/// Adds up to `limit` eligible targets, however few they are. Each of them is equally likely to be the first: a random
/// position among all targets would favour the one after a long run of ineligible ones.
void ServiceTable::collectEligible(size_t begin, size_t end, size_t limit, const AcquireRequest &request, TimePoint now)
{
    m_eligible.clear();
    for (size_t n = begin; n < end && limit > 0; ++n) {
        if (isCandidate(*m_targets[n], request, now)) {
            m_eligible.push_back(n);
        }
    }
    const size_t count = m_eligible.size();
    const size_t enough = m_views.size() + limit;
    size_t at = count <= limit ? 0 : m_hooks.random() % count;
    for (size_t n = 0; n < count && m_views.size() < enough; ++n) {
        addView(m_eligible[at], request, now);
        at = at + 1 == count ? 0 : at + 1;
    }
}

/// Whether the target may take the call and has not been considered yet in this choice.
bool ServiceTable::isCandidate(const TargetEntry &entry, const AcquireRequest &request, TimePoint now) const
{
    const bool avoided = !request.avoid.empty() && entry.address->name == request.avoid;
    return entry.lastSequence != m_sequence && !avoided && !entry.health.ejected() && allowed(entry, request, now);
}

void ServiceTable::addView(size_t index, const AcquireRequest &request, TimePoint now)
{
    TargetEntry &entry = *m_targets[index];
    if (!isCandidate(entry, request, now) || !passesColdLimit(entry, index, now)) {
        return;
    }
    entry.lastSequence = m_sequence;
    m_views.push_back(viewOf(entry, request.bodyBytes, now, m_aging, m_reach));
    m_views.back().index = static_cast<uint32_t>(index);
}

TargetView ServiceTable::viewOf(const TargetEntry &entry, size_t bodyBytes, TimePoint now,
                                const ReportAging &reportAging, const HomeReach &reach) const
{
    const TargetLoad &load = entry.load;
    const bool reported = load.lastReport() >= 0;
    TargetView view;
    ReportAging assumed = reportAging;
    if (const CentreLoad *it = m_spillover.find(entry.target.dataCentre, now)) {
        assumed.fleetOthers += m_spillover.shortness(now) * (it->inFlight - assumed.fleetOthers);
    }
    view.inFlight = load.inFlight();
    view.slots = entry.target.slots;
    view.estimate = load.estimate(now, assumed);
    view.reportAge = reported ? static_cast<float>(toMilliseconds(now - load.reportedAt())) : view.reportAge;
    view.reported = load.lastReport();
    view.oldestCall = static_cast<float>(toMilliseconds(load.oldestCall(now)));
    view.typicalTime = load.typicalTime() > 0 ? load.typicalTime() : m_fleetTime;
    view.fleetTime = m_fleetTime;
    view.linkDelay = static_cast<float>(toMilliseconds(entry.linkDelay + distanceCost(entry, bodyBytes, now, reach)));
    view.slowdown = load.slowdown(now, reportAging) * (isCold(entry.cold, now) ? ColdSlowdown : 1);
    view.penalty = (now < entry.unresponsiveUntil ? UnresponsivePenalty : 1) * (entry.unhealthy ? UnhealthyPenalty : 1);
    view.slowStartShare = entry.health.slowStartShare(now);
    view.failureShare = entry.health.failureShare();
    view.limit = load.limit(entry.target.slots, now);
    if (m_hooks.fillTrueLoad) {
        m_hooks.fillTrueLoad(entry.address->name, view);
    }
    return view;
}

Duration ServiceTable::distanceCost(const TargetEntry &entry, size_t bodyBytes, TimePoint now,
                                    const HomeReach &reach) const
{
    if (entry.linkDelay == Duration(0)) {
        return Duration(0);
    }
    const double megabytes = static_cast<double>(bodyBytes) / (1024 * 1024);
    const Duration forBody = fromMilliseconds(toMilliseconds(m_options.costPerMegabyte) * megabytes);
    if (entry.otherRegion) {
        const double waived = m_spillover.share(entry.target.dataCentre, now);
        const Duration saved = fromMilliseconds(
            waived * toMilliseconds(std::max(m_options.otherRegionCost - m_options.otherDataCentreCost, Duration(0))));
        return forBody + (reach.mustLeave() ? Duration(0) : m_options.otherRegionCost - saved);
    }
    return forBody + m_options.otherDataCentreCost;
}

std::vector<TargetCandidate> ServiceTable::bestCandidates(const AcquireRequest &request, TimePoint now, size_t limit)
{
    beginChoice(request, now);
    collect(request, now);
    std::vector<TargetCandidate> out;
    for (const TargetView &it : m_views) {
        const TargetEntry &entry = *m_targets[it.index];
        const bool reported = entry.load.lastReport() >= 0;
        out.push_back({entry.address, reported ? now - entry.load.reportedAt() : Duration::max(),
                       expectedCompletion(it), isAvailable(it), false});
    }
    const auto faster = [](const TargetCandidate &left, const TargetCandidate &right) {
        return left.expected < right.expected;
    };
    std::sort(out.begin(), out.end(), faster);
    out.resize(std::min(out.size(), limit));
    if (std::none_of(out.begin(), out.end(), [](const TargetCandidate &n) { return n.available; })) {
        appendUnconfirmedCold(now, limit, out);
    }
    if (m_ejected > 0) {
        appendHalfOpen(request, now, out);
    }
    if (m_spillover.shortness(now) > 0) {
        appendUnknownCentre(request, now, out);
    }
    return out;
}

/// Adds one target of a data centre that has not reported for a while: it may have the room that this one lacks.
void ServiceTable::appendUnknownCentre(const AcquireRequest &request, TimePoint now, std::vector<TargetCandidate> &out)
{
    const size_t from = m_configured == 0 ? 0 : m_hooks.random() % m_configured;
    for (size_t n = 0; n < m_configured; ++n) {
        const TargetEntry &entry = *m_targets[(from + n) % m_configured];
        if (entry.health.ejected() || !allowed(entry, request, now)
            || !m_spillover.wantsProbe(entry.target.dataCentre, now)) {
            continue;
        }
        out.push_back({entry.address, Duration::max(), 0, false, false, true});
        return;
    }
}

void ServiceTable::appendHalfOpen(const AcquireRequest &request, TimePoint now, std::vector<TargetCandidate> &out) const
{
    for (const auto &it : m_targets) {
        if (it->health.state(now) == TargetHealth::State::HalfOpen && allowed(*it, request, now)) {
            out.push_back({it->address, Duration::max(), 0, false, true});
            return;
        }
    }
}

} // namespace damask
