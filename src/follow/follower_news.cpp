// News of the store between nodes: whom this one hears them from, and what it tells on.
#include "follow/follower_state.h"

#include "base/log.h"

#include <algorithm>
#include <set>

namespace damask {

namespace {

constexpr size_t InboxLimit = 64; // news that wait to be taken; what is dropped comes again with the next answer
constexpr Duration NeverHeardAge = std::chrono::hours(1); // told as the age of news by a node that has none

} // namespace

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

/// What differs from what was known is told on as changes, so that followers need no list of their own.
void Follower::State::recordList(const StoreListing &listed, TimePoint now)
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

} // namespace damask
