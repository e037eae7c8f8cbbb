/// Exchanges store updates, tokens of shared limits and credit for extra attempts with other nodes over the inner
/// protocol: those that this node follows or asks, and those that follow or ask it.
///
/// Use: `Neighbours neighbours(clock, metrics, options, hooks); neighbours.start(); neighbours.sendRequests(requests);`
/// Transport only: it decides nothing about requests, news, tokens and credit. Messages are not encrypted, so only the
/// system's own nodes may be able to reach the port.
#pragma once

#include "base/clock.h"
#include "base/metrics.h"
#include "base/result.h"
#include "follow/news.h"
#include "follow/source_choice.h"
#include "quota/allowance.h"
#include "quota/credit.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

struct NeighbourOptions {
    std::string instance;                                  // name of this instance
    std::string dataCentre;                                // of this instance
    std::string address;                                   // IP address to listen on; empty: no neighbours at all
    uint16_t    port = 0;                                  // TCP; 0: any free port
    size_t      linkBytesPerSecond = 125000000;            // capacity of this instance's link
    Duration    followerTimeout = std::chrono::seconds(1); // after its last request, a follower is dropped
};

struct NeighbourHooks {
    std::function<StoreNews(const FollowRequest &request, size_t maxBytes)> news; // makes an answer; any thread
    std::function<void(StoreNews)> newsReceived;                                  // from a seed; on the wire's thread

    // Tokens of shared limits, on the wire's thread. Empty: such messages are refused.
    std::function<AllowanceGrant(const AllowanceRequest &)> grantAllowances; // this node is a grantor; makes an answer
    std::function<void(const AllowanceGrant &)>             allowancesGranted; // the answer of another grantor

    // Credit for extra attempts, on the wire's thread. Empty: such messages are refused.
    std::function<std::optional<CreditGrant>(const CreditRequest &)> grantCredit;   // as grantor; none: no answer
    std::function<void(const CreditGrant &)>                         creditGranted; // the answer of another grantor
};

class Neighbours
{
public:
    Neighbours(Clock &clock, Metrics &metrics, const NeighbourOptions &options, NeighbourHooks hooks);
    ~Neighbours(); // stops

    Result<void> start();                                    // SystemError when the port cannot be bound
    void         stop();                                     // no effect if not started
    void         sendRequests(std::span<const SeedRequest>); // never waits for the network
    void         sendAllowanceRequest(std::string_view address, const AllowanceRequest &request); // never waits either
    void         sendCreditRequest(std::string_view address, const CreditRequest &request);       // never waits either
    void         notifyFollowers(); // sends new changes to all current followers
    size_t       followers() const; // number of current followers
    uint16_t     port() const;      // after start()

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
