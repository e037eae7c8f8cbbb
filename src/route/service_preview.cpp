// Where a request would go now: the read-only counterpart of ServiceTable::choose().
#include "route/preview.h"
#include "route/service_table.h"

#include <algorithm>

namespace damask {

std::string_view leftOutName(LeftOut reason)
{
    switch (reason) {
    case LeftOut::None:
        return "";
    case LeftOut::Draining:
        return "draining";
    case LeftOut::Evacuated:
        return "evacuated";
    case LeftOut::PushBack:
        return "push-back";
    case LeftOut::Ejected:
        return "ejected";
    case LeftOut::RuleHomes:
        return "rule-homes";
    case LeftOut::AccountHomes:
        return "account-homes";
    case LeftOut::DataCentre:
        return "data-centre";
    case LeftOut::RegionBudget:
        return "region-budget";
    case LeftOut::ColdToken:
        return "cold-token";
    case LeftOut::NotAllowed:
        return "not-allowed";
    case LeftOut::Full:
        return "full";
    }
    return "";
}

/// regionOpen: the budget of bytes between regions allows the request.
LeftOut ServiceTable::leftOut(const TargetEntry &entry, const AcquireRequest &request, TimePoint now,
                              bool regionOpen) const
{
    if (draining(entry, now)) {
        return LeftOut::Draining;
    }
    if (entry.evacuated) {
        return LeftOut::Evacuated;
    }
    if (now < entry.pushBackUntil) {
        return LeftOut::PushBack;
    }
    if (entry.health.ejected()) {
        return LeftOut::Ejected;
    }
    if (!isHome(entry.region, request.allowedRegions, {})) {
        return LeftOut::RuleHomes;
    }
    if (!isHome(entry.region, {}, request.accountRegions)) {
        return LeftOut::AccountHomes;
    }
    const auto &names = request.dataCentres;
    if (!names.empty() && std::find(names.begin(), names.end(), entry.target.dataCentre) == names.end()) {
        return LeftOut::DataCentre;
    }
    if (entry.otherRegion && !regionOpen) {
        return LeftOut::RegionBudget;
    }
    if (needsToken(entry, now) && !m_hooks.hasColdToken(coldTarget(entry))) {
        return LeftOut::ColdToken;
    }
    // allowed() uses the state of the budget at the last choice, which says nothing of this request.
    const bool byOldBudget = entry.otherRegion && !m_regionOpen;
    return byOldBudget || allowed(entry, request, now) ? LeftOut::None : LeftOut::NotAllowed;
}

ServicePreview ServiceTable::preview(const AcquireRequest &request, TimePoint now) const
{
    ServicePreview out;
    out.service = m_service.name;
    out.code = admit(request, now);
    out.queued = m_queue.size();
    out.shortage = m_shortage.active(now);
    out.spillover = m_spillover.shortness(now);
    const HomeReach reach = reachOf(request);
    RegionBudget budget = m_regionBudget; // asking refills it
    const bool regionOpen = reach.mustLeave() || budget.allows(request.bodyBytes, now);
    const ReportAging current = aging();
    PickContext context{&m_hooks.random, m_sequence};
    context.ignoreEstimate = mayIgnoreEstimates(now);
    std::vector<TargetView> views;
    bool lacksToken = false;
    for (size_t n = 0; n < m_configured; ++n) {
        const TargetEntry &entry = *m_targets[n];
        TargetView view = viewOf(entry, request.bodyBytes, now, current, reach);
        view.index = static_cast<uint32_t>(n);
        PreviewCandidate it;
        it.target = entry.address->name;
        it.dataCentre = entry.target.dataCentre;
        it.inFlight = view.inFlight;
        it.slots = view.slots;
        it.estimate = view.estimate;
        it.cost = expectedCompletion(view);
        it.reportAge = entry.load.lastReport() >= 0 ? static_cast<double>(view.reportAge) : -1;
        it.cold = isCold(entry.cold, now);
        it.leftOut = leftOut(entry, request, now, regionOpen);
        lacksToken = lacksToken || it.leftOut == LeftOut::ColdToken;
        if (it.leftOut == LeftOut::None) {
            views.push_back(view);
            it.leftOut = m_hooks.pick({&view, 1}, context) == NoPick ? LeftOut::Full : LeftOut::None;
        }
        out.candidates.push_back(std::move(it));
    }
    const int picked = views.empty() ? NoPick : m_hooks.pick(views, context);
    if (picked != NoPick) {
        out.chosen = m_targets[views[static_cast<size_t>(picked)].index]->address->name;
    } else if (out.code == Code::Ok) {
        const bool waits = !views.empty() || lacksToken; // for a slot or a token
        out.code = waits ? Code::QueueFull : refusalWithoutTarget(request, reach, now);
    }
    if (out.code == Code::Ok && !m_queue.empty()) {
        out.code = Code::QueueFull; // it would wait behind the calls that are queued
    }
    std::stable_sort(out.candidates.begin(), out.candidates.end(), [](const auto &left, const auto &right) {
        const bool leftIn = left.leftOut == LeftOut::None;
        const bool rightIn = right.leftOut == LeftOut::None;
        return leftIn != rightIn ? leftIn : left.cost < right.cost;
    });
    return out;
}

} // namespace damask
