#include "follow/follower.h"

#include "base/check.h"
#include "base/log.h"
#include "follow/compose.h"
#include "follow/follower_state.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace damask {

namespace {

constexpr size_t MaxPartLines = 8;            // log lines for the refused parts of one configuration
constexpr double RegistryLinesPerSecond = 20; // log lines for changes of targets; the metrics count all
constexpr double RegistryLineBurst = 100;

/// Calls a decoder of outside data. Whatever one entry makes it throw, the others are still read.
template<class T, class Decoder>
Result<T> decode(const Decoder &decoder)
{
    try {
        return decoder();
    } catch (const std::exception &ec) {
        return fail(Code::SystemError, std::string("the decoder failed: ") + ec.what());
    }
}

} // namespace

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
    , registry(options.registry, [this](std::string_view id, RegistryOutcome outcome,
                                        std::string_view detail) { recordRegistryChange(id, outcome, detail); })
    , evacuations(options.dataCentres,
                  [this](std::string_view dataCentre, EvacuationOutcome outcome, uint64_t entryRevision) {
                      recordEvacuation(dataCentre, outcome, entryRevision);
                  })
    , sources(options.sources)
    , registryLines({.perSecond = RegistryLinesPerSecond, .burst = RegistryLineBurst}, clockIn.now())
    , wake(clockIn)
    , log(options.changeLog)
{
    DAMASK_ASSERT(options.sources.seeds.empty() || (hooks.sendRequests && hooks.newsAvailable),
                  "with seeds, set the hooks sendRequests and newsAvailable");
}

/// The targets of the first read are counted by its own log line.
void Follower::State::recordRegistryChange(std::string_view id, RegistryOutcome outcome, std::string_view detail)
{
    metrics.count("damask_registry_changes_total", {{"end", registryOutcomeName(outcome)}});
    if (outcome == RegistryOutcome::Same || (outcome == RegistryOutcome::Added && listedRevision == 0)) {
        return;
    }
    if (!registryLines.take(1, clock.now())) {
        ++registryLinesLeftOut;
        return;
    }
    logEvent(Severity::Info, "target-registry",
             {{"target", id},
              {"end", registryOutcomeName(outcome)},
              {"detail", detail},
              {"linesLeftOut", std::exchange(registryLinesLeftOut, 0)}});
}

void Follower::State::recordEvacuation(std::string_view dataCentre, EvacuationOutcome outcome, uint64_t entryRevision)
{
    metrics.count("damask_evacuation_changes_total", {{"change", evacuationOutcomeName(outcome)}});
    const bool mistyped = outcome == EvacuationOutcome::Unknown || outcome == EvacuationOutcome::Ignored;
    logEvent(mistyped ? Severity::Error : Severity::Warning, "evacuation-changed",
             {{"dataCentre", dataCentre},
              {"change", evacuationOutcomeName(outcome)},
              {"revision", entryRevision},
              {"source", sourceAddress.empty() ? std::string_view("store") : sourceAddress}});
}

/// The data centre that a key evacuates; none for other keys.
std::optional<std::string_view> Follower::State::evacuationOf(std::string_view key) const
{
    const std::string &prefix = options.evacuationPrefix;
    return !prefix.empty() && key.starts_with(prefix) ? std::optional(key.substr(prefix.size())) : std::nullopt;
}

void Follower::State::run()
{
    const bool asksSeeds = !options.sources.seeds.empty() && !sources.isSeed() && !options.systemStarts;
    nextCallAt = asksSeeds ? clock.now() + options.startDelay : TimePoint();
    bool running = true;
    while (running) {
        processInbox();
        sendDueRequests();
        const TimePoint now = clock.now();
        if (mustCallStore(now)) {
            const bool seedAnswered = !called && source;
            if (now >= nextCallAt || seedAnswered) {
                callStore();
            }
        } else if (source && registry.nextExpiry() <= now) {
            changed = registry.expire(now) || changed;
        }
        publish();
        running = sleepUntil(nextWakeUp(clock.now()));
    }
}

void Follower::State::callStore()
{
    called = true;
    const ListFreshness freshness = mayStartStale() ? ListFreshness::MayBeStale : ListFreshness::Latest;
    const bool answered = revision == 0 ? readSnapshot(freshness) : pollOnce();
    if (!answered) {
        nextCallAt = clock.now() + backoff.next();
        return;
    }
    backoff.reset();
    changesMissing = false;
    const Duration delay = verifiedAt == TimePoint() ? options.startDelay
                           : sources.isSeed()        ? options.seedPollDelay
                                                     : options.pollDelay;
    nextCallAt = clock.now() + delay;
    changed = registry.expire(clock.now()) || changed;
}

/// Also returns when an update arrives. False when the follower stops.
bool Follower::State::sleepUntil(TimePoint until)
{
    LockGuard lock(mutex);
    while (!stopped && inbox.empty() && wake.waitUntil(lock, until)) { }
    return !stopped;
}

/// The wait is limited by the next hold to expire, so that holds end in time even when nothing changes. While the
/// store is unreachable the timeout is zero: the call only tests whether the store has recovered, and a long poll
/// would stay unanswered beyond its recovery. An answer that proves less than the time at which it arrived is followed
/// by a shorter poll, so that a change makes the data no older than the usual interval between two proofs.
Duration Follower::State::nextPollTimeout()
{
    if (!storeIsReachable()) {
        return Duration::zero();
    }
    const bool hasSeeds = !options.sources.seeds.empty();
    const Duration plain = hasSeeds ? options.seedPollTimeout : options.pollTimeout;
    const Duration most = configuration.accounts ? std::min(plain, options.accountPollTimeout) : plain;
    const Duration longest = std::max(most - lastProofAge, Duration::zero());
    const TimePoint expiry = registry.nextExpiry();
    if (expiry == Never) {
        return longest;
    }
    return std::clamp(expiry - clock.now(), std::min(Duration(std::chrono::milliseconds(1)), longest), longest);
}

bool Follower::State::storeIsReachable()
{
    LockGuard lock(mutex);
    return status.storeReachable;
}

bool Follower::State::pollOnce()
{
    Duration wait = nextPollTimeout();
    TimePoint requestedAt = clock.now();
    auto changes = store.poll(options.watchedPrefix, revision, wait, cancel);
    if (!changes && changes.error().code == Code::StoreUnavailable && storeIsReachable()) {
        // A waiting poll may be cut while the store is well. Only a second failure shows an outage.
        logEvent(Severity::Info, "store-poll-cut", {{"detail", changes.error().detail}, {"revision", revision}});
        const TimePoint failedAt = clock.now();
        wait = Duration::zero();
        requestedAt = failedAt;
        changes = store.poll(options.watchedPrefix, revision, Duration::zero(), cancel);
        if (!changes) {
            registry.storeLost(failedAt);
        }
    }
    if (!changes) {
        if (changes.error().code == Code::StoreHistoryGone || changes.error().code == Code::StoreHistoryLarge) {
            const bool gone = changes.error().code == Code::StoreHistoryGone;
            logEvent(Severity::Warning, gone ? "store-history-gone" : "store-history-large",
                     {{"revision", revision}, {"detail", changes.error().detail}});
            revision = 0;
            return readSnapshot(ListFreshness::Latest);
        }
        markStoreLost("poll", changes.error());
        return false;
    }
    const TimePoint proven = provenAt(*changes, requestedAt, wait);
    lastProofAge = clock.now() - proven;
    if (isBehind(changes->era, "poll")) {
        return false;
    }
    reachesStore = true;
    if (changes->era.value_or(era) > era || mayHaveReturnedOlder(changes->revision, revisionAt)) {
        return readSnapshot(ListFreshness::Latest);
    }
    markStoreReachable(proven);
    for (StoreChange &it : changes->changes) {
        applyChange(it);
    }
    registry.verified(proven);
    const bool advanced = changes->revision > revision;
    if (advanced) {
        revision = changes->revision;
        revisionAt = clock.now();
    }
    record(changes->changes, revision, proven);
    if (advanced && hooks.newsAvailable) {
        hooks.newsAvailable();
    }
    return true;
}

/// A target's entry that can't be decoded, and the value of an evacuation, are emptied, so that followers get no large
/// value that they can't use either.
void Follower::State::applyChange(StoreChange &change)
{
    if (change.revision <= listedRevision) {
        return;
    }
    if (change.key == options.configurationKey) {
        if (change.value) {
            applyConfiguration(*change.value, change.revision);
        }
        return;
    }
    if (const auto dataCentre = evacuationOf(change.key)) {
        const bool differs = change.value ? evacuations.put(*dataCentre, change.revision)
                                          : evacuations.remove(*dataCentre, change.revision);
        changed = changed || differs;
        if (change.value) {
            change.value = std::string();
        }
        return;
    }
    if (!change.key.starts_with(options.targetPrefix)) {
        return;
    }
    const std::string_view id = std::string_view(change.key).substr(options.targetPrefix.size());
    if (change.value) {
        if (!applyTarget(id, *change.value, change.revision, nullptr)) {
            change.value = std::string();
        }
    } else {
        registry.remove(id, change.revision, clock.now());
    }
    changed = true;
}

void Follower::State::applyConfiguration(std::string_view value, uint64_t entryRevision)
{
    auto read = decode<WatchedConfiguration>([&] { return hooks.readConfiguration(value); });
    if (!read) {
        metrics.countCode("damask_configuration_refusals_total", read.error().code);
        logEvent(
            Severity::Error, "configuration-refused",
            {{"revision", entryRevision}, {"code", codeNumber(read.error().code)}, {"detail", read.error().detail}});
        return;
    }
    if (hasConfiguration && read->version <= configuration.version) {
        if (read->version < configuration.version) {
            metrics.countCode("damask_configuration_refusals_total", Code::OlderRevision);
            logEvent(Severity::Warning, "configuration-older",
                     {{"revision", entryRevision}, {"version", read->version}, {"inForce", configuration.version}});
        }
        return;
    }
    configuration = std::move(*read);
    hasConfiguration = true;
    changed = true;
    logRefusedParts(entryRevision);
}

void Follower::State::logRefusedParts(uint64_t entryRevision)
{
    const std::span<const std::string> parts = configuration.refused;
    for (size_t n = 0; n < parts.size(); ++n) {
        metrics.count("damask_configuration_parts_refused_total");
        if (n < MaxPartLines) {
            logEvent(Severity::Error, "configuration-part-refused",
                     {{"revision", entryRevision},
                      {"version", configuration.version},
                      {"detail", parts[n]},
                      {"parts", static_cast<uint64_t>(parts.size())}});
        }
    }
}

/// An entry that can't be decoded yields no usable target and returns false; all other targets stay in force.
bool Follower::State::applyTarget(std::string_view id, std::string_view value, uint64_t entryRevision,
                                  std::vector<RegisteredTarget> *into)
{
    auto read = decode<RegisteredTarget>([&] { return hooks.readTarget(id, value); });
    if (!read) {
        metrics.countCode("damask_store_bad_targets_total", read.error().code);
        logEvent(Severity::Warning, "target-refused",
                 {{"target", id}, {"revision", entryRevision}, {"detail", read.error().detail}});
        if (into == nullptr) {
            registry.remove(id, entryRevision, clock.now());
        }
        return false;
    }
    read->revision = entryRevision;
    read->era = era;
    if (into != nullptr) {
        into->push_back(std::move(*read));
    } else {
        registry.put(*read);
    }
    return true;
}

void Follower::State::publish()
{
    if (!changed || verifiedAt == TimePoint()) {
        LockGuard lock(mutex);
        status.revision = revision;
        return;
    }
    const std::vector<RegisteredTarget> targets = registry.targets();
    const std::vector<std::string> evacuated = evacuations.dataCentres();
    {
        LockGuard lock(mutex);
        status.version = configuration.version;
        status.revision = revision;
        status.targets = targets.size();
        status.evacuated = evacuated;
    }
    changed = false;
    if (!hasConfiguration) {
        return;
    }
    ++publishedRevision;
    hooks.apply(std::make_shared<const Configuration>(
                    composeConfiguration(configuration, targets, options.dataCentres, evacuated, publishedRevision)),
                configuration);
}

void Follower::State::markStoreLost(std::string_view call, const Error &error)
{
    if (error.code == Code::Cancelled) {
        return;
    }
    registry.storeLost(clock.now());
    reachesStore = false;
    LockGuard lock(mutex);
    if (status.storeReachable || status.verifiedAt == TimePoint()) {
        logEvent(Severity::Warning, "store-lost",
                 {{"call", call}, {"code", codeNumber(error.code)}, {"detail", error.detail}, {"revision", revision}});
    }
    status.storeReachable = false;
}

/// Called when the store has answered, or a seed has reported that the store answered it. Followers see the time only
/// together with the changes that it proves, in record() and recordList().
void Follower::State::markStoreReachable(TimePoint verified)
{
    registry.storeRecovered(clock.now());
    verifiedAt = std::max(verifiedAt, verified);
    LockGuard lock(mutex);
    if (!status.storeReachable) {
        const Duration outage = status.verifiedAt == TimePoint() ? Duration::zero() : clock.now() - status.verifiedAt;
        logEvent(Severity::Info, "store-back",
                 {{"awayMs", toMilliseconds(outage)}, {"revision", revision}, {"source", status.source}});
    }
    status.storeReachable = true;
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

FollowStatus Follower::status() const
{
    LockGuard lock(m_state->mutex);
    return m_state->status;
}

} // namespace damask
