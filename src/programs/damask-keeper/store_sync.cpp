#include "store_sync.h"

#include "base/log.h"
#include "base/worker_pool.h"
#include "store/document_watch.h"
#include "store/instance_list.h"

#include <atomic>

namespace damask {

namespace {

constexpr std::string_view DutyPrefix = "/damask/duty/";
constexpr Duration RecordsInterval = std::chrono::seconds(10); // between reads of the records, on duty
constexpr size_t PoolThreads = 2;
constexpr size_t PoolQueue = 64;

/// A periodic call with at most one run in progress.
struct PeriodicTask {
    std::atomic<bool> busy{false};
    TimePoint due; // ticking thread only
};

} // namespace

struct StoreSync::State {
    Clock &clock;
    Metrics &metrics;
    KeeperOptions options;
    MemberTable &members;
    StoreSyncHooks hooks;
    StoreClient client;
    DocumentWatch watch;
    RandomSource random = systemRandom();
    Backoff joinBackoff;

    mutable RankedMutex mutex{LockRank::Control};
    LeaseHolder lease;        // guarded by mutex
    uint64_t dutyVersion = 0; // of the duty key; 0: not written; guarded by mutex
    bool onDuty = false;      // ticking thread only
    std::atomic<bool> joined{false};
    std::atomic<bool> stopping{false};

    PeriodicTask join;
    PeriodicTask poll;
    PeriodicTask list;
    PeriodicTask records;
    PeriodicTask renew;
    WorkerPool pool; // last, because its threads use all members above

    State(Clock &clockIn, Metrics &metricsIn, const KeeperOptions &optionsIn, MemberTable &membersIn,
          StoreSyncHooks hooksIn)
        : clock(clockIn)
        , metrics(metricsIn)
        , options(optionsIn)
        , members(membersIn)
        , hooks(std::move(hooksIn))
        , client(clockIn, metricsIn, optionsIn.store)
        , watch(clockIn, metricsIn, client, hooks.codec,
                {.changed =
                     [this](VersionedDocument document, std::string bytes) {
                         hooks.adopt(std::move(document), std::move(bytes), WatchSource);
                     },
                 .random = {}})
        , joinBackoff({.initialDelay = std::chrono::milliseconds(500), .maxDelay = std::chrono::seconds(10)},
                      systemRandom())
        , pool(clockIn, {.name = "store", .threads = PoolThreads, .queueLimit = PoolQueue})
    {
    }

    void startIfDue(PeriodicTask &periodic, Duration interval, std::function<void()> task)
    {
        const TimePoint now = clock.now();
        if (now < periodic.due || periodic.busy.exchange(true)) {
            return;
        }
        // Jitter of 25 % spreads the calls of keepers that started together.
        const double spread = 0.875 + 0.25 * randomUnit(random);
        periodic.due = now + Duration(static_cast<int64_t>(static_cast<double>(interval.count()) * spread));
        const auto queued = pool.submit([&periodic, task = std::move(task)] {
            task();
            periodic.busy = false;
        });
        if (!queued) {
            periodic.busy = false;
        }
    }

    std::string dutyKey() const
    {
        return std::string(DutyPrefix) + options.self.dataCentre + "/" + options.self.name;
    }

    bool joinStore()
    {
        if (const auto written = writeRecord(client, options.self); !written) {
            logEvent(Severity::Warning, "join-failed",
                     {{"code", codeNumber(written.error().code)}, {"reason", written.error().detail}});
            return false;
        }
        joined = true;
        logEvent(Severity::Info, "joined", {{"incarnation", options.self.incarnation}});
        readList();
        return readDocument();
    }

    /// Returns false when the current document of the store is unknown.
    bool readDocument()
    {
        const auto entry = client.get(DocumentKey);
        if (!entry) {
            if (entry.error().code == Code::NotFound) {
                hooks.adopt(VersionedDocument{}, hooks.codec.encode(ControlDocument{}), StoreSource);
                return true;
            }
            return false;
        }
        auto document = damask::readDocument(*entry, metrics, hooks.codec);
        if (document) {
            hooks.adopt(std::move(*document), entry->value, StoreSource);
        }
        return document.has_value();
    }

    void readList()
    {
        const auto instances = fetchInstances(client);
        if (instances) {
            members.replaceListed(*instances);
        } else if (instances.error().code == Code::StoreBadValue) {
            metrics.count("damask_store_bad_values_total");
        }
    }

    void readRecords()
    {
        const auto found = fetchRecords(client);
        if (found) {
            members.replaceRecorded(*found);
        }
    }

    /// For keepers off duty. Also restores this instance's record, which may have been removed as that of a dead one.
    void slowPoll()
    {
        const auto record = client.get(std::string(MembersPrefix) + options.self.name);
        if (!record && record.error().code == Code::NotFound) {
            joined = writeRecord(client, options.self).has_value();
        }
        readDocument();
        readList();
    }

    void maintainDuty()
    {
        const TimePoint requestedAt = clock.now();
        uint64_t id = 0;
        {
            LockGuard lock(mutex);
            id = lease.id();
        }
        if (id == 0) {
            acquireDuty();
            return;
        }
        const auto left = client.renewLease(id);
        LockGuard lock(mutex);
        if (left) {
            lease.granted(id, requestedAt, *left);
        } else if (left.error().code == Code::LeaseLapsed) {
            lease.lost();
            dutyVersion = 0;
            metrics.countCode("damask_keeper_duty_refusals_total", Code::LeaseLapsed);
        }
    }

    void acquireDuty()
    {
        const TimePoint requestedAt = clock.now();
        const auto id = client.grantLease(options.leaseTime);
        if (!id) {
            return;
        }
        const auto version = client.put(dutyKey(), encodeInstance(options.self), *id);
        if (!version) {
            return; // the lease expires by itself
        }
        LockGuard lock(mutex);
        lease.granted(*id, requestedAt, options.leaseTime);
        dutyVersion = *version;
        logEvent(Severity::Info, "duty-taken", {{"lease", *id}});
    }

    void releaseDuty()
    {
        uint64_t id = 0;
        {
            LockGuard lock(mutex);
            id = lease.id();
            lease.lost();
            dutyVersion = 0;
        }
        if (id != 0 && !client.revokeLease(id)) {
            logEvent(Severity::Warning, "lease-not-revoked", {{"lease", id}}); // it expires by itself
        }
    }

    Result<StoreFence> duty() const
    {
        LockGuard lock(mutex);
        if (const auto held = lease.check(clock.now()); !held) {
            metrics.countCode("damask_keeper_duty_refusals_total", Code::LeaseLapsed);
            return tl::make_unexpected(held.error());
        }
        return StoreFence{dutyKey(), dutyVersion};
    }

    bool renewalDue() const
    {
        LockGuard lock(mutex);
        return lease.renewalDue(clock.now());
    }
};

StoreSync::StoreSync(Clock &clock, Metrics &metrics, const KeeperOptions &options, MemberTable &members,
                     StoreSyncHooks hooks)
    : m_state(std::make_unique<State>(clock, metrics, options, members, std::move(hooks)))
{
}

StoreSync::~StoreSync()
{
    stop();
}

void StoreSync::tick(bool onDuty, size_t keeperCount)
{
    State &state = *m_state;
    if (!state.joined) {
        if (state.clock.now() >= state.join.due && !state.join.busy) {
            state.startIfDue(state.join, state.joinBackoff.next(), [&state] { state.joinStore(); });
        }
        return;
    }
    if (onDuty != state.onDuty) {
        state.onDuty = onDuty;
        state.poll.due = state.clock.now() + state.options.minPollInterval;
        if (onDuty) {
            state.watch.start();
        } else {
            submit([&state] {
                state.watch.stop();
                state.releaseDuty();
            });
        }
    }
    if (!onDuty) {
        const Duration interval =
            pollInterval(keeperCount, state.options.minPollInterval, state.options.pollsPerSecond);
        state.startIfDue(state.poll, interval, [&state] { state.slowPoll(); });
        return;
    }
    state.startIfDue(state.list, state.options.listInterval, [this] {
        m_state->readList();
        removeDeadRecords();
    });
    state.startIfDue(state.records, RecordsInterval, [&state] { state.readRecords(); });
    if (state.renewalDue()) {
        state.startIfDue(state.renew, std::chrono::seconds(1), [&state] { state.maintainDuty(); });
    }
}

void StoreSync::stop()
{
    State &state = *m_state;
    if (state.stopping.exchange(true)) {
        return;
    }
    state.watch.stop();
    state.pool.drain();
    state.releaseDuty();
    if (state.joined && !removeRecord(state.client, state.options.self.name)) {
        logEvent(Severity::Warning, "record-not-removed", {{"name", state.options.self.name}});
    }
}

void StoreSync::submit(std::function<void()> task)
{
    if (const auto queued = m_state->pool.submit(std::move(task)); !queued) {
        m_state->metrics.countCode("damask_keeper_task_refusals_total", queued.error().code);
    }
}

void StoreSync::refresh()
{
    submit([this] { m_state->readDocument(); });
}

void StoreSync::rejoin(std::function<void()> done)
{
    State &state = *m_state;
    if (state.clock.now() < state.join.due || state.join.busy) {
        return;
    }
    state.startIfDue(state.join, state.joinBackoff.next(), [&state, done = std::move(done)] {
        if (state.joinStore()) {
            done();
        }
    });
}

void StoreSync::readRecords()
{
    m_state->readRecords();
}

void StoreSync::removeDeadRecords()
{
    const Duration limit = 3 * m_state->options.accept.listLag;
    bool removed = false;
    for (const MemberView &it : m_state->members.members()) {
        const bool dead = it.recorded && !it.listed && it.silent && (it.delisted || it.silence > limit);
        if (!dead || !duty()) {
            continue;
        }
        if (removeRecord(m_state->client, it.instance.name)) {
            removed = true;
            logEvent(Severity::Warning, "instance-gone",
                     {{"name", it.instance.name}, {"silenceSeconds", toSeconds(it.silence)}});
        }
    }
    if (removed) {
        m_state->readRecords();
    }
}

void StoreSync::restore(std::shared_ptr<const HeldDocument> held, uint64_t storeVersion)
{
    submit([this, held = std::move(held), storeVersion] {
        const auto fence = duty();
        if (!fence) {
            return; // a keeper on duty does it
        }
        const auto written = m_state->client.swap({.key = std::string(DocumentKey),
                                                   .value = held->bytes,
                                                   .version = storeVersion,
                                                   .lease = 0,
                                                   .fence = *fence});
        const Code code = written ? Code::Ok : written.error().code;
        m_state->metrics.countCode("damask_keeper_restores_total", code);
        logEvent(Severity::Error, "store-restored",
                 {{"code", codeNumber(code)}, {"effective", held->effective}, {"over", storeVersion}});
    });
}

Result<StoreFence> StoreSync::duty() const
{
    return m_state->duty();
}

bool StoreSync::joined() const
{
    return m_state->joined;
}

bool StoreSync::reachable() const
{
    return m_state->client.reachable();
}

DocumentStore StoreSync::documents()
{
    return makeDocumentStore(m_state->client, m_state->metrics, m_state->hooks.codec);
}

DocumentStore StoreSync::fencedDocuments()
{
    DocumentStore out = documents();
    out.swap = [this](const ControlDocument &document, uint64_t version) -> Result<uint64_t> {
        const auto fence = duty();
        if (!fence) {
            return tl::make_unexpected(fence.error());
        }
        return m_state->client.swap({.key = std::string(DocumentKey),
                                     .value = m_state->hooks.codec.encode(document),
                                     .version = version,
                                     .lease = 0,
                                     .fence = *fence});
    };
    return out;
}

} // namespace damask
