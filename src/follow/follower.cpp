#include "follow/follower.h"

#include "base/check.h"
#include "base/log.h"
#include "base/thread.h"
#include "follow/compose.h"

#include <algorithm>
#include <set>

namespace damask {

namespace {

constexpr size_t InboxLimit = 64; // news that wait to be taken; what is dropped comes again with the next answer
constexpr Duration NeverHeardAge = std::chrono::hours(1); // told as the age of news by a node that has none

} // namespace

struct Follower::State {
    State(Clock &clockIn, Metrics &metricsIn, StoreClient &storeIn, const FollowerOptions &optionsIn,
          FollowerHooks hooksIn);

    void run();
    void callStore();
    bool readAll();
    void recordList(const StoreRead &listed, TimePoint now);
    bool pollOnce();
    void take(const StoreChange &change);
    void takeConfiguration(std::string_view value, uint64_t revision);
    void takeTarget(std::string_view id, std::string_view value, uint64_t revision,
                    std::vector<RegisteredTarget> *into);
    void publish();
    void storeFailed(std::string_view call, const Error &error);
    void storeAnswered(TimePoint provenAt);
    bool pauseUntil(TimePoint until);
    Duration waitForPoll();
    bool storeAnswering();
    void takeNews();
    void takeOne(const StoreNews &news);
    void askSeeds();
    bool storeNeeded(TimePoint now);
    bool asksAlways() const;
    void chooseSource(TimePoint now);
    void record(std::span<const StoreChange> changes, uint64_t upTo, TimePoint provenAt);
    TimePoint nextTurn(TimePoint now) const;

    Clock &clock;
    Metrics &metrics;
    StoreClient &store;
    FollowerOptions options;
    FollowerHooks hooks;
    Backoff backoff;

    // The following thread's
    Registry registry;
    WatchedConfiguration configuration;
    bool configured = false;
    bool changed = false;        // since the last publish()
    uint64_t revision = 0;       // changes after it are polled for; 0: all has to be read
    uint64_t knownRevision = 0;  // the same, also while all is read anew
    uint64_t listedRevision = 0; // of the last list: changes up to it are known
    uint64_t published = 0;      // rises with each configuration handed on
    SourceChoice sources;
    std::optional<size_t> source; // the seed that is followed
    bool behind = false;          // there are changes that news did not carry
    bool reachesStore = false;    // the last own call to the store was answered
    TimePoint nextCall{};         // to the store, no sooner
    TimePoint provenAt{};         // the store had nothing newer than what is known

    mutable RankedMutex mutex{LockRank::Control};
    Condition wake;
    FollowStatus status;          // under mutex
    std::vector<StoreNews> inbox; // under mutex
    ChangeLog log;                // under mutex
    int hops = 0;                 // under mutex; nodes between this one and the store
    bool stopped = false;         // under mutex
    CancelToken cancel{LockRank::Attempt};
    Thread thread;
};

Follower::State::State(Clock &clockIn, Metrics &metricsIn, StoreClient &storeIn, const FollowerOptions &optionsIn,
                       FollowerHooks hooksIn)
    : clock(clockIn)
    , metrics(metricsIn)
    , store(storeIn)
    , options(optionsIn)
    , hooks(std::move(hooksIn))
    , backoff(options.sources.seeds.empty() || SourceChoice(options.sources).isSeed() ? options.backoff
                                                                                      : options.followerBackoff,
              hooks.random ? hooks.random : systemRandom())
    , registry(options.registry,
               [this](std::string_view id, RegistryEnd end, std::string_view detail) {
                   metrics.count("damask_registry_changes_total", {{"end", registryEndName(end)}});
                   if (end != RegistryEnd::Same) {
                       logEvent(Severity::Info, "target-registry",
                                {{"target", id}, {"end", registryEndName(end)}, {"detail", detail}});
                   }
               })
    , sources(options.sources)
    , wake(clockIn)
    , log(options.changeLog)
{
    DAMASK_ASSERT(options.sources.seeds.empty() || (hooks.ask && hooks.changed),
                  "with seeds, give the hooks ask and changed");
}

void Follower::State::run()
{
    bool running = true;
    while (running) {
        takeNews();
        askSeeds();
        const TimePoint now = clock.now();
        if (storeNeeded(now)) {
            if (now >= nextCall) {
                callStore();
            }
        } else if (source && registry.nextExpiry() <= now) {
            changed = registry.expire(now) || changed;
        }
        publish();
        running = pauseUntil(nextTurn(clock.now()));
    }
}

void Follower::State::callStore()
{
    const bool answered = revision == 0 ? readAll() : pollOnce();
    if (!answered) {
        nextCall = clock.now() + backoff.next();
        return;
    }
    backoff.reset();
    behind = false;
    nextCall = clock.now() + (sources.isSeed() ? options.seedGather : options.gather);
    changed = registry.expire(clock.now()) || changed;
}

/// When there is something to do again, unless news come in before.
TimePoint Follower::State::nextTurn(TimePoint now) const
{
    const TimePoint seedsDue = sources.nextDue();
    if (revision != 0 && !behind && source) {
        return std::max(now, std::min({seedsDue, sources.freshUntil(), registry.nextExpiry()}));
    }
    const TimePoint needed = asksAlways() ? now : std::min(provenAt + sources.staleAfter(), registry.nextExpiry());
    return std::max(now, std::min(seedsDue, std::max(nextCall, needed)));
}

/// A node that has none to follow, and a seed that follows no other, for those that follow it.
bool Follower::State::asksAlways() const
{
    return revision == 0 || behind || options.sources.seeds.empty() || sources.isSeed();
}

/// Nodes that have no seed to follow ask the store once what they know is no longer fresh.
bool Follower::State::storeNeeded(TimePoint now)
{
    chooseSource(now);
    if (source && !behind && revision != 0) {
        return false;
    }
    return asksAlways() || now - provenAt >= sources.staleAfter() || registry.nextExpiry() <= now;
}

void Follower::State::chooseSource(TimePoint now)
{
    const auto before = std::exchange(source, sources.source(now, reachesStore));
    if (source != before) {
        logEvent(Severity::Info, "source-changed",
                 {{"before", before ? std::string_view(sources.address(*before)) : "store"},
                  {"now", source ? std::string_view(sources.address(*source)) : "store"},
                  {"knownAgeMs", provenAt == TimePoint() ? -1.0 : toMilliseconds(now - provenAt)},
                  {"revision", revision}});
        metrics.count("damask_source_changes_total", {{"source", source ? "seed" : "store"}});
    }
    LockGuard lock(mutex);
    hops = sources.hops();
    status.source = source ? sources.address(*source) : std::string();
}

void Follower::State::askSeeds()
{
    const std::vector<SourceAsk> asks = sources.due(clock.now(), revision);
    if (!asks.empty()) {
        hooks.ask(asks);
    }
}

void Follower::State::takeNews()
{
    std::vector<StoreNews> news;
    {
        LockGuard lock(mutex);
        news.swap(inbox);
    }
    for (const StoreNews &it : news) {
        takeOne(it);
    }
}

/// News that begin after what is known here leave a gap: the next answer has what is missing.
void Follower::State::takeOne(const StoreNews &news)
{
    const auto proof = sources.heard(news, clock.now());
    if (revision == 0 || news.from > revision) {
        return;
    }
    if (!news.whole) {
        behind = behind || (proof && news.revision > revision);
        return;
    }
    for (const StoreChange &it : news.changes) {
        if (it.revision > revision) {
            take(it);
        }
    }
    const bool more = news.revision > revision;
    revision = std::max(revision, news.revision);
    if (proof && *proof > provenAt && clock.now() - *proof < sources.staleAfter()) {
        storeAnswered(*proof);
        changed = registry.expire(clock.now()) || changed;
    }
    record(news.changes, revision, provenAt);
    if (more) {
        hooks.changed();
    }
}

/// Keeps what was heard for the nodes that follow this one.
void Follower::State::record(std::span<const StoreChange> changes, uint64_t upTo, TimePoint proven)
{
    knownRevision = upTo;
    LockGuard lock(mutex);
    provenAt = std::max(provenAt, proven);
    status.heardAt = provenAt;
    if (!options.sources.seeds.empty()) {
        log.record(changes, upTo, clock.now());
    }
}

/// False when the follower stops.
bool Follower::State::pauseUntil(TimePoint until)
{
    LockGuard lock(mutex);
    while (!stopped && inbox.empty() && wake.waitUntil(lock, until)) { }
    return !stopped;
}

bool Follower::State::readAll()
{
    const auto listed = store.list(options.watchedPrefix);
    if (!listed) {
        storeFailed("list", listed.error());
        return false;
    }
    const TimePoint now = clock.now();
    reachesStore = true;
    storeAnswered(now);
    std::vector<RegisteredTarget> targets;
    for (const StoreEntry &it : listed->entries) {
        if (it.key == options.configurationKey) {
            takeConfiguration(it.value, it.version);
        } else if (it.key.starts_with(options.targetPrefix)) {
            takeTarget(std::string_view(it.key).substr(options.targetPrefix.size()), it.value, it.version, &targets);
        }
    }
    recordList(*listed, now);
    registry.replace(targets, listed->revision, now);
    changed = true;
    revision = listed->revision;
    listedRevision = revision;
    logEvent(Severity::Info, "store-read",
             {{"revision", revision},
              {"targets", static_cast<uint64_t>(targets.size())},
              {"version", configuration.version}});
    return true;
}

/// What differs from what was known is told on as changes, so that followers need no list of their own.
void Follower::State::recordList(const StoreRead &listed, TimePoint now)
{
    std::set<std::string_view> there;
    std::vector<StoreChange> differs;
    for (const StoreEntry &it : listed.entries) {
        there.insert(it.key);
        if (it.version > knownRevision && it.version <= listed.revision) {
            differs.push_back({it.key, it.value, it.version});
        }
    }
    for (const RegisteredTarget &it : registry.targets()) {
        std::string key = options.targetPrefix + it.id;
        if (!there.contains(key)) {
            differs.push_back({std::move(key), std::nullopt, listed.revision});
        }
    }
    std::sort(differs.begin(), differs.end(), [](const auto &a, const auto &b) { return a.revision < b.revision; });
    {
        LockGuard lock(mutex);
        if (knownRevision == 0) {
            log.restart(listed.revision);
        } else {
            log.record(differs, listed.revision, now);
        }
    }
    if (knownRevision != 0 && hooks.changed) {
        hooks.changed();
    }
    knownRevision = listed.revision;
}

/// Held entries have to end in time, also when nothing changes. While the store is away, a call only asks whether it is
/// back: one that waits would stay unanswered beyond its return.
Duration Follower::State::waitForPoll()
{
    if (!storeAnswering()) {
        return Duration::zero();
    }
    const Duration most = options.sources.seeds.empty() ? options.pollWait : options.seedPollWait;
    const TimePoint expiry = registry.nextExpiry();
    if (expiry == Never) {
        return most;
    }
    return std::clamp(expiry - clock.now(), Duration(std::chrono::milliseconds(1)), most);
}

bool Follower::State::storeAnswering()
{
    LockGuard lock(mutex);
    return status.storeAnswers;
}

bool Follower::State::pollOnce()
{
    auto changes = store.poll(options.watchedPrefix, revision, waitForPoll(), cancel);
    if (!changes) {
        if (changes.error().code == Code::StoreHistoryGone) {
            logEvent(Severity::Warning, "store-history-gone", {{"revision", revision}});
            revision = 0;
            return readAll();
        }
        storeFailed("poll", changes.error());
        return false;
    }
    const TimePoint now = clock.now();
    reachesStore = true;
    storeAnswered(now);
    for (const StoreChange &it : changes->changes) {
        take(it);
    }
    const bool more = changes->revision > revision;
    revision = std::max(revision, changes->revision);
    record(changes->changes, revision, now);
    if (more && hooks.changed) {
        hooks.changed();
    }
    return true;
}

void Follower::State::take(const StoreChange &change)
{
    if (change.revision <= listedRevision) {
        return;
    }
    if (change.key == options.configurationKey) {
        if (change.value) {
            takeConfiguration(*change.value, change.revision);
        }
        return;
    }
    if (!change.key.starts_with(options.targetPrefix)) {
        return;
    }
    const std::string_view id = std::string_view(change.key).substr(options.targetPrefix.size());
    if (change.value) {
        takeTarget(id, *change.value, change.revision, nullptr);
    } else {
        registry.remove(id, change.revision, clock.now());
    }
    changed = true;
}

void Follower::State::takeConfiguration(std::string_view value, uint64_t writtenAt)
{
    auto read = hooks.readConfiguration(value);
    if (!read) {
        metrics.countCode("damask_configuration_refusals_total", read.error().code);
        logEvent(Severity::Error, "configuration-refused",
                 {{"revision", writtenAt}, {"code", codeNumber(read.error().code)}, {"detail", read.error().detail}});
        return;
    }
    if (configured && read->version <= configuration.version) {
        if (read->version < configuration.version) {
            metrics.countCode("damask_configuration_refusals_total", Code::OlderRevision);
            logEvent(Severity::Warning, "configuration-older",
                     {{"revision", writtenAt}, {"version", read->version}, {"inForce", configuration.version}});
        }
        return;
    }
    configuration = std::move(*read);
    configured = true;
    changed = true;
}

/// An entry that can't be read names no target to use; the others hold.
void Follower::State::takeTarget(std::string_view id, std::string_view value, uint64_t writtenAt,
                                 std::vector<RegisteredTarget> *into)
{
    auto read = hooks.readTarget(id, value);
    if (!read) {
        metrics.countCode("damask_store_bad_targets_total", read.error().code);
        logEvent(Severity::Warning, "target-refused",
                 {{"target", id}, {"revision", writtenAt}, {"detail", read.error().detail}});
        if (into == nullptr) {
            registry.remove(id, writtenAt, clock.now());
        }
        return;
    }
    read->revision = writtenAt;
    if (into != nullptr) {
        into->push_back(std::move(*read));
    } else {
        registry.put(*read);
    }
}

void Follower::State::publish()
{
    if (!changed) {
        LockGuard lock(mutex);
        status.revision = revision;
        return;
    }
    const std::vector<RegisteredTarget> targets = registry.targets();
    {
        LockGuard lock(mutex);
        status.version = configuration.version;
        status.revision = revision;
        status.targets = targets.size();
    }
    changed = false;
    if (!configured) {
        return;
    }
    ++published;
    hooks.apply(std::make_shared<const Configuration>(compose(configuration, targets, options.dataCentres, published)),
                configuration);
}

void Follower::State::storeFailed(std::string_view call, const Error &error)
{
    if (error.code == Code::Cancelled) {
        return;
    }
    registry.storeLost();
    reachesStore = false;
    LockGuard lock(mutex);
    if (status.storeAnswers || status.heardAt == TimePoint()) {
        logEvent(Severity::Warning, "store-lost",
                 {{"call", call}, {"code", codeNumber(error.code)}, {"detail", error.detail}, {"revision", revision}});
    }
    status.storeAnswers = false;
}

/// The store answered, or a seed that it answers said so.
void Follower::State::storeAnswered(TimePoint proven)
{
    registry.storeBack(clock.now());
    provenAt = std::max(provenAt, proven);
    LockGuard lock(mutex);
    if (!status.storeAnswers) {
        const Duration away = status.heardAt == TimePoint() ? Duration::zero() : clock.now() - status.heardAt;
        logEvent(Severity::Info, "store-back",
                 {{"awayMs", toMilliseconds(away)}, {"revision", revision}, {"source", status.source}});
    }
    status.storeAnswers = true;
    status.heardAt = provenAt;
}

Follower::Follower(Clock &clock, Metrics &metrics, StoreClient &store, const FollowerOptions &options,
                   FollowerHooks hooks)
    : m_state(std::make_unique<State>(clock, metrics, store, options, std::move(hooks)))
{
}

Follower::~Follower()
{
    stop();
}

void Follower::start()
{
    m_state->thread = Thread("follow", [this] { m_state->run(); });
}

void Follower::stop()
{
    {
        LockGuard lock(m_state->mutex);
        m_state->stopped = true;
        m_state->wake.notifyAll();
    }
    m_state->cancel.cancel();
    m_state->thread.join();
}

void Follower::hear(StoreNews news)
{
    LockGuard lock(m_state->mutex);
    if (m_state->inbox.size() < InboxLimit) {
        m_state->inbox.push_back(std::move(news));
        m_state->wake.notifyAll();
    }
}

StoreNews Follower::news(const FollowRequest &request, size_t mostBytes) const
{
    const State &state = *m_state;
    LockGuard lock(state.mutex);
    StoreNews out{.number = request.number, .from = request.revision, .revision = state.log.revision()};
    const bool heard = state.status.heardAt != TimePoint();
    out.age = heard ? state.clock.now() - state.status.heardAt : NeverHeardAge;
    out.hops = state.hops;
    auto changes = state.log.since(request.revision, request.follows ? mostBytes : 0);
    out.whole = changes.has_value();
    if (changes) {
        out.changes = std::move(*changes);
    }
    return out;
}

FollowStatus Follower::status() const
{
    LockGuard lock(m_state->mutex);
    return m_state->status;
}

} // namespace damask
