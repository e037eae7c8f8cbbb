/// Follows the operators' configuration and the registered targets in the platform's store, by one long poll for both.
///
/// Use: `Follower follower(clock, metrics, store, options, hooks); follower.start(); ... follower.stop();`
/// A configuration goes in force only when its version is above the one before, whatever the store says later. While
/// the store is away, what was read last stays in force.
#pragma once

#include "base/clock.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/result.h"
#include "follow/registry.h"
#include "follow/watched.h"
#include "store/backoff.h"
#include "store/client.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

struct FollowerOptions {
    std::string     configurationKey;                        // holds the operators' configuration
    std::string     targetPrefix;                            // targets stand under it, each under its id
    std::string     watchedPrefix;                           // of both; changes of other keys are passed over
    Duration        gather = std::chrono::milliseconds(500); // from an answer to the next poll: each call is paid for
    Duration        pollWait = std::chrono::seconds(3);      // for a change; a watch that was lost is noticed no sooner
    BackoffOptions  backoff = {std::chrono::milliseconds(100),
                               std::chrono::milliseconds(500)}; // while the store is away
    RegistryOptions registry;
    std::vector<DataCentre> dataCentres; // all there are, with their regions
};

struct FollowerHooks {
    std::function<Result<WatchedConfiguration>(std::string_view value)>                     readConfiguration;
    std::function<Result<RegisteredTarget>(std::string_view id, std::string_view value)>    readTarget;
    std::function<void(std::shared_ptr<const Configuration>, const WatchedConfiguration &)> apply;
    RandomSource random; // default: the system's
};

/// What is known of the store and from it.
struct FollowStatus {
    bool      storeAnswers = false; // the last call was answered
    TimePoint heardAt{};            // last answer
    uint64_t  version = 0;          // of the operators' configuration, 0: none yet
    uint64_t  revision = 0;         // of the store, up to which all is known
    size_t    targets = 0;
};

class Follower
{
public:
    Follower(Clock &clock, Metrics &metrics, StoreClient &store, const FollowerOptions &options, FollowerHooks hooks);
    ~Follower(); // stops

    void         start();
    void         stop();
    FollowStatus status() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
