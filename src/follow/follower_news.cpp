// Store updates between nodes: which source this node follows, and what it sends to its own followers.
#include "follow/follower_state.h"

#include "base/log.h"

#include <algorithm>
#include <set>

namespace damask {

namespace {

constexpr size_t InboxCapacity = 64;                   // queued updates; a dropped one is repeated by the next answer
constexpr Duration UnknownAge = std::chrono::hours(1); // age reported by a node without any data
constexpr size_t MinStepBytes = 16UL * 1024;           // of changes in one message, if there are so many

} // namespace

/// The next time at which the follower's thread has work, unless an update arrives before.
TimePoint Follower::State::nextWakeUp(TimePoint now) const
{
    const TimePoint seedsDue = sources.nextDue();
    if (revision != 0 && !changesMissing && source) {
        return std::max(now, std::min({seedsDue, sources.freshUntil(), registry.nextExpiry()}));
    }
    const TimePoint needed =
        pollsContinuously() ? now : std::min(verifiedAt + sources.staleAfter(), registry.nextExpiry());
    return std::max(now, std::min(seedsDue, std::max(nextCallAt, needed)));
}

/// True for a node that has no seed to follow, and for a seed that follows no other, on behalf of its followers.
bool Follower::State::pollsContinuously() const
{
    return revision == 0 || changesMissing || options.sources.seeds.empty() || sources.isSeed();
}

/// A node without a seed to follow calls the store once its data is no longer fresh.
bool Follower::State::mustCallStore(TimePoint now)
{
    chooseSource(now);
    if (source && !changesMissing && revision != 0) {
        return false;
    }
    return pollsContinuously() || now - verifiedAt >= sources.staleAfter() || registry.nextExpiry() <= now;
}

void Follower::State::chooseSource(TimePoint now)
{
    source = sources.source(now, reachesStore);
    // Compared by address: a relay that was dropped has no index, and another one may have taken it.
    const std::string before = std::exchange(sourceAddress, source ? sources.address(*source) : std::string());
    if (sourceAddress != before) {
        logEvent(Severity::Info, "source-changed",
                 {{"before", before.empty() ? std::string_view("store") : before},
                  {"now", sourceAddress.empty() ? std::string_view("store") : sourceAddress},
                  {"knownAgeMs", verifiedAt == TimePoint() ? -1.0 : toMilliseconds(now - verifiedAt)},
                  {"revision", revision}});
        const std::string_view kind = !source ? "store" : sources.isRelay(*source) ? "relay" : "seed";
        metrics.count("damask_source_changes_total", {{"source", kind}});
    }
    LockGuard lock(mutex);
    hops = sources.hops();
    status.source = sourceAddress;
}

void Follower::State::sendDueRequests()
{
    const std::vector<SeedRequest> requests = sources.dueRequests(clock.now(), revision);
    if (!requests.empty()) {
        hooks.sendRequests(requests);
    }
}

void Follower::State::processInbox()
{
    std::vector<StoreNews> news;
    {
        LockGuard lock(mutex);
        news.swap(inbox);
    }
    for (StoreNews &it : news) {
        applyNews(it);
    }
}

/// An update that begins after this node's revision would leave a gap; it is ignored, and the next answer carries the
/// missing changes. One of several steps proves nothing about newer changes; the next step is asked for at once.
void Follower::State::applyNews(StoreNews &news)
{
    const auto verified = sources.handleAnswer(news, clock.now());
    if (revision == 0 || news.from > revision) {
        return;
    }
    if (!news.whole) {
        changesMissing = changesMissing || (verified && news.revision > revision);
        return;
    }
    for (StoreChange &it : news.changes) {
        if (it.revision > revision) {
            applyChange(it);
        }
    }
    if (verified && !news.more) {
        registry.verified(*verified);
    }
    const bool advanced = news.revision > revision;
    revision = std::max(revision, news.revision);
    changesMissing = changesMissing && news.more;
    if (verified && *verified > verifiedAt && clock.now() - *verified < sources.staleAfter()) {
        markStoreReachable(*verified);
        changed = registry.expire(clock.now()) || changed;
    }
    record(news.changes, revision, verifiedAt);
    if (advanced) {
        hooks.newsAvailable();
    }
}

/// Logs the changes for the nodes that follow this one.
void Follower::State::record(std::span<const StoreChange> changes, uint64_t upTo, TimePoint verified)
{
    knownRevision = upTo;
    LockGuard lock(mutex);
    verifiedAt = std::max(verifiedAt, verified);
    status.verifiedAt = verifiedAt;
    if (!options.sources.seeds.empty()) {
        log.record(changes, upTo, clock.now());
    }
}

/// Logs the differences between a full read and the known state as changes, so that followers need no full read of
/// their own.
void Follower::State::recordList(const StoreListing &listed, TimePoint now)
{
    std::set<std::string_view> listedKeys;
    std::vector<StoreChange> differences;
    for (const StoreEntry &it : listed.entries) {
        listedKeys.insert(it.key);
        if (it.version > knownRevision && it.version <= listed.revision) {
            differences.push_back({it.key, it.value, it.version});
        }
    }
    for (const RegisteredTarget &it : registry.targets()) {
        std::string key = options.targetPrefix + it.id;
        if (!listedKeys.contains(key)) {
            differences.push_back({std::move(key), std::nullopt, listed.revision});
        }
    }
    std::sort(differences.begin(), differences.end(),
              [](const auto &a, const auto &b) { return a.revision < b.revision; });
    {
        LockGuard lock(mutex);
        if (knownRevision == 0) {
            log.restart(listed.revision);
        } else {
            log.record(differences, listed.revision, now);
        }
        status.verifiedAt = verifiedAt;
    }
    if (knownRevision != 0 && hooks.newsAvailable) {
        hooks.newsAvailable();
    }
    knownRevision = listed.revision;
}

void Follower::receive(StoreNews news)
{
    LockGuard lock(m_state->mutex);
    if (m_state->inbox.size() < InboxCapacity) {
        m_state->inbox.push_back(std::move(news));
        m_state->wake.notifyAll();
    }
}

StoreNews Follower::news(const FollowRequest &request, size_t maxBytes) const
{
    const State &state = *m_state;
    LockGuard lock(state.mutex);
    StoreNews out{.number = request.number, .from = request.revision, .revision = state.log.revision()};
    const bool everVerified = state.status.verifiedAt != TimePoint();
    out.age = everVerified ? state.clock.now() - state.status.verifiedAt : UnknownAge;
    out.hops = state.hops;
    if (!request.follows) {
        out.whole = out.revision <= request.revision;
        return out;
    }
    auto step = state.log.since(request.revision, std::max(maxBytes, MinStepBytes));
    out.whole = step.has_value();
    if (step) {
        out.more = step->more;
        out.revision = step->more ? step->changes.back().revision : out.revision;
        out.changes = std::move(step->changes);
    }
    return out;
}

} // namespace damask
