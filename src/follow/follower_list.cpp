// Full reads of the store: the first one of a node, and those after a lost history or in a new era.
#include "follow/follower_state.h"

#include "base/log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace damask {

std::vector<std::string> Follower::State::evacuationsIn(std::span<const StoreEntry> entries) const
{
    std::vector<std::string> out;
    for (const StoreEntry &it : entries) {
        if (const auto name = evacuationOf(it.key)) {
            out.emplace_back(*name);
        }
    }
    return out;
}

/// At its start, a node that follows a seed needs no more than a state to apply the seed's changes to. Without a seed
/// callers wait for its first list, unless the whole system starts. Later a stale list could bring back what was
/// removed.
bool Follower::State::mayStartStale() const
{
    const bool followsLater = !options.sources.seeds.empty() && !sources.isSeed();
    return verifiedAt == TimePoint() && knownRevision == 0 && followsLater && (source || options.systemStarts);
}

void Follower::State::readEntries(std::span<const StoreEntry> entries, std::vector<RegisteredTarget> &targets)
{
    for (const StoreEntry &it : entries) {
        if (it.key == options.configurationKey) {
            applyConfiguration(it.value, it.version);
        } else if (it.key.starts_with(options.targetPrefix)) {
            applyTarget(std::string_view(it.key).substr(options.targetPrefix.size()), it.value, it.version, &targets);
        }
    }
}

/// Serves by part of the targets while the other pages are read: when all nodes start at once, the store's link is
/// busy with their lists for a second or more. Entries are listed by key: where evacuations follow targets, the page
/// may have targets without the evacuations of their data centres. After a stale list the page would be mixed with it.
void Follower::State::startFromFirstPage(const StoreListing &page, TimePoint requestedAt)
{
    if (options.evacuationPrefix > options.targetPrefix || knownRevision != 0) {
        return;
    }
    enterEra(page.era.value_or(era), page.revision);
    markStoreReachable(requestedAt);
    std::vector<RegisteredTarget> targets;
    readEntries(page.entries, targets);
    for (const RegisteredTarget &it : targets) {
        registry.put(it);
    }
    for (const std::string &it : evacuationsIn(page.entries)) {
        evacuations.put(it, page.revision);
    }
    changed = true;
    publish();
}

/// The age of the data counts from when the list was requested: the answer may have been on its way for long.
bool Follower::State::readSnapshot(ListFreshness freshness)
{
    const bool isFirst = verifiedAt == TimePoint() && freshness == ListFreshness::Latest;
    const TimePoint requestedAt = clock.now();
    const auto listed = store.list(options.watchedPrefix, freshness, [&](const StoreListing &page) {
        if (isFirst) {
            startFromFirstPage(page, requestedAt);
        }
    });
    if (!listed) {
        markStoreLost("list", listed.error());
        return false;
    }
    const TimePoint now = clock.now();
    reachesStore = true;
    if (isBehind(listed->era, "list")) {
        return false;
    }
    enterEra(listed->era.value_or(era), listed->revision);
    if (freshness == ListFreshness::Latest && listed->revision < knownRevision) {
        acceptOlderStore(listed->revision);
    }
    if (freshness == ListFreshness::Latest) {
        markStoreReachable(requestedAt);
    }
    std::vector<RegisteredTarget> targets;
    readEntries(listed->entries, targets);
    recordList(*listed, now);
    registry.replace(targets, listed->revision, now);
    evacuations.replace(evacuationsIn(listed->entries), listed->revision);
    if (freshness == ListFreshness::Latest) {
        registry.verified(requestedAt);
    }
    changed = true;
    revision = listed->revision;
    revisionAt = now;
    listedRevision = revision;
    logEvent(Severity::Info, "store-read",
             {{"revision", revision},
              {"targets", static_cast<uint64_t>(targets.size())},
              {"version", configuration.version}});
    return true;
}

/// Logs the differences between a full read and the known state, so that followers need no full read of their own. They
/// complete only the states up to the known one: what was created and removed since is in neither.
void Follower::State::recordList(const StoreListing &listed, TimePoint now)
{
    std::set<std::string_view> listedKeys;
    std::vector<StoreChange> differences;
    for (const StoreEntry &it : listed.entries) {
        listedKeys.insert(it.key);
        const bool isConfiguration = it.key == options.configurationKey;
        if (it.version > knownRevision && it.version <= listed.revision) {
            const bool valueMatters = !isConfiguration && !evacuationOf(it.key);
            differences.push_back({it.key, valueMatters ? it.value : std::string(), it.version});
        }
    }
    for (const RegisteredTarget &it : registry.targets()) {
        std::string key = options.targetPrefix + it.id;
        if (!listedKeys.contains(key)) {
            differences.push_back({std::move(key), std::nullopt, listed.revision});
        }
    }
    for (const std::string &it : evacuations.names()) {
        std::string key = options.evacuationPrefix + it;
        if (!listedKeys.contains(key)) {
            differences.push_back({std::move(key), std::nullopt, listed.revision});
        }
    }
    std::sort(differences.begin(), differences.end(),
              [](const auto &a, const auto &b) { return a.revision < b.revision; });
    {
        LockGuard lock(mutex);
        for (const StoreEntry &it : listed.entries) {
            if (it.key == options.configurationKey) {
                keepConfiguration(it.value, it.version);
            }
        }
        if (knownRevision == 0) {
            log.restart({era, listed.revision});
        } else {
            const HistoryGap gap{knownRevision, listed.revision};
            log.record(differences, listed.revision, now, {&gap, 1});
        }
        status.verifiedAt = verifiedAt;
    }
    if (knownRevision != 0 && hooks.newsAvailable) {
        hooks.newsAvailable();
    }
    knownRevision = listed.revision;
}

} // namespace damask
