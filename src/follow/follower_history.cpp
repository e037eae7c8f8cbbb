#include "base/log.h"
#include "follow/follower_state.h"

namespace damask {

namespace {

constexpr Duration OlderCheckInterval = std::chrono::seconds(5); // a member of the store that lags must not cause a
                                                                 // full read with each call

} // namespace

/// When the store has had nothing newer than the answer to a long poll. A store that waits in vain answers after the
/// wait; any other answer may have been on its way since it was asked.
TimePoint Follower::State::provenAt(const StoreChanges &answer, TimePoint requestedAt, Duration wait) const
{
    const bool waitedInVain = answer.changes.empty() && clock.now() - requestedAt >= wait;
    return waitedInVain ? requestedAt + wait : requestedAt;
}

/// Whether the store may have returned with an older state, as from a backup: at `storeRevision`, which was confirmed
/// later than this node's revision. A full read decides, since a member of the store may lag instead.
bool Follower::State::mayHaveReturnedOlder(uint64_t storeRevision, TimePoint confirmedAt)
{
    const TimePoint now = clock.now();
    const bool checked = olderCheckedAt != TimePoint() && now - olderCheckedAt < OlderCheckInterval;
    if (storeRevision >= revision || confirmedAt < revisionAt || checked) {
        return false;
    }
    olderCheckedAt = now;
    return true;
}

/// Whether an answer of the store is from an earlier era than this node's data, as from a member that has not returned
/// with the others. It counts as no answer.
bool Follower::State::isBehind(std::optional<uint64_t> answeredEra, std::string_view call)
{
    if (!answeredEra || *answeredEra >= era) {
        return false;
    }
    markStoreLost(call, {Code::StoreUnavailable,
                         "answered in era " + std::to_string(*answeredEra) + ", after era " + std::to_string(era)});
    return true;
}

/// The only way into an era: called with each full read. What the node knew before is replaced by the list, unless the
/// list is its first.
void Follower::State::enterEra(uint64_t listedEra, uint64_t storeRevision)
{
    if (listedEra == era) {
        return;
    }
    if (knownRevision != 0) {
        metrics.count("damask_store_era_changes_total");
        logEvent(Severity::Warning, "store-era-changed",
                 {{"era", listedEra}, {"before", era}, {"revision", storeRevision}, {"known", knownRevision}});
        restartHistory();
        registry.storeLost(clock.now()); // it was away, although no call of this node may have failed
    }
    era = listedEra;
    sources.enterEra(era);
    LockGuard lock(mutex);
    status.era = era;
}

/// The store has returned with an older state, but names no era that would show it.
void Follower::State::acceptOlderStore(uint64_t storeRevision)
{
    metrics.count("damask_store_older_total");
    logEvent(Severity::Error, "store-older", {{"revision", storeRevision}, {"known", knownRevision}});
    restartHistory();
}

/// Forgets all revisions known so far: they say nothing about the new ones, which may repeat them. Versions of the
/// configuration still only increase. Nodes that follow this one notice the other era, or the lower revision, by
/// themselves.
void Follower::State::restartHistory()
{
    registry.forgetRevisions();
    knownRevision = 0;
    LockGuard lock(mutex);
    current = {};
    previous = {};
    packedWhole.reset();
    packedDifference.reset();
}

} // namespace damask
