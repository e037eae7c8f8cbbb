#include "route/service_table.h"

#include "base/check.h"
#include "config/regions.h"

#include <algorithm>
#include <atomic>
#include <unordered_map>
#include <utility>

namespace damask {

namespace {

constexpr Duration SameRegionDelay = std::chrono::microseconds(3000); // round trip between data centres of one region

// Of a limit that refusals have lowered, with [route] spillover. An instance with 3 to 6 calls a second has a call at
// each of 40 targets in 7 to 14 s. A target whose limit is low gets none, so no response raised its limit again, and in
// the end an instance sent most of its calls to other regions although its own targets had room.
constexpr Duration SpilloverLimitHalfLife = std::chrono::seconds(10);

constexpr size_t MaxFormerTargets = 4096; // remembered for each service, of those that said something that still holds

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
    , m_spillover(options.spillover ? std::string_view(options.dataCentre) : std::string_view())
    , m_lastProgressAt(now)
{
    m_service.name = name;
    m_views.reserve(MaxCandidates);
}

void ServiceTable::apply(const Configuration &configuration, const Service &service, TimePoint now)
{
    if (configuration.revision < m_revision) {
        return; // another thread has already applied a newer one
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
        std::unordered_map<std::string, TargetEntry *> known; // owns its keys: an entry's address is replaced below
        for (const auto &it : m_targets) {
            known.emplace(it->address->name, it.get());
        }
        for (const Target &it : pool->targets) {
            const std::string name = pool->name + "/" + it.name;
            const auto entry = known.find(name);
            applyTarget(configuration, it, name, entry == known.end() ? nullptr : entry->second, now);
        }
    }
    m_revision = configuration.revision;
    eraseRemoved(now);
    sortByDistance();
    applyEvacuations(configuration.evacuatedDataCentres, now);
    countRegions();
    m_placementChanged = true;
}

/// `entry` is the target's own, or null when it is new.
void ServiceTable::applyTarget(const Configuration &configuration, const Target &target, std::string_view name,
                               TargetEntry *entry, TimePoint now)
{
    const bool fresh = entry == nullptr;
    if (fresh) {
        m_targets.push_back(std::make_unique<TargetEntry>());
        entry = m_targets.back().get();
    }
    const bool moved = entry->target.address != target.address || entry->target.port != target.port
                       || entry->target.startedAt != target.startedAt || entry->target.instance != target.instance;
    if (moved && !fresh) {
        remember(*entry, now);
    }
    if (moved) {
        m_ejected -= entry->health.ejected() ? 1 : 0;
        entry->load.reset();
        entry->health = TargetHealth();
        entry->reportsDrain = false;
        entry->leavingUntil = {};
        entry->unresponsiveUntil = {};
        entry->unhealthy = false;
        entry->leaving = false;
        entry->pushBackUntil = {};
    }
    if (moved && m_revision > 0) {
        entry->health.beginSlowStart(now);
    }
    const bool written = target.coldLeft != entry->target.coldLeft
                         || target.entryRevision != entry->target.entryRevision
                         || target.entryEra != entry->target.entryEra;
    const bool coldAgain = target.coldLeft > Duration(0) && written && tracksCold();
    entry->target = target;
    entry->configured = true;
    entry->load.setLimitHalfLife(m_options.spillover ? SpilloverLimitHalfLife : Duration(0));
    if (fresh || moved) {
        recall(*entry);
    }
    entry->address = std::make_shared<const TargetAddress>(TargetAddress{std::string(name), target.address, target.port,
                                                                         m_service.connectionShare, target.instance,
                                                                         m_service.healthPath, target.startedAt});
    updateDistance(configuration, *entry);
    if (fresh || moved) {
        entry->cold.wantedAt = {};
        setCold(*entry, now + target.coldLeft, ColdReason::Entry, now);
    } else if (coldAgain) {
        setCold(*entry, coldAfterWrite(entry->cold, target.coldLeft, now), ColdReason::Entry, now);
    }
}

void ServiceTable::updateDistance(const Configuration &configuration, TargetEntry &entry) const
{
    const std::string_view there = regionOf(configuration, entry.target.dataCentre);
    entry.region = there;
    entry.otherRegion = false;
    entry.linkDelay = Duration(0);
    if (entry.target.dataCentre == m_options.dataCentre) {
        return;
    }
    const std::string_view here = regionOf(configuration, m_options.dataCentre);
    entry.otherRegion = here != there;
    entry.linkDelay = entry.otherRegion ? roundTripBetween(configuration, here, there) : SameRegionDelay;
}

/// When an evacuation is lifted, the targets there have been idle: they count as cold for a cold start's time.
void ServiceTable::applyEvacuations(std::span<const std::string> evacuated, TimePoint now)
{
    const std::vector<std::string> lifted = liftedEvacuations(m_evacuated, evacuated);
    m_evacuated.assign(evacuated.begin(), evacuated.end());
    for (const auto &it : m_targets) {
        it->evacuated = isEvacuated(m_evacuated, it->target.dataCentre);
        if (isEvacuated(lifted, it->target.dataCentre)) {
            setCold(*it, coldAfterReturn(it->cold, m_service.coldStart, now), ColdReason::Return, now);
        }
    }
}

void ServiceTable::countRegions()
{
    m_regions.clear();
    for (const auto &it : m_targets) {
        if (!it->configured || it->evacuated) {
            continue;
        }
        const bool here = !it->otherRegion;
        const auto same = [&](const RegionTargets &n) {
            return n.region == it->region && n.here == here;
        };
        auto region = std::find_if(m_regions.begin(), m_regions.end(), same);
        if (region == m_regions.end()) {
            region = m_regions.insert(region, {it->region, here, 0});
        }
        ++region->targets;
    }
}

void ServiceTable::eraseRemoved(TimePoint now)
{
    std::erase_if(m_targets, [&](const auto &n) {
        if (n->configured || n->load.inFlight() > 0) {
            return false;
        }
        m_ejected -= n->health.ejected() ? 1 : 0;
        remember(*n, now);
        return true;
    });
}

/// Keeps what a removed or replaced process has said about its availability: its entry may return while it runs.
void ServiceTable::remember(const TargetEntry &entry, TimePoint now)
{
    if (!entry.leaving && entry.pushBackUntil <= now) {
        return;
    }
    const Target &target = entry.target;
    m_former[target.name] = {target.startedAt,    target.address + ":" + std::to_string(target.port),
                             target.instance,     entry.leaving,
                             entry.pushBackUntil, ++m_removals};
    if (m_former.size() > MaxFormerTargets) {
        const auto earlier = [](const auto &left, const auto &right) {
            return left.second.sequence < right.second.sequence;
        };
        m_former.erase(std::min_element(m_former.begin(), m_former.end(), earlier));
    }
}

void ServiceTable::recall(TargetEntry &entry) const
{
    const Target &target = entry.target;
    const auto it = m_former.find(target.name);
    if (it != m_former.end() && it->second.startedAt == target.startedAt && it->second.instance == target.instance
        && it->second.address == target.address + ":" + std::to_string(target.port)) {
        entry.leaving = it->second.leaving;
        entry.pushBackUntil = it->second.pushBackUntil;
    }
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
    m_localEnd = count([](const auto &n) { return n->configured && !n->otherRegion && n->linkDelay == Duration(0); });
    m_recentReporters.fill(m_targets.size());
}

void ServiceTable::retire(std::vector<ResolvedWait> &resolved)
{
    m_retired = true;
    m_queue.refuseAll(Code::NoSuchService, resolved);
}

bool ServiceTable::retired() const
{
    return m_retired;
}

int ServiceTable::inFlight() const
{
    return m_inFlight;
}

uint64_t ServiceTable::takeSpillovers()
{
    return std::exchange(m_spillovers, 0);
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
    return entry.target.draining || entry.reportsDrain || entry.leaving || now < entry.leavingUntil
           || !entry.configured;
}

Duration ServiceTable::pushBackLeft(TimePoint now) const
{
    return pushBackLeft({}, now);
}

/// Of the targets in the request's home regions.
Duration ServiceTable::pushBackLeft(const AcquireRequest &request, TimePoint now) const
{
    Duration out{0};
    for (const auto &it : m_targets) {
        if (it->pushBackUntil > now && !draining(*it, now) && !it->evacuated
            && isHome(it->region, request.allowedRegions, request.accountRegions)) {
            const Duration left = it->pushBackUntil - now;
            out = out == Duration(0) ? left : std::min(out, left);
        }
    }
    return out;
}

bool ServiceTable::allowed(const TargetEntry &entry, const AcquireRequest &request, TimePoint now) const
{
    if (draining(entry, now) || entry.evacuated || now < entry.pushBackUntil) {
        return false;
    }
    if (entry.otherRegion && !m_regionOpen) {
        return false;
    }
    if (!isHome(entry.region, request.allowedRegions, request.accountRegions)) {
        return false;
    }
    const auto &names = request.dataCentres;
    return names.empty() || std::find(names.begin(), names.end(), entry.target.dataCentre) != names.end();
}

bool ServiceTable::permitHolds(const Permit &permit, TimePoint now)
{
    const TargetEntry *entry = find(permit.address->name);
    DAMASK_ASSERT(entry != nullptr, "a target is kept until its calls have ended");
    const bool sameProcess = permit.address->startedAt == entry->target.startedAt
                             && permit.address->address == entry->target.address
                             && permit.address->port == entry->target.port;
    return sameProcess && !draining(*entry, now) && !entry->evacuated;
}

Permit ServiceTable::grant(TargetEntry &target, const AcquireRequest &request, uint32_t caller, TimePoint now,
                           Duration waited)
{
    DAMASK_ASSERT(!draining(target, now), "choose() never returns a draining target");
    DAMASK_ASSERT(!target.evacuated, "choose() never returns a target of an evacuated data centre");
    const TargetHealth::State state = target.health.state(now);
    DAMASK_ASSERT(state != TargetHealth::State::Ejected, "an ejected target gets trials only when it is half-open");
    DAMASK_ASSERT(state == TargetHealth::State::Active || request.idempotent,
                  "a half-open target gets idempotent calls only");
    if (target.otherRegion && !m_reach.mustLeave()) {
        m_regionBudget.spend(request.bodyBytes, now);
    }
    if (state == TargetHealth::State::HalfOpen) {
        target.health.trialSent();
    }
    if (mayIgnoreEstimates(now)) {
        m_lastProgressAt = now;
        m_replacementCredit = 0;
    }
    m_spillovers += m_spillover.share(target.target.dataCentre, now) > 0 ? 1 : 0;
    Permit permit;
    permit.id = nextPermit();
    permit.address = target.address;
    permit.service = m_service.name;
    permit.grantedAt = now;
    permit.sendBefore = m_tokenExpiresAt;
    permit.waited = waited;
    permit.rank = request.rank;
    permit.accountRank = request.accountRank;
    permit.objective = request.objective;
    permit.late = isLate(request);
    const TargetView view = viewOf(target, request.bodyBytes, now, m_aging, m_reach);
    permit.snapshot = {.reportAge = target.load.lastReport() >= 0 ? view.reportAge : -1,
                       .estimate = static_cast<float>(view.estimate),
                       .slowdown = view.slowdown,
                       .coldLeft = static_cast<float>(toMilliseconds(std::max(target.cold.until - now, Duration(0)))),
                       .others = static_cast<int>(m_views.size())};
    target.load.sent({permit.id, caller, now});
    m_shares.started(caller);
    ++m_inFlight;
    return permit;
}

} // namespace damask
