/// Nodes that follow the platform's store and each other, each with a fake store of its own with the same content.
#pragma once

#include "fakes/eventually.h"
#include "fakes/fake_platform_store.h"
#include "fakes/platform_values.h"
#include "follow/follower.h"
#include "platform/platform.h"
#include "wire/message.h"

#include <atomic>
#include <criterion/criterion.h>
#include <functional>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace damask::fakes {

inline constexpr std::string_view RemovedKey = "k-removed";
inline constexpr size_t           DefaultMaxBytes = 100000;
inline constexpr Duration ChangeRetention = std::chrono::milliseconds(700); // longer than a follower goes without news

/// A node and its store.
struct FollowingNode {
    FollowingNode(std::string_view own, std::function<void(std::span<const SeedRequest>)> ask,
                  std::function<void()> changed, Duration startDelay = std::chrono::milliseconds(0),
                  bool systemStarts = false)
    {
        StoreOptions storeOptions;
        storeOptions.port = fake.port();
        storeOptions.callTimeout = std::chrono::milliseconds(300);
        client = std::make_unique<StoreClient>(clock, metrics, storeOptions, platform::storeProtocol());
        const NodeProtocol form = platform::nodeForm();
        FollowerOptions    options;
        options.configurationKey = form.configurationKey;
        options.targetPrefix = form.targetPrefix;
        options.evacuationPrefix = form.evacuationPrefix;
        options.watchedPrefix = form.watchedPrefix;
        options.dataCentres = {{.name = "y", .region = "r"}, {.name = "z", .region = "r"}};
        options.seedPollDelay = std::chrono::milliseconds(5);
        options.seedPollTimeout = std::chrono::milliseconds(50);
        options.backoff = {std::chrono::milliseconds(5), std::chrono::milliseconds(20)};
        options.followerBackoff = {std::chrono::milliseconds(20), std::chrono::milliseconds(60)};
        options.registry.lapseHold = std::chrono::milliseconds(300);
        options.changeLog.retention = ChangeRetention;
        options.startDelay = startDelay;
        options.systemStarts = systemStarts;
        options.sources.seeds = {"seed"};
        options.sources.own = own;
        options.sources.requestInterval = std::chrono::milliseconds(20);
        options.sources.answerTimeout = std::chrono::milliseconds(200);
        options.sources.retryInterval = std::chrono::milliseconds(100);
        options.sources.staleAfter = std::chrono::milliseconds(600);
        options.sources.seedStaleAfter = std::chrono::milliseconds(400);
        follower = std::make_unique<Follower>(
            clock, metrics, *client, options,
            FollowerHooks{.readConfiguration = form.readConfiguration,
                          .readTarget = form.readTarget,
                          .apply =
                              [this](std::shared_ptr<const Configuration> next, const WatchedConfiguration &) {
                                  LockGuard lock(mutex);
                                  active = std::move(next);
                                  services.insert(active->rules.at(0).service);
                                  usedRemovedKey =
                                      usedRemovedKey || (active->accounts && active->accounts->findByKey(RemovedKey));
                                  evacuations.insert(active->evacuatedDataCentres);
                                  for (const Target &target : active->pools.at(0).targets) {
                                      everUsed.insert(target.name);
                                  }
                              },
                          .sendRequests = std::move(ask),
                          .newsAvailable = std::move(changed)});
    }
    size_t targets()
    {
        LockGuard lock(mutex);
        return active ? active->pools.at(0).targets.size() : 0;
    }
    std::vector<std::string> evacuated()
    {
        LockGuard lock(mutex);
        return active ? active->evacuatedDataCentres : std::vector<std::string>();
    }
    std::string service()
    {
        LockGuard lock(mutex);
        return active ? active->rules.at(0).service : "";
    }

    Clock                                clock;
    Metrics                              metrics;
    FakePlatformStore                    fake;
    std::unique_ptr<StoreClient>         client;
    RankedMutex                          mutex{LockRank::Leaf};
    std::shared_ptr<const Configuration> active;
    bool                                 usedRemovedKey = false; // in any configuration that was applied
    std::set<std::string>                services;               // of all configurations that were applied
    std::set<std::vector<std::string>>   evacuations;            // of all of them
    std::set<std::string>                everUsed;               // targets of all of them
    std::unique_ptr<Follower>            follower;
};

/// A seed and a follower, connected by a link that the test can interrupt.
struct SeedAndFollower {
    SeedAndFollower()
        : seed(
            "seed", [](std::span<const SeedRequest>) {}, [this] { pushUpdate(); })
        , other(
              "other", [this](std::span<const SeedRequest> asks) { forwardRequests(asks); }, [] {})
    {
        put("op/config", configuration("00000005", "s1"));
        put("servers/i-1", worker("ready", 1));
        seed.follower->start();
        other.follower->start();
        cr_assert(eventually([this] { return seed.targets() == 1 && other.targets() == 1; }));
        cr_assert(eventually([this] { return other.follower->status().source == "seed"; }));
    }
    ~SeedAndFollower()
    {
        other.follower->stop();
        seed.follower->stop();
    }
    void put(std::string_view key, std::string_view value)
    {
        seed.fake.put(key, value);
        other.fake.put(key, value);
    }
    void remove(std::string_view key)
    {
        seed.fake.remove(key);
        other.fake.remove(key);
    }
    void forwardRequests(std::span<const SeedRequest> asks)
    {
        if (disconnected) {
            return;
        }
        for (const SeedRequest &it : asks) {
            if (it.address == "relay" && !relayAnswers) {
                continue;
            }
            knownRevision = it.request.revision;
            knownEra = it.request.era;
            StoreNews news = seed.follower->news(it.request, maxBytes);
            news.relay = namesRelay ? "relay" : "";
            count(news);
            other.follower->receive(std::move(news));
        }
    }
    void pushUpdate()
    {
        if (!disconnected) {
            StoreNews news =
                seed.follower->news({.revision = knownRevision, .follows = true, .era = knownEra}, maxBytes);
            count(news);
            other.follower->receive(std::move(news));
        }
    }
    void count(const StoreNews &news)
    {
        sentBytes += encodeMessage({.sender = "seed", .body = news}).size();
    }

    std::atomic<bool>     disconnected{false};
    std::atomic<bool>     namesRelay{false}; // the seed names one, which passes on what the seed has
    std::atomic<bool>     relayAnswers{true};
    std::atomic<size_t>   maxBytes{DefaultMaxBytes};
    std::atomic<uint64_t> knownRevision{0};
    std::atomic<uint64_t> knownEra{0};
    std::atomic<size_t>   sentBytes{0};
    FollowingNode         seed;
    FollowingNode         other;
};

/// A node that starts when a worker has left and the configuration has changed, but whose stale list shows neither.
struct LateNode {
    explicit LateNode(Duration startDelay = std::chrono::seconds(10), bool systemStarts = false)
        : late(
            "late", [this](std::span<const SeedRequest> asks) { ask(asks); }, [] {}, startDelay, systemStarts)
    {
        late.fake.put("op/config", configurationWithKey("00000005", "s1", RemovedKey));
        late.fake.put("servers/i-1", worker("ready", 1));
        late.fake.freezeStaleReads();
        for (FakePlatformStore *store : {&pair.seed.fake, &pair.other.fake, &late.fake}) {
            store->put("servers/i-2", worker("ready", 1));
            store->remove("servers/i-1");
            store->put("op/config", configurationWithKey("0000000c", "s2", "k-new"));
        }
        cr_assert(eventually([this] { return pair.seed.service() == "s2"; }));
    }
    ~LateNode()
    {
        late.follower->stop();
    }
    bool usedOnlyWhatIsThere()
    {
        LockGuard lock(late.mutex);
        return !late.usedRemovedKey && late.services == std::set<std::string>{"s2"}
               && late.everUsed == std::set<std::string>{"i-2"};
    }
    void ask(std::span<const SeedRequest> asks)
    {
        for (const SeedRequest &it : asks) {
            if (!disconnected) {
                late.follower->receive(pair.seed.follower->news(it.request, DefaultMaxBytes));
            }
        }
    }

    std::atomic<bool> disconnected{false};
    SeedAndFollower   pair;
    FollowingNode     late;
};

} // namespace damask::fakes
