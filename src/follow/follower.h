/// Follows the operators' configuration and the registered targets in the platform's store, either by one long poll
/// for both or by updates from other nodes that already poll the store.
///
/// Use: `Follower follower(clock, metrics, store, options, hooks); follower.start(); ... follower.stop();`
///
/// Revisions are kept and compared only within one era of the store (store/position.h). A node that learns of a later
/// era reads everything again, and ignores what comes from an earlier one.
///
/// A configuration takes effect only when its version is above the one in force, whatever the store returns later.
/// While the store is unreachable, the last known state stays in force. With seeds (source_choice.h) a node receives
/// changes from one of them; it calls the store at its start and when no seed has fresh data. Its first list may be
/// stale, and takes effect once a seed or the store has added the changes since. receive() takes updates in, and news()
/// makes them for the nodes that follow this one.
#pragma once

#include "base/clock.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/result.h"
#include "follow/change_log.h"
#include "follow/news.h"
#include "follow/registry.h"
#include "follow/source_choice.h"
#include "follow/watched.h"
#include "store/backoff.h"
#include "store/client.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

struct FollowerOptions {
    std::string configurationKey;                           // of the operators' configuration
    std::string targetPrefix;                               // of the targets' keys; the target's id follows
    std::string evacuationPrefix;                           // of evacuation keys; a data centre follows. Empty: none
    std::string watchedPrefix;                              // covers all; changes of other keys are ignored
    Duration    pollDelay = std::chrono::milliseconds(500); // from an answer to the next poll, as each call has a cost
    Duration    pollTimeout = std::chrono::seconds(3);      // of a long poll; a lost watch is noticed only when it ends
    Duration    accountPollTimeout = std::chrono::milliseconds(800); // at most, while client accounts are in force: the
                                                                     // age of the data decides whether a key is trusted
    BackoffOptions backoff = {std::chrono::milliseconds(100),
                              std::chrono::milliseconds(500)};       // while the store is unreachable
    Duration       seedPollDelay = std::chrono::milliseconds(300);   // pollDelay of a seed; its followers wait for it
    Duration       seedPollTimeout = std::chrono::milliseconds(400); // pollTimeout when seeds are configured
    BackoffOptions followerBackoff = {std::chrono::milliseconds(500),
                                      std::chrono::milliseconds(1500)}; // backoff when all seeds are other nodes
    Duration startDelay = std::chrono::milliseconds(50); // for seeds to answer, before the first list and first poll
    bool     systemStarts = false; // all nodes start for the first time: no caller waits for the first list
    SourceOptions           sources;
    ChangeLogOptions        changeLog;
    RegistryOptions         registry;
    std::vector<DataCentre> dataCentres; // all data centres, with their regions
};

struct FollowerHooks {
    std::function<Result<WatchedConfiguration>(std::string_view value)>                     readConfiguration;
    std::function<Result<RegisteredTarget>(std::string_view id, std::string_view value)>    readTarget;
    std::function<void(std::shared_ptr<const Configuration>, const WatchedConfiguration &)> apply;
    RandomSource                                      random;       // for the backoff; default: the system's
    std::function<void(std::span<const SeedRequest>)> sendRequests; // sends requests to seeds; required with seeds
    std::function<void()> newsAvailable; // the revision has risen, news() has more; required with seeds
};

/// The store's state and the data read from it, as this node sees them.
struct FollowStatus {
    bool                     storeReachable = false; // the last call succeeded, or a seed has fresh data
    TimePoint                verifiedAt{};           // when the store last had nothing newer than this node
    std::string              source;                 // address of the followed seed; empty: the store
    uint64_t                 version = 0;            // of the operators' configuration; 0: none yet
    uint64_t                 revision = 0;           // store revision up to which all changes are applied
    uint64_t                 era = 0;                // of the store, to which the revision belongs; 0: it names none
    size_t                   targets = 0;
    std::vector<std::string> evacuated; // data centres, sorted
};

class Follower
{
public:
    Follower(Clock &clock, Metrics &metrics, StoreClient &store, const FollowerOptions &options, FollowerHooks hooks);
    ~Follower(); // calls stop()

    void         start();
    void         stop();
    FollowStatus status() const;

    /// Queues an update from a seed. Safe from all threads; never waits for the store.
    void receive(StoreNews news);

    /// The first changes after the request's revision, up to `maxBytes` or 16 KB, whichever is more; `more` when others
    /// follow. Left out (`whole` is false) when they are no longer logged, were never seen one by one, are of another
    /// era of the store, or the node does not follow this one. Safe from all threads.
    StoreNews news(const FollowRequest &request, size_t maxBytes) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
