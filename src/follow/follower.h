/// Follows the operators' configuration and the registered targets in the platform's store, by one long poll for both,
/// or by news of nodes that ask the store already.
///
/// Use: `Follower follower(clock, metrics, store, options, hooks); follower.start(); ... follower.stop();`
/// A configuration goes in force only when its version is above the one before, whatever the store says later. While
/// the store is away, what was read last stays in force. With seeds (source_choice.h) a node hears changes from one of
/// them, and asks the store at its start and when no seed has fresh news; receive() takes news, and news() makes them
/// for the nodes that follow this one.
#pragma once

#include "base/clock.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/result.h"
#include "follow/change_log.h"
#include "follow/registry.h"
#include "follow/source_selector.h"
#include "follow/store_news.h"
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
    std::string    configurationKey;                           // holds the operators' configuration
    std::string    targetPrefix;                               // targets stand under it, each under its id
    std::string    watchedPrefix;                              // of both; changes of other keys are passed over
    Duration       pollDelay = std::chrono::milliseconds(500); // from an answer to the next poll: each call is paid for
    Duration       pollTimeout = std::chrono::seconds(3); // for a change; a watch that was lost is noticed no sooner
    BackoffOptions backoff = {std::chrono::milliseconds(100),
                              std::chrono::milliseconds(500)};       // while the store is away
    Duration       seedPollDelay = std::chrono::milliseconds(300);   // gather of a seed, on which others wait
    Duration       seedPollTimeout = std::chrono::milliseconds(400); // pollTimeout where there are seeds
    BackoffOptions followerBackoff = {std::chrono::milliseconds(500),
                                      std::chrono::milliseconds(1500)}; // backoff of a node that can follow seeds
    SourceOptions  sources;
    ChangeLogOptions        changeLog;
    RegistryOptions         registry;
    std::vector<DataCentre> dataCentres; // all there are, with their regions
};

struct FollowerHooks {
    std::function<Result<WatchedConfiguration>(std::string_view value)>                     readConfiguration;
    std::function<Result<RegisteredTarget>(std::string_view id, std::string_view value)>    readTarget;
    std::function<void(std::shared_ptr<const Configuration>, const WatchedConfiguration &)> apply;
    RandomSource                                      random;        // default: the system's
    std::function<void(std::span<const SeedRequest>)> sendRequests;  // sends requests to seeds; needed with seeds
    std::function<void()>                             newsAvailable; // news() has more to tell; needed with seeds
};

/// What is known of the store and from it.
struct FollowStatus {
    bool        storeReachable = false; // the last call was answered, or a seed has fresh news
    TimePoint   verifiedAt{};           // the store had nothing newer than what is known
    std::string source;                 // address of the seed that is followed; empty: the store
    uint64_t    version = 0;            // of the operators' configuration, 0: none yet
    uint64_t    revision = 0;           // of the store, up to which all is known
    size_t      targets = 0;
};

class Follower
{
public:
    Follower(Clock &clock, Metrics &metrics, StoreClient &store, const FollowerOptions &options, FollowerHooks hooks);
    ~Follower(); // stops

    void         start();
    void         stop();
    FollowStatus status() const;

    /// Takes news of a seed. Safe from all threads, and never waits for the store.
    void receive(StoreNews news);

    /// What this node knows beyond the request's revision, with at most so many bytes of changes, and none for a node
    /// that does not follow this one. Safe from all threads.
    StoreNews news(const FollowRequest &request, size_t maxBytes) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
