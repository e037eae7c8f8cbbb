/// Internals of Follower: the state of its thread, and what other threads see of it. Only for follow/.
#pragma once

#include "base/lock.h"
#include "base/thread.h"
#include "base/token_bucket.h"
#include "follow/evacuations.h"
#include "follow/follower.h"

#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace damask {

/// A value of the operators' configuration, as read from the store.
struct StoredValue {
    std::shared_ptr<const std::string> bytes; // null: none
    uint64_t                           revision = 0;
};

struct Follower::State {
    State(Clock &clockIn, Metrics &metricsIn, StoreClient &storeIn, const FollowerOptions &optionsIn,
          FollowerHooks hooksIn);

    void                     run();
    void                     callStore();
    bool                     readSnapshot(ListFreshness freshness);
    bool                     mayStartStale() const;
    void                     readEntries(std::span<const StoreEntry> entries, std::vector<RegisteredTarget> &targets);
    std::vector<std::string> evacuationsIn(std::span<const StoreEntry> entries) const;
    std::optional<std::string_view> evacuationOf(std::string_view key) const;
    void      recordEvacuation(std::string_view dataCentre, EvacuationOutcome outcome, uint64_t entryRevision);
    void      startFromFirstPage(const StoreListing &page, TimePoint requestedAt);
    void      recordList(const StoreListing &listed, TimePoint now);
    bool      pollOnce();
    TimePoint provenAt(const StoreChanges &answer, TimePoint requestedAt, Duration wait) const;
    bool      mayHaveReturnedOlder(uint64_t storeRevision, TimePoint confirmedAt);
    bool      isBehind(std::optional<uint64_t> answeredEra, std::string_view call);
    void      enterEra(uint64_t listedEra, uint64_t storeRevision);
    void      acceptOlderStore(uint64_t storeRevision);
    void      restartHistory();
    void      applyChange(StoreChange &change);
    void      applyConfiguration(std::string_view value, uint64_t entryRevision);
    void      recordRegistryChange(std::string_view id, RegistryOutcome outcome, std::string_view detail);
    void      logRefusedParts(uint64_t entryRevision);
    bool      applyTarget(std::string_view id, std::string_view value, uint64_t entryRevision,
                          std::vector<RegisteredTarget> *into);
    void      publish();
    void      markStoreLost(std::string_view call, const Error &error);
    void      markStoreReachable(TimePoint verifiedAt);
    bool      sleepUntil(TimePoint until);
    Duration  nextPollTimeout();
    bool      storeIsReachable();
    void      processInbox();
    void      applyNews(StoreNews &news);
    void      sendDueRequests();
    bool      mustCallStore(TimePoint now);
    bool      pollsContinuously() const;
    void      chooseSource(TimePoint now);
    void      record(std::span<StoreChange> changes, uint64_t upTo, TimePoint verifiedAt,
                     std::span<const HistoryGap> gaps = {});
    void      keepConfiguration(std::string value, uint64_t entryRevision);
    bool      unpack(StoreNews &news);
    void      fillConfiguration(StoreNews &news, const FollowRequest &request);
    Result<PackedChange> packConfiguration(uint64_t knownBy);
    TimePoint            nextWakeUp(TimePoint now) const;

    Clock          &clock;
    Metrics        &metrics;
    StoreClient    &store;
    FollowerOptions options;
    FollowerHooks   hooks;
    Backoff         backoff;

    // Owned by the follower's thread
    Registry              registry;
    Evacuations           evacuations;
    WatchedConfiguration  configuration;
    bool                  hasConfiguration = false;
    bool                  changed = false;       // since the last publish()
    uint64_t              era = 0;               // of the store; all revisions kept here are of it. 0: none known
    uint64_t              revision = 0;          // poll for changes after it; 0: a full read is due
    uint64_t              knownRevision = 0;     // as revision, but kept while a full read is due
    uint64_t              listedRevision = 0;    // of the last full read; changes up to it are skipped
    TimePoint             revisionAt{};          // when this node learned that the store had reached `revision`
    TimePoint             olderCheckedAt{};      // last read to find out whether the store returned an older state
    uint64_t              publishedRevision = 0; // revision of the last configuration passed to apply
    SourceChoice          sources;
    std::optional<size_t> source;                 // the followed seed; none: the store
    std::string           sourceAddress;          // of the followed seed or relay; empty: the store
    bool                  changesMissing = false; // changes are missing that only the store has
    bool                  reachesStore = false;   // the last own call to the store succeeded
    TimePoint             nextCallAt{};           // earliest time of the next call to the store
    bool                  called = false;         // the store was called at least once
    TimePoint             verifiedAt{};           // when the store last had nothing newer; nothing is published before
    Duration              lastProofAge{0};        // of the last answer to a poll, when it arrived; the next is shorter
    TokenBucket           registryLines;          // log lines for changes of targets
    uint64_t              registryLinesLeftOut = 0;

    mutable RankedMutex         mutex{LockRank::Control};
    Condition                   wake;
    FollowStatus                status;   // under mutex
    std::vector<StoreNews>      inbox;    // under mutex
    ChangeLog                   log;      // under mutex; of the configuration just the revision, its value is below
    StoredValue                 current;  // under mutex; the configuration's latest value
    StoredValue                 previous; // under mutex; the one before, once the node has followers
    bool                        hasFollowers = false; // under mutex
    std::optional<PackedChange> packedWhole;          // under mutex; current
    std::optional<PackedChange> packedDifference;     // under mutex; current, against previous
    int                         hops = 0;             // under mutex; nodes between this one and the store
    bool                        stopped = false;      // under mutex
    CancelToken                 cancel{LockRank::Attempt};
    Thread                      thread;
};

} // namespace damask
