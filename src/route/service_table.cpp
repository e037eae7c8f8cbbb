#include "route/service_table.h"

#include "base/check.h"
#include "config/regions.h"

#include <algorithm>
#include <atomic>

namespace damask {

namespace {

constexpr Duration WithinRegion = std::chrono::microseconds(3000); // there and back between data centres of a region
constexpr size_t NearShare = 10;                                   // candidates from this data centre, when many
constexpr size_t RegionShare = 4;                                  // candidates from the rest of this region
constexpr double HurryAfterTimes = 4;                              // usual answer times without any answer
constexpr float HoldTimes = 1;                                     // usual answer times held for a better estimate
constexpr float ColdSlowdown = 2;                                  // of a process that is cold after its start
constexpr float GoodSlowdown = 1.5F;                               // below it a target works about as fast as usual
constexpr float SilentTimes = 10;                                  // that a target counts for which gave no answer
constexpr float UnwellTimes = 4;                                   // that a target counts for which is not well
constexpr float LeastTime = 1;                                     // ms, taken for an answer while none is known
constexpr Duration LeastHurry = std::chrono::milliseconds(5);      // without any answer before a call hurries

/// Whether a call sent now is likely to be worked on at once, and about as fast as usual.
bool isGood(const TargetView &view)
{
    return view.avoid <= 1 && view.slowdown < GoodSlowdown && view.estimate + 1 <= view.slots;
}

uint64_t nextPermit()
{
    static std::atomic<uint64_t> next{1};
    return next.fetch_add(1, std::memory_order_relaxed);
}

} // namespace

ServiceTable::ServiceTable(const BalancerOptions &options, const BalancerHooks &hooks, std::string_view name,
                           TimePoint now)
    : m_options(options)
    , m_hooks(hooks)
    , m_regionBudget(Service().regionBytesPerSecond, now)
    , m_heardAt(now)
{
    m_service.name = name;
    m_views.reserve(MostCandidates);
}

void ServiceTable::apply(const Configuration &configuration, const Service &service, TimePoint now)
{
    if (configuration.revision < m_revision) {
        return; // a newer one came first on another thread
    }
    m_service = service;
    m_retired = false;
    m_queue.setLimit(static_cast<size_t>(std::max(0, service.queueLimit)));
    m_regionBudget.setRate(service.regionBytesPerSecond, now);
    for (const auto &it : m_targets) {
        it->configured = false;
    }
    const auto &pools = configuration.pools;
    const auto pool = std::find_if(pools.begin(), pools.end(), [&](const Pool &n) { return n.name == service.pool; });
    if (pool != pools.end()) {
        for (const Target &it : pool->targets) {
            applyTarget(configuration, *pool, it, now);
        }
    }
    m_revision = configuration.revision;
    dropGone();
    sortByDistance();
}

void ServiceTable::applyTarget(const Configuration &configuration, const Pool &pool, const Target &target,
                               TimePoint now)
{
    const std::string name = pool.name + "/" + target.name;
    TargetEntry *entry = find(name);
    const bool fresh = entry == nullptr;
    if (fresh) {
        m_targets.push_back(std::make_unique<TargetEntry>());
        entry = m_targets.back().get();
    }
    const bool moved = entry->target.address != target.address || entry->target.port != target.port
                       || entry->target.startedAt != target.startedAt || entry->target.instance != target.instance;
    if (moved) {
        m_ejected -= entry->health.ejected() ? 1 : 0;
        entry->load.forget();
        entry->health = TargetHealth();
        entry->reportsDrain = false;
        entry->leavingUntil = {};
        entry->silentUntil = {};
        entry->unwell = false;
    }
    if (fresh || moved) {
        entry->coldUntil = now + target.coldLeft;
    }
    if (moved && m_revision > 0) {
        entry->health.warmUp(now);
    }
    entry->target = target;
    entry->configured = true;
    entry->address = std::make_shared<const TargetAddress>(TargetAddress{
        name, target.address, target.port, m_service.connectionShare, target.instance, m_service.healthPath});
    place(configuration, *entry);
}

void ServiceTable::place(const Configuration &configuration, TargetEntry &entry) const
{
    entry.otherRegion = false;
    entry.linkDelay = Duration(0);
    if (entry.target.dataCentre == m_options.dataCentre) {
        return;
    }
    const std::string_view here = regionOf(configuration, m_options.dataCentre);
    const std::string_view there = regionOf(configuration, entry.target.dataCentre);
    entry.otherRegion = here != there;
    entry.linkDelay = entry.otherRegion ? roundTripBetween(configuration, here, there) : WithinRegion;
}

void ServiceTable::dropGone()
{
    std::erase_if(m_targets, [](const auto &n) { return !n->configured && n->load.inFlight() == 0; });
}

void ServiceTable::sortByDistance()
{
    const auto nearer = [](const auto &left, const auto &right) {
        if (left->configured != right->configured) {
            return left->configured;
        }
        if (left->otherRegion != right->otherRegion) {
            return right->otherRegion;
        }
        return left->linkDelay < right->linkDelay;
    };
    std::stable_sort(m_targets.begin(), m_targets.end(), nearer);
    const auto count = [&](const auto &test) {
        return static_cast<size_t>(std::count_if(m_targets.begin(), m_targets.end(), test));
    };
    m_configured = count([](const auto &n) { return n->configured; });
    m_regionEnd = count([](const auto &n) { return n->configured && !n->otherRegion; });
    m_nearEnd = count([](const auto &n) { return n->configured && !n->otherRegion && n->linkDelay == Duration(0); });
    m_recent.fill(m_targets.size());
}

void ServiceTable::retire(std::vector<Decided> &decided)
{
    m_retired = true;
    m_queue.refuseAll(Code::NoSuchService, decided);
}

bool ServiceTable::retired() const
{
    return m_retired;
}

int ServiceTable::inFlight() const
{
    return m_inFlight;
}

const WaitQueue &ServiceTable::queue() const
{
    return m_queue;
}

TargetEntry *ServiceTable::find(std::string_view name)
{
    const auto it =
        std::find_if(m_targets.begin(), m_targets.end(), [&](const auto &n) { return n->address->name == name; });
    return it == m_targets.end() ? nullptr : it->get();
}

bool ServiceTable::draining(const TargetEntry &entry, TimePoint now) const
{
    return entry.target.draining || entry.reportsDrain || now < entry.leavingUntil || !entry.configured;
}

Code ServiceTable::admit(const AcquireRequest &request, TimePoint now) const
{
    if (m_retired) {
        return Code::NoSuchService;
    }
    if (request.deadline == Never) {
        return Code::Ok;
    }
    const Duration left = request.deadline - now;
    return left <= Duration(0) || left < m_expected.least(now) ? Code::DeadlineTooShort : Code::Ok;
}

bool ServiceTable::allowed(const TargetEntry &entry, const AcquireRequest &request, TimePoint now) const
{
    if (draining(entry, now)) {
        return false;
    }
    if (entry.otherRegion && !m_regionOpen) {
        return false;
    }
    const auto &names = request.dataCentres;
    return names.empty() || std::find(names.begin(), names.end(), entry.target.dataCentre) != names.end();
}

Choice ServiceTable::choose(const AcquireRequest &request, TimePoint now, Duration waited)
{
    ++m_sequence;
    m_regionOpen = m_regionBudget.allows(request.bodyBytes, now);
    if (TargetEntry *trial = trialFor(request, now)) {
        return {trial};
    }
    collect(request, now);
    if (m_views.empty()) {
        return {nullptr, Code::NoTarget};
    }
    PickContext context;
    context.random = &m_hooks.random;
    context.sequence = m_sequence;
    context.waited = static_cast<float>(toMilliseconds(waited));
    context.hurry = hurry(now) || context.waited > HoldTimes * std::max(LeastTime, m_fleetTime);
    const int picked = m_hooks.pick(m_views, context);
    if (picked == NoPick) {
        return {};
    }
    return {m_targets[m_views[static_cast<size_t>(picked)].index].get()};
}

TargetEntry *ServiceTable::trialFor(const AcquireRequest &request, TimePoint now)
{
    if (m_ejected == 0 || !request.idempotent) {
        return nullptr;
    }
    for (const auto &it : m_targets) {
        const bool due = it->health.state(now) == TargetHealth::State::Trial;
        if (due && it->address->name != request.avoid && allowed(*it, request, now)) {
            return it.get();
        }
    }
    return nullptr;
}

ReportAging ServiceTable::aging() const
{
    const Duration usual = fromMilliseconds(std::max(LeastTime, m_fleetTime));
    const Duration halfLife = m_options.reportHalfLife > Duration(0) ? m_options.reportHalfLife : usual;
    return {halfLife, m_usualOthers, m_trust.trust(), m_options.slowdownHalfLife, m_usualSlowdown};
}

bool ServiceTable::hurry(TimePoint now) const
{
    if (m_inFlight == 0 || m_credit > 0) {
        return true;
    }
    const Duration silence = std::max(LeastHurry, fromMilliseconds(HurryAfterTimes * m_fleetTime));
    return now - m_heardAt > silence;
}

void ServiceTable::collect(const AcquireRequest &request, TimePoint now)
{
    m_views.clear();
    m_aging = aging();
    if (m_configured <= MostCandidates) {
        collectFrom(0, m_configured, m_configured, request, now);
    } else {
        for (const size_t it : m_recent) {
            if (it < m_configured) {
                addView(it, request, now);
            }
        }
        const size_t room = MostCandidates - m_views.size();
        collectFrom(0, m_nearEnd, std::min(room, NearShare), request, now);
        collectFrom(m_nearEnd, m_regionEnd, std::min(MostCandidates - m_views.size(), RegionShare), request, now);
        collectFrom(0, m_configured, MostCandidates - m_views.size(), request, now);
    }
    if (m_views.empty() && !request.avoid.empty()) {
        AcquireRequest any = request;
        any.avoid = {};
        collect(any, now);
    }
}

void ServiceTable::collectFrom(size_t begin, size_t end, size_t most, const AcquireRequest &request, TimePoint now)
{
    const size_t count = end - begin;
    if (count == 0 || most == 0) {
        return;
    }
    const size_t looks = std::min(most, count);
    size_t at = looks == count ? 0 : m_hooks.random() % count;
    for (size_t n = 0; n < looks; ++n) {
        addView(begin + at, request, now);
        at = at + 1 == count ? 0 : at + 1;
    }
}

void ServiceTable::addView(size_t index, const AcquireRequest &request, TimePoint now)
{
    TargetEntry &entry = *m_targets[index];
    if (entry.seenBy == m_sequence) {
        return;
    }
    if (!request.avoid.empty() && entry.address->name == request.avoid) {
        return;
    }
    if (entry.health.ejected() || !allowed(entry, request, now)) {
        return;
    }
    entry.seenBy = m_sequence;
    m_views.push_back(viewOf(entry, now));
    m_views.back().index = static_cast<uint32_t>(index);
}

TargetView ServiceTable::viewOf(const TargetEntry &entry, TimePoint now) const
{
    const TargetLoad &load = entry.load;
    const bool reported = load.lastReport() >= 0;
    TargetView view;
    view.inFlight = load.inFlight();
    view.slots = entry.target.slots;
    view.estimate = load.estimate(now, m_aging);
    view.reportAge = reported ? static_cast<float>(toMilliseconds(now - load.reportedAt())) : view.reportAge;
    view.reported = load.lastReport();
    view.oldestCall = static_cast<float>(toMilliseconds(load.oldestCall(now)));
    view.typicalTime = load.typicalTime() > 0 ? load.typicalTime() : m_fleetTime;
    view.fleetTime = m_fleetTime;
    view.linkDelay = static_cast<float>(toMilliseconds(entry.linkDelay + placeCost(entry)));
    view.slowdown = load.slowdown(now, m_aging) * (now < entry.coldUntil ? ColdSlowdown : 1);
    view.avoid = (now < entry.silentUntil ? SilentTimes : 1) * (entry.unwell ? UnwellTimes : 1);
    view.warmth = entry.health.warmth(now);
    view.failing = entry.health.failing();
    view.limit = load.limit(entry.target.slots);
    if (m_hooks.truth) {
        m_hooks.truth(entry.address->name, view);
    }
    return view;
}

Duration ServiceTable::placeCost(const TargetEntry &entry) const
{
    if (entry.otherRegion) {
        return m_options.otherRegionCost;
    }
    return entry.linkDelay > Duration(0) ? m_options.elsewhereCost : Duration(0);
}

std::vector<Prospect> ServiceTable::promising(const AcquireRequest &request, TimePoint now, size_t most)
{
    ++m_sequence;
    m_regionOpen = m_regionBudget.allows(request.bodyBytes, now);
    collect(request, now);
    std::vector<Prospect> out;
    for (const TargetView &it : m_views) {
        const TargetEntry &entry = *m_targets[it.index];
        const bool reported = entry.load.lastReport() >= 0;
        out.push_back({entry.address, reported ? now - entry.load.reportedAt() : Duration::max(),
                       expectedCompletion(it), isGood(it), false});
    }
    const auto sooner = [](const Prospect &left, const Prospect &right) {
        return left.expected < right.expected;
    };
    std::sort(out.begin(), out.end(), sooner);
    out.resize(std::min(out.size(), most));
    if (m_ejected > 0) {
        appendTrial(request, now, out);
    }
    return out;
}

void ServiceTable::appendTrial(const AcquireRequest &request, TimePoint now, std::vector<Prospect> &out) const
{
    for (const auto &it : m_targets) {
        if (it->health.state(now) == TargetHealth::State::Trial && allowed(*it, request, now)) {
            out.push_back({it->address, Duration::max(), 0, false, true});
            return;
        }
    }
}

Permit ServiceTable::grant(TargetEntry &target, const AcquireRequest &request, uint32_t caller, TimePoint now,
                           Duration waited)
{
    DAMASK_ASSERT(!draining(target, now), "nothing is granted to a draining target");
    const TargetHealth::State state = target.health.state(now);
    DAMASK_ASSERT(state != TargetHealth::State::Out, "nothing is granted to an ejected target but trials");
    DAMASK_ASSERT(state == TargetHealth::State::In || request.idempotent, "trials take idempotent calls only");
    if (target.otherRegion) {
        m_regionBudget.spend(request.bodyBytes, now);
    }
    if (state == TargetHealth::State::Trial) {
        target.health.trialSent();
    }
    if (hurry(now)) {
        m_heardAt = now;
        m_credit = 0;
    }
    Permit permit;
    permit.id = nextPermit();
    permit.address = target.address;
    permit.service = m_service.name;
    permit.grantedAt = now;
    permit.waited = waited;
    const TargetView view = viewOf(target, now);
    permit.known = {.reportAge = target.load.lastReport() >= 0 ? view.reportAge : -1,
                    .estimate = static_cast<float>(view.estimate),
                    .slowdown = view.slowdown,
                    .others = static_cast<int>(m_views.size())};
    target.load.sent({permit.id, caller, now});
    m_shares.started(caller);
    ++m_inFlight;
    return permit;
}

/// A call that waited for most of its objective would come too late anyway, and its caller does better elsewhere.
Duration ServiceTable::queueWait(const AcquireRequest &request) const
{
    if (request.objective <= Duration(0)) {
        return m_service.queueWait;
    }
    return std::min(m_service.queueWait,
                    std::chrono::duration_cast<Duration>(request.objective * m_options.queueShare));
}

Code ServiceTable::wait(const AcquireRequest &request, uint64_t id, GrantHook granted, TimePoint now,
                        std::vector<Decided> &decided)
{
    Waiter waiter;
    waiter.id = id;
    waiter.caller = CallerShares::bucket(request.caller);
    waiter.dataCentres.assign(request.dataCentres.begin(), request.dataCentres.end());
    waiter.avoid = request.avoid;
    waiter.deadline = request.deadline;
    waiter.arrivedAt = now;
    waiter.idempotent = request.idempotent;
    waiter.bodyBytes = request.bodyBytes;
    waiter.rank = request.rank;
    waiter.granted = std::move(granted);
    waiter.giveUpAt = now + queueWait(request);
    const TimePoint latest = request.deadline == Never ? Never : request.deadline - m_expected.least(now);
    if (latest < waiter.giveUpAt) {
        waiter.giveUpAt = latest;
        waiter.atEnd = Code::DeadlineTooShort;
    }
    return m_queue.add(std::move(waiter), decided);
}

void ServiceTable::cancel(uint64_t id, std::vector<Decided> &decided)
{
    const int position = m_queue.positionOf(id);
    if (position >= 0) {
        Waiter waiter = m_queue.take(static_cast<size_t>(position));
        decided.push_back({std::move(waiter.granted), fail(Code::Cancelled)});
    }
}

TimePoint ServiceTable::runWaits(TimePoint now, std::vector<Decided> &decided)
{
    m_queue.refuseDue(now, decided);
    while (!m_queue.empty() && grantOne(now, decided)) { }
    m_credit = 0;
    return m_queue.empty() ? Never : std::min(m_queue.firstEnd(), now + m_options.waitStep);
}

bool ServiceTable::grantOne(TimePoint now, std::vector<Decided> &decided)
{
    for (const size_t position : m_queue.order(m_shares)) {
        const Waiter &waiter = m_queue.at(position);
        const Duration waited = now - waiter.arrivedAt;
        const Choice choice = choose(waiter.request(), now, waited);
        if (choice.target == nullptr && choice.code == Code::Ok) {
            if (waiter.picky()) {
                continue;
            }
            return false;
        }
        Waiter taken = m_queue.take(position);
        if (choice.target == nullptr) {
            decided.push_back({std::move(taken.granted), fail(choice.code)});
        } else {
            Permit permit = grant(*choice.target, taken.request(), taken.caller, now, waited);
            decided.push_back({std::move(taken.granted), std::move(permit)});
        }
        return true;
    }
    return false;
}

} // namespace damask
