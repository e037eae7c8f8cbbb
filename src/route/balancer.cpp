#include "route/balancer.h"

#include "base/check.h"
#include "route/service_table.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <optional>

namespace damask {

namespace {

constexpr std::array RefusalCodes{Code::NoSuchService,   Code::NoTarget,         Code::QueueFull,
                                  Code::QueueTimeout,    Code::DeadlineTooShort, Code::FairShareExceeded,
                                  Code::Cancelled,       Code::NoConfiguration,  Code::TargetsPushBack,
                                  Code::ObjectiveMissed, Code::NoHomeTarget};

/// The counters of one service, resolved once so that calls need no lookup.
struct ServiceCounters {
    prometheus::Counter &granted;
    prometheus::Counter &waited;
    std::array<prometheus::Counter *, RefusalCodes.size()> refused{};
    prometheus::Counter &lapsed;
    prometheus::Counter &coldToken;
    prometheus::Counter &coldGone;
    prometheus::Counter &coldLeftOut;
    prometheus::Counter &coldWanted;
    prometheus::Counter &spillovers;

    ServiceCounters(Metrics &metrics, std::string_view service)
        : granted(metrics.counter("damask_permits_total", {{"service", service}}))
        , waited(metrics.counter("damask_waits_total", {{"service", service}}))
        , lapsed(metrics.counter("damask_permits_lapsed_total", {{"service", service}}))
        , coldToken(metrics.counter("damask_cold_choices_total", {{"service", service}, {"end", "token"}}))
        , coldGone(metrics.counter("damask_cold_choices_total", {{"service", service}, {"end", "token-gone"}}))
        , coldLeftOut(metrics.counter("damask_cold_choices_total", {{"service", service}, {"end", "left-out"}}))
        , coldWanted(metrics.counter("damask_cold_choices_total", {{"service", service}, {"end", "wanted"}}))
        , spillovers(metrics.counter("damask_spillover_permits_total", {{"service", service}}))
    {
        for (size_t n = 0; n < RefusalCodes.size(); ++n) {
            const std::string_view code = codeName(RefusalCodes[n]);
            refused[n] = &metrics.counter("damask_acquire_refusals_total", {{"service", service}, {"code", code}});
        }
    }
    void countChoices(ServiceTable &table) const
    {
        const ColdCounts counts = table.takeColdCounts();
        spillovers.Increment(static_cast<double>(table.takeSpillovers()));
        coldToken.Increment(static_cast<double>(counts.granted));
        coldGone.Increment(static_cast<double>(counts.gone));
        coldLeftOut.Increment(static_cast<double>(counts.leftOut));
        coldWanted.Increment(static_cast<double>(counts.wanted));
    }
    void countRefusal(Code code) const
    {
        const auto it = std::find(RefusalCodes.begin(), RefusalCodes.end(), code);
        if (it != RefusalCodes.end()) {
            refused[static_cast<size_t>(it - RefusalCodes.begin())]->Increment();
        }
    }
};

/// The table of one service with its own lock.
struct SharedTable {
    mutable RankedMutex mutex{LockRank::Route};
    ServiceTable table;
    ServiceCounters counters;

    SharedTable(const BalancerOptions &options, const BalancerHooks &hooks, Metrics &metrics, std::string_view name,
                TimePoint now)
        : table(options, hooks, name, now)
        , counters(metrics, name)
    {
    }
};

using TablePointer = std::shared_ptr<SharedTable>;

/// A service of the new configuration, or null when the configuration no longer contains it.
struct ServiceChange {
    TablePointer shared;
    const Service *service = nullptr;
};

/// A thread blocked in acquire() until its GrantHook runs.
struct BlockedWait {
    RankedMutex mutex{LockRank::Route};
    Condition resolved;
    std::optional<Result<Permit>> result;

    explicit BlockedWait(Clock &clock)
        : resolved(clock)
    {
    }
    void resolve(Result<Permit> given)
    {
        LockGuard lock(mutex);
        result = std::move(given);
        resolved.notifyAll();
    }
};

} // namespace

struct Balancer::State {
    Clock &clock;
    Metrics &metrics;
    BalancerOptions options;
    BalancerHooks hooks;
    mutable RankedMutex mutex{LockRank::Route}; // guards tables and revision; no table is locked under it
    std::map<std::string, TablePointer, std::less<>> tables;
    uint64_t revision = 0;
    std::atomic<int> inFlight{0};
    std::atomic<uint64_t> nextWaitId{1};

    TablePointer find(std::string_view service) const;
    std::vector<ServiceChange> changesOf(const Configuration &configuration, TimePoint now);
    std::vector<TablePointer> all() const;
    Result<Permit> tryAcquire(SharedTable &shared, const AcquireRequest &request, bool &mustWait);
    uint64_t enqueue(SharedTable &shared, const AcquireRequest &request, GrantHook granted);
    TimePoint processQueue(SharedTable &shared);
    void cancelWait(SharedTable &shared, uint64_t waitId);
    void awaitResult(SharedTable &shared, BlockedWait &blocked);
    void deliver(const SharedTable &shared, std::span<ResolvedWait> resolved);
};

std::vector<ServiceChange> Balancer::State::changesOf(const Configuration &configuration, TimePoint now)
{
    std::vector<ServiceChange> changes;
    LockGuard lock(mutex);
    DAMASK_ASSERT(configuration.revision >= revision, "apply configurations in the order of their revision");
    revision = configuration.revision;
    for (const Service &it : configuration.services) {
        TablePointer &table = tables[it.name];
        if (!table) {
            table = std::make_shared<SharedTable>(options, hooks, metrics, it.name, now);
        }
        changes.push_back({table, &it});
    }
    // The table of a removed service is kept: some of its permits may not be finished yet.
    for (const auto &it : tables) {
        const auto &all = configuration.services;
        if (std::none_of(all.begin(), all.end(), [&](const Service &n) { return n.name == it.first; })) {
            changes.push_back({it.second, nullptr});
        }
    }
    return changes;
}

TablePointer Balancer::State::find(std::string_view service) const
{
    LockGuard lock(mutex);
    const auto it = tables.find(service);
    return it == tables.end() ? nullptr : it->second;
}

std::vector<TablePointer> Balancer::State::all() const
{
    LockGuard lock(mutex);
    std::vector<TablePointer> out;
    for (const auto &[name, table] : tables) {
        out.push_back(table);
    }
    return out;
}

Result<Permit> Balancer::State::tryAcquire(SharedTable &shared, const AcquireRequest &request, bool &mustWait)
{
    LockGuard lock(shared.mutex);
    const TimePoint now = clock.now();
    const Code admitted = request.onlyFree ? shared.table.arrive(request, now) : shared.table.admit(request, now);
    if (admitted != Code::Ok) {
        return fail(admitted);
    }
    mustWait = shared.table.holdsBack(request, now);
    if (mustWait) {
        return fail(Code::QueueFull);
    }
    const Choice choice =
        request.onlyFree ? shared.table.chooseFree(request, now) : shared.table.choose(request, now, Duration(0));
    shared.counters.countChoices(shared.table);
    if (choice.target != nullptr) {
        inFlight.fetch_add(1, std::memory_order_relaxed);
        const uint32_t caller = fairShareBucket(request);
        return shared.table.grant(*choice.target, request, caller, now, Duration(0));
    }
    mustWait = choice.code == Code::Ok;
    return fail(mustWait ? Code::QueueFull : choice.code);
}

uint64_t Balancer::State::enqueue(SharedTable &shared, const AcquireRequest &request, GrantHook granted)
{
    std::vector<ResolvedWait> resolved;
    const uint64_t id = nextWaitId.fetch_add(1, std::memory_order_relaxed);
    Code code = Code::Ok;
    {
        LockGuard lock(shared.mutex);
        const TimePoint now = clock.now();
        code = shared.table.wait(request, id, granted, now, resolved);
        shared.table.processQueue(now, resolved);
    }
    shared.counters.waited.Increment();
    if (code != Code::Ok) {
        resolved.push_back({std::move(granted), fail(code)});
    }
    deliver(shared, resolved);
    return id;
}

TimePoint Balancer::State::processQueue(SharedTable &shared)
{
    std::vector<ResolvedWait> resolved;
    TimePoint next = Never;
    {
        LockGuard lock(shared.mutex);
        next = shared.table.processQueue(clock.now(), resolved);
        shared.counters.countChoices(shared.table);
    }
    deliver(shared, resolved);
    return next;
}

void Balancer::State::cancelWait(SharedTable &shared, uint64_t waitId)
{
    std::vector<ResolvedWait> resolved;
    {
        LockGuard lock(shared.mutex);
        shared.table.cancel(waitId, resolved);
    }
    deliver(shared, resolved);
}

void Balancer::State::awaitResult(SharedTable &shared, BlockedWait &blocked)
{
    while (true) {
        const TimePoint next = processQueue(shared);
        LockGuard lock(blocked.mutex);
        if (!blocked.result) {
            blocked.resolved.waitUntil(lock, next);
        }
        if (blocked.result) {
            return;
        }
    }
}

void Balancer::State::deliver(const SharedTable &shared, std::span<ResolvedWait> resolved)
{
    for (ResolvedWait &it : resolved) {
        if (it.result) {
            inFlight.fetch_add(1, std::memory_order_relaxed);
            shared.counters.granted.Increment();
        } else {
            shared.counters.countRefusal(it.result.error().code);
        }
        it.granted(std::move(it.result));
    }
}

Balancer::Balancer(Clock &clock, Metrics &metrics, const BalancerOptions &options, BalancerHooks hooks)
    : m_state(new State{clock, metrics, options, std::move(hooks)})
{
    if (!m_state->hooks.pick) {
        m_state->hooks.pick = damaskPolicy();
    }
    if (!m_state->hooks.random) {
        m_state->hooks.random = systemRandom();
    }
}

Balancer::~Balancer() = default;

void Balancer::apply(std::shared_ptr<const Configuration> configuration)
{
    const TimePoint now = m_state->clock.now();
    for (const ServiceChange &it : m_state->changesOf(*configuration, now)) {
        std::vector<ResolvedWait> resolved;
        {
            LockGuard lock(it.shared->mutex);
            if (it.service == nullptr) {
                it.shared->table.retire(resolved);
            } else {
                it.shared->table.apply(*configuration, *it.service, now);
                it.shared->table.processQueue(now, resolved);
            }
        }
        m_state->deliver(*it.shared, resolved);
    }
}

Code Balancer::admit(const AcquireRequest &request)
{
    const TablePointer shared = m_state->find(request.service);
    if (!shared) {
        return Code::NoSuchService;
    }
    Code out = Code::Ok;
    {
        LockGuard lock(shared->mutex);
        out = shared->table.arrive(request, m_state->clock.now());
    }
    if (!request.onlyFree) {
        shared->counters.countRefusal(out);
    }
    return out;
}

Code Balancer::checkPlacement(const AcquireRequest &request)
{
    const TablePointer shared = m_state->find(request.service);
    if (!shared) {
        return Code::NoSuchService;
    }
    Code out = Code::Ok;
    {
        LockGuard lock(shared->mutex);
        out = shared->table.checkPlacement(request);
    }
    shared->counters.countRefusal(out);
    return out;
}

Result<Permit> Balancer::acquire(const AcquireRequest &request)
{
    const TablePointer shared = m_state->find(request.service);
    if (!shared) {
        return fail(Code::NoSuchService);
    }
    bool mustWait = false;
    Result<Permit> first = m_state->tryAcquire(*shared, request, mustWait);
    if (first) {
        shared->counters.granted.Increment();
        return first;
    }
    if (!mustWait || !request.mayWait) {
        if (!request.onlyFree) {
            shared->counters.countRefusal(first.error().code);
        }
        return first;
    }
    const auto blocked = std::make_shared<BlockedWait>(m_state->clock);
    const uint64_t waitId =
        m_state->enqueue(*shared, request, [blocked](Result<Permit> result) { blocked->resolve(std::move(result)); });
    uint64_t cancelId = 0;
    if (request.cancel != nullptr) {
        cancelId = request.cancel->onCancel([&] { m_state->cancelWait(*shared, waitId); });
    }
    m_state->awaitResult(*shared, *blocked);
    if (cancelId != 0) {
        request.cancel->removeCallback(cancelId);
    }
    LockGuard lock(blocked->mutex);
    return std::move(*blocked->result);
}

uint64_t Balancer::acquireLater(const AcquireRequest &request, GrantHook granted)
{
    const TablePointer shared = m_state->find(request.service);
    if (!shared) {
        granted(fail(Code::NoSuchService));
        return 0;
    }
    bool mustWait = false;
    Result<Permit> first = m_state->tryAcquire(*shared, request, mustWait);
    if (!first && mustWait && request.mayWait) {
        return m_state->enqueue(*shared, request, std::move(granted));
    }
    if (first) {
        shared->counters.granted.Increment();
    } else {
        shared->counters.countRefusal(first.error().code);
    }
    granted(std::move(first));
    return 0;
}

void Balancer::cancelWait(std::string_view service, uint64_t waitId)
{
    if (const TablePointer shared = m_state->find(service)) {
        m_state->cancelWait(*shared, waitId);
    }
}

TimePoint Balancer::processQueue(std::string_view service)
{
    const TablePointer shared = m_state->find(service);
    return shared ? m_state->processQueue(*shared) : Never;
}

bool Balancer::permitHolds(const Permit &permit)
{
    const TablePointer shared = m_state->find(permit.service);
    DAMASK_ASSERT(shared != nullptr, "ask only about permits that this balancer granted");
    bool out = false;
    {
        LockGuard lock(shared->mutex);
        out = shared->table.permitHolds(permit, m_state->clock.now());
    }
    if (!out) {
        shared->counters.lapsed.Increment();
    }
    return out;
}

void Balancer::finish(const Permit &permit, const PermitReport &report)
{
    const TablePointer shared = m_state->find(permit.service);
    DAMASK_ASSERT(shared != nullptr, "finish only permits that this balancer granted");
    std::vector<ResolvedWait> resolved;
    {
        LockGuard lock(shared->mutex);
        const TimePoint now = m_state->clock.now();
        shared->table.finish(permit, report, now);
        shared->table.processQueue(now, resolved);
    }
    const int before = m_state->inFlight.fetch_sub(1, std::memory_order_relaxed);
    DAMASK_ASSERT(before > 0, "finish each permit exactly once");
    m_state->deliver(*shared, resolved);
}

void Balancer::updateLoad(std::span<const LoadUpdate> updates)
{
    for (const TablePointer &it : m_state->all()) {
        std::vector<ResolvedWait> resolved;
        {
            LockGuard lock(it->mutex);
            const TimePoint now = m_state->clock.now();
            for (const LoadUpdate &n : updates) {
                it->table.updateLoad(n, now);
            }
            it->table.processQueue(now, resolved);
        }
        m_state->deliver(*it, resolved);
    }
}

std::vector<TargetCandidate> Balancer::bestCandidates(const AcquireRequest &request, size_t limit)
{
    const TablePointer shared = m_state->find(request.service);
    if (!shared) {
        return {};
    }
    LockGuard lock(shared->mutex);
    return shared->table.bestCandidates(request, m_state->clock.now(), limit);
}

ServicePreview Balancer::preview(const AcquireRequest &request) const
{
    const TablePointer shared = m_state->find(request.service);
    if (!shared) {
        ServicePreview out;
        out.service = request.service;
        out.code = Code::NoSuchService;
        return out;
    }
    LockGuard lock(shared->mutex);
    return shared->table.preview(request, m_state->clock.now());
}

Duration Balancer::pushBackLeft(std::string_view service) const
{
    const TablePointer shared = m_state->find(service);
    if (!shared) {
        return Duration(0);
    }
    LockGuard lock(shared->mutex);
    return shared->table.pushBackLeft(m_state->clock.now());
}

std::vector<LoadUpdate> Balancer::loadSnapshot() const
{
    std::vector<LoadUpdate> updates;
    for (const TablePointer &it : m_state->all()) {
        LockGuard lock(it->mutex);
        if (!it->table.retired()) {
            it->table.appendUpdates(m_state->clock.now(), updates);
        }
    }
    return updates;
}

std::vector<TargetStatus> Balancer::status(std::string_view service) const
{
    std::vector<TargetStatus> status;
    if (const TablePointer shared = m_state->find(service)) {
        LockGuard lock(shared->mutex);
        shared->table.appendStatus(m_state->clock.now(), status);
    }
    return status;
}

int Balancer::inFlight() const
{
    return m_state->inFlight.load(std::memory_order_relaxed);
}

} // namespace damask
