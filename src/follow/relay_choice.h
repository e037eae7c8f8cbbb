/// Chooses which of this node's followers pass its changes on in their data centre.
///
/// A data centre with several followers gets one relay, the follower with the fastest link; the others are told to
/// follow it. A change then crosses to each data centre once, whatever the number of nodes there, and the node that
/// they all followed serves only the relays. A relay that falls silent is replaced.
///
/// Pure: the caller passes the time. Not safe to share between threads.
#pragma once

#include "base/time.h"
#include "follow/news.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace damask {

struct RelayOptions {
    std::string dataCentre;                                // of this node; followers there stay its own
    size_t      minFollowers = 4;                          // of one data centre, before it gets a relay
    double      upgradeRatio = 2;                          // a link this much faster replaces the relay
    Duration    followerTimeout = std::chrono::seconds(1); // after its last request, a follower is dropped
};

class RelayChoice
{
public:
    explicit RelayChoice(const RelayOptions &options);

    /// Records a follower's request. Returns the endpoint that it should follow instead of this node; empty: none.
    std::string_view recordRequest(const FollowRequest &request, TimePoint now);

private:
    struct Follower {
        uint64_t  linkBytesPerSecond = 0;
        TimePoint askedAt{};
    };
    struct Group {
        std::map<std::string, Follower, std::less<>> followers; // by endpoint
        std::string                                  relay;     // endpoint; empty: none
    };

    void removeSilent(Group &group, TimePoint now) const;
    void removeSilentGroups(TimePoint now);
    void chooseRelay(Group &group) const;

    RelayOptions                              m_options;
    std::map<std::string, Group, std::less<>> m_groups; // by data centre
};

} // namespace damask
