/// The inside of a Follower: its thread's state, and what other threads see of it. For follow/ alone.
#pragma once

#include "base/lock.h"
#include "base/thread.h"
#include "follow/follower.h"

#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace damask {

struct Follower::State {
    State(Clock &clockIn, Metrics &metricsIn, StoreClient &storeIn, const FollowerOptions &optionsIn,
          FollowerHooks hooksIn);

    void      run();
    void      callStore();
    bool      readAll();
    void      recordList(const StoreListing &listed, TimePoint now);
    bool      pollOnce();
    void      take(const StoreChange &change);
    void      takeConfiguration(std::string_view value, uint64_t revision);
    void      takeTarget(std::string_view id, std::string_view value, uint64_t revision,
                         std::vector<RegisteredTarget> *into);
    void      publish();
    void      storeFailed(std::string_view call, const Error &error);
    void      storeAnswered(TimePoint provenAt);
    bool      pauseUntil(TimePoint until);
    Duration  waitForPoll();
    bool      storeAnswering();
    void      takeNews();
    void      takeOne(const StoreNews &news);
    void      askSeeds();
    bool      storeNeeded(TimePoint now);
    bool      asksAlways() const;
    void      chooseSource(TimePoint now);
    void      record(std::span<const StoreChange> changes, uint64_t upTo, TimePoint provenAt);
    TimePoint nextTurn(TimePoint now) const;

    Clock          &clock;
    Metrics        &metrics;
    StoreClient    &store;
    FollowerOptions options;
    FollowerHooks   hooks;
    Backoff         backoff;

    // The following thread's
    Registry              registry;
    WatchedConfiguration  configuration;
    bool                  configured = false;
    bool                  changed = false;    // since the last publish()
    uint64_t              revision = 0;       // changes after it are polled for; 0: all has to be read
    uint64_t              knownRevision = 0;  // the same, also while all is read anew
    uint64_t              listedRevision = 0; // of the last list: changes up to it are known
    uint64_t              published = 0;      // rises with each configuration handed on
    SourceChoice          sources;
    std::optional<size_t> source;               // the seed that is followed
    bool                  behind = false;       // there are changes that news did not carry
    bool                  reachesStore = false; // the last own call to the store was answered
    TimePoint             nextCall{};           // to the store, no sooner
    TimePoint             provenAt{};           // the store had nothing newer than what is known

    mutable RankedMutex    mutex{LockRank::Control};
    Condition              wake;
    FollowStatus           status;          // under mutex
    std::vector<StoreNews> inbox;           // under mutex
    ChangeLog              log;             // under mutex
    int                    hops = 0;        // under mutex; nodes between this one and the store
    bool                   stopped = false; // under mutex
    CancelToken            cancel{LockRank::Attempt};
    Thread                 thread;
};

} // namespace damask
