// Store updates between nodes: which source this node follows, and what it sends to its own followers.
#include "follow/follower_state.h"

#include "base/log.h"

#include <algorithm>
#include <utility>

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

/// An update of a later era can't be applied; a full read follows. One that begins after this node's revision would
/// leave a gap; it is ignored, and the next answer carries the missing changes. One of several steps proves nothing
/// about newer changes; the next step is asked for at once.
void Follower::State::applyNews(StoreNews &news)
{
    const auto verified = sources.handleAnswer(news, clock.now());
    if (revision == 0 || news.era < era) {
        return;
    }
    if (news.era > era) {
        revision = 0;
        return;
    }
    if (news.from > revision) {
        return;
    }
    // A source that the store confirmed before this node learned its revision is only behind. A reply of the store is
    // as old as it takes to arrive, which on a slow link can be a second.
    if (verified && mayHaveReturnedOlder(news.revision, *verified - sources.staleAfter())) {
        revision = 0;
        return;
    }
    if (!news.whole) {
        changesMissing = changesMissing || (verified && news.revision > revision);
        return;
    }
    if (!unpack(news)) {
        changesMissing = true;
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
    if (advanced) {
        revision = news.revision;
        revisionAt = clock.now();
    }
    changesMissing = changesMissing && news.more;
    if (verified && *verified > verifiedAt && clock.now() - *verified < sources.staleAfter()) {
        markStoreReachable(*verified);
        changed = registry.expire(clock.now()) || changed;
    }
    record(news.changes, revision, verifiedAt, news.gaps);
    if (advanced) {
        hooks.newsAvailable();
    }
}

/// Replaces packed changes by plain ones. False if one can't be read; the store has it.
bool Follower::State::unpack(StoreNews &news)
{
    for (PackedChange &it : news.packed) {
        if (it.revision <= revision) {
            continue;
        }
        StoredValue base;
        {
            LockGuard lock(mutex);
            base = it.base == current.revision ? current : StoredValue();
        }
        auto value =
            it.base != 0 && !base.bytes
                ? Result<std::string>(fail(Code::BadMessage, "the value that it was packed against is not here"))
                : unpackValue(it.value, it.base != 0 ? std::string_view(*base.bytes) : std::string_view());
        if (!value) {
            metrics.countCode("damask_packed_changes_refused_total", value.error().code);
            logEvent(Severity::Warning, "packed-change-refused",
                     {{"key", it.key}, {"revision", it.revision}, {"base", it.base}, {"detail", value.error().detail}});
            return false;
        }
        news.changes.push_back({std::move(it.key), std::move(*value), it.revision});
    }
    std::stable_sort(news.changes.begin(), news.changes.end(),
                     [](const StoreChange &left, const StoreChange &right) { return left.revision < right.revision; });
    return true;
}

/// Keeps the value for followers, and to unpack the next one. Under mutex.
void Follower::State::keepConfiguration(std::string value, uint64_t entryRevision)
{
    if (options.sources.seeds.empty() || entryRevision <= current.revision) {
        return;
    }
    previous = hasFollowers ? std::move(current) : StoredValue();
    current = {std::make_shared<const std::string>(std::move(value)), entryRevision};
    packedWhole.reset();
    packedDifference.reset();
}

/// Logs the changes for the nodes that follow this one. Takes the value of the configuration.
void Follower::State::record(std::span<StoreChange> changes, uint64_t upTo, TimePoint verified,
                             std::span<const HistoryGap> gaps)
{
    knownRevision = upTo;
    LockGuard lock(mutex);
    for (StoreChange &it : changes) {
        if (it.key == options.configurationKey && it.value) {
            keepConfiguration(std::exchange(*it.value, std::string()), it.revision);
        }
    }
    verifiedAt = std::max(verifiedAt, verified);
    status.verifiedAt = verifiedAt;
    if (!options.sources.seeds.empty()) {
        log.record(changes, upTo, clock.now(), gaps);
    }
}

void Follower::receive(StoreNews news)
{
    LockGuard lock(m_state->mutex);
    if (m_state->inbox.size() < InboxCapacity) {
        m_state->inbox.push_back(std::move(news));
        m_state->wake.notifyAll();
    }
}

/// The current value, against the previous one if the receiver has that.
Result<PackedChange> Follower::State::packConfiguration(uint64_t knownBy)
{
    const bool differs = previous.bytes && knownBy >= previous.revision;
    std::optional<PackedChange> &kept = differs ? packedDifference : packedWhole;
    if (!kept) {
        auto packed = packValue(*current.bytes, differs ? std::string_view(*previous.bytes) : std::string_view());
        if (!packed) {
            return tl::make_unexpected(packed.error());
        }
        kept = PackedChange{.key = options.configurationKey,
                            .value = std::move(*packed),
                            .base = differs ? previous.revision : 0,
                            .revision = current.revision};
        metrics.count("damask_configuration_packed_total", {{"form", differs ? "difference" : "whole"}});
    }
    return *kept;
}

/// Puts the value of the configuration, which the log does not have, into the news. Under mutex.
void Follower::State::fillConfiguration(StoreNews &news, const FollowRequest &request)
{
    const auto it = std::find_if(news.changes.begin(), news.changes.end(), [this](const StoreChange &change) {
        return change.key == options.configurationKey && change.value;
    });
    if (it == news.changes.end()) {
        return;
    }
    if (it->revision != current.revision) {
        news.whole = false;
        news.changes.clear();
        return;
    }
    auto packed = request.unpacks ? packConfiguration(request.revision) : Result<PackedChange>(fail(Code::NotFound));
    if (packed) {
        news.packed.push_back(std::move(*packed));
        news.changes.erase(it);
    } else {
        it->value = *current.bytes;
    }
}

StoreNews Follower::news(const FollowRequest &request, size_t maxBytes) const
{
    State &state = *m_state;
    LockGuard lock(state.mutex);
    const StorePosition position = state.log.position();
    StoreNews out{.number = request.number, .from = request.revision, .revision = position.revision};
    out.era = position.era;
    const bool everVerified = state.status.verifiedAt != TimePoint();
    out.age = everVerified ? state.clock.now() - state.status.verifiedAt : UnknownAge;
    out.hops = state.hops;
    if (!request.follows) {
        out.whole = position <= request.position();
        return out;
    }
    if (request.era != position.era) {
        out.whole = false;
        return out;
    }
    auto step = state.log.since(request.revision, std::max(maxBytes, MinStepBytes));
    out.whole = step.has_value();
    if (step) {
        out.more = step->more;
        out.revision = step->revision;
        out.changes = std::move(step->changes);
        out.gaps = std::move(step->gaps);
        state.hasFollowers = true;
        state.fillConfiguration(out, request);
    }
    return out;
}

} // namespace damask
