#include "follow/follower.h"

#include "base/check.h"
#include "base/log.h"
#include "base/thread.h"
#include "follow/compose.h"

#include <algorithm>

namespace damask {

struct Follower::State {
    State(Clock &clockIn, Metrics &metricsIn, StoreClient &storeIn, const FollowerOptions &optionsIn,
          FollowerHooks hooksIn);

    void run();
    bool readAll();
    bool pollOnce();
    void take(const StoreChange &change);
    void takeConfiguration(std::string_view value, uint64_t revision);
    void takeTarget(std::string_view id, std::string_view value, uint64_t revision,
                    std::vector<RegisteredTarget> *into);
    void publish();
    void storeFailed(std::string_view call, const Error &error);
    void storeAnswered();
    bool pauseUntil(TimePoint until);
    Duration waitForPoll();
    bool storeAnswering();

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
    bool changed = false;               // since the last publish()
    uint64_t revision = 0;              // changes after it are polled for; 0: all has to be read
    uint64_t configurationRevision = 0; // up to which the configuration is known
    uint64_t targetRevision = 0;        // up to which the targets are known
    uint64_t published = 0;             // rises with each configuration handed on
    TimePoint answeredAt{};

    mutable RankedMutex mutex{LockRank::Control};
    Condition wake;
    FollowStatus status;  // under mutex
    bool stopped = false; // under mutex
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
    , backoff(options.backoff, hooks.random ? hooks.random : systemRandom())
    , registry(options.registry,
               [this](std::string_view id, RegistryEnd end, std::string_view detail) {
                   metrics.count("damask_registry_changes_total", {{"end", registryEndName(end)}});
                   if (end != RegistryEnd::Same) {
                       logEvent(Severity::Info, "target-registry",
                                {{"target", id}, {"end", registryEndName(end)}, {"detail", detail}});
                   }
               })
    , wake(clockIn)
{
}

void Follower::State::run()
{
    while (!cancel.cancelled()) {
        const bool answered = revision == 0 ? readAll() : pollOnce();
        if (answered) {
            backoff.reset();
            answeredAt = clock.now();
            changed = registry.expire(answeredAt) || changed;
            publish();
        }
        const Duration pause = answered ? options.gather : backoff.next();
        if (!pauseUntil((answered ? answeredAt : clock.now()) + pause)) {
            return;
        }
    }
}

/// False when the follower stops.
bool Follower::State::pauseUntil(TimePoint until)
{
    LockGuard lock(mutex);
    while (!stopped && wake.waitUntil(lock, until)) { }
    return !stopped;
}

bool Follower::State::readAll()
{
    const auto written = store.list(options.configurationKey);
    if (!written) {
        storeFailed("list", written.error());
        return false;
    }
    const auto listed = store.list(options.targetPrefix);
    if (!listed) {
        storeFailed("list", listed.error());
        return false;
    }
    storeAnswered();
    for (const StoreEntry &it : written->entries) {
        if (it.key == options.configurationKey) {
            takeConfiguration(it.value, it.version);
        }
    }
    std::vector<RegisteredTarget> targets;
    for (const StoreEntry &it : listed->entries) {
        takeTarget(std::string_view(it.key).substr(options.targetPrefix.size()), it.value, it.version, &targets);
    }
    registry.replace(targets, listed->revision, clock.now());
    changed = true;
    configurationRevision = written->revision;
    targetRevision = listed->revision;
    revision = std::min(configurationRevision, targetRevision);
    logEvent(Severity::Info, "store-read",
             {{"revision", revision},
              {"targets", static_cast<uint64_t>(targets.size())},
              {"version", configuration.version}});
    return true;
}

/// Held entries have to end in time, also when nothing changes. While the store is away, a call only asks whether it is
/// back: one that waits would stay unanswered beyond its return.
Duration Follower::State::waitForPoll()
{
    if (!storeAnswering()) {
        return Duration::zero();
    }
    const TimePoint expiry = registry.nextExpiry();
    if (expiry == Never) {
        return options.pollWait;
    }
    return std::clamp(expiry - clock.now(), Duration(std::chrono::milliseconds(1)), options.pollWait);
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
    storeAnswered();
    for (const StoreChange &it : changes->changes) {
        take(it);
    }
    revision = std::max(revision, changes->revision);
    return true;
}

void Follower::State::take(const StoreChange &change)
{
    if (change.key == options.configurationKey) {
        if (change.value && change.revision > configurationRevision) {
            takeConfiguration(*change.value, change.revision);
        }
        return;
    }
    if (!change.key.starts_with(options.targetPrefix) || change.revision <= targetRevision) {
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
    const std::vector<RegisteredTarget> targets = registry.targets();
    {
        LockGuard lock(mutex);
        status = {true, answeredAt, configuration.version, revision, targets.size()};
    }
    if (!std::exchange(changed, false) || !configured) {
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
    LockGuard lock(mutex);
    if (status.storeAnswers || status.heardAt == TimePoint()) {
        logEvent(Severity::Warning, "store-lost",
                 {{"call", call}, {"code", codeNumber(error.code)}, {"detail", error.detail}, {"revision", revision}});
    }
    status.storeAnswers = false;
}

void Follower::State::storeAnswered()
{
    registry.storeBack(clock.now());
    LockGuard lock(mutex);
    if (!status.storeAnswers) {
        const Duration away = status.heardAt == TimePoint() ? Duration::zero() : clock.now() - status.heardAt;
        logEvent(Severity::Info, "store-back", {{"awayMs", toMilliseconds(away)}, {"revision", revision}});
    }
    status.storeAnswers = true;
    status.heardAt = clock.now();
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
