/// The nodes that this one follows and those that follow it, over the inner protocol.
///
/// Use: `PeerNodes peers(clock, metrics, options, hooks); neighbours.start(); neighbours.ask(requests);`
/// It carries requests and news and decides nothing about them. Messages are in the clear: nothing but the system's own
/// nodes may reach the port.
#pragma once

#include "base/clock.h"
#include "base/metrics.h"
#include "base/result.h"
#include "follow/news.h"
#include "follow/source_choice.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace damask {

struct PeerOptions {
    std::string              instance;                       // name of this instance
    std::string              address;                        // IP number to listen on; empty: no neighbours at all
    uint16_t                 port = 0;                       // TCP; 0: any free one
    std::vector<std::string> seeds;                          // IP:PORT of the nodes that may be followed
    size_t                   linkBytesPerSecond = 125000000; // a second, of this instance's link
    Duration followerTimeout = std::chrono::seconds(1);      // without a request, a follower is told nothing more
};

struct PeerHooks {
    std::function<StoreNews(const FollowRequest &request, size_t maxBytes)> news; // to answer with; any thread
    std::function<void(StoreNews)> newsReceived;                                  // of a seed; on the wire's thread
};

class PeerNodes
{
public:
    PeerNodes(Clock &clock, Metrics &metrics, const PeerOptions &options, PeerHooks hooks);
    ~PeerNodes(); // stops

    Result<void> start();                                    // SystemError when the port can't be had
    void         stop();                                     // does nothing when it was not started
    void         sendRequests(std::span<const SeedRequest>); // sends requests to seeds; never waits for the network
    void         notifyFollowers();                          // what has changed, to all followers that asked lately
    size_t       followers() const;                          // that asked lately
    uint16_t     port() const;                               // after start()

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
