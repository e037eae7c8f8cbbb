/// The settings of a node: their table, and what is read from it.
#pragma once

#include "back/sender.h"
#include "follow/follower.h"
#include "front/server.h"
#include "operate/server.h"
#include "programs/damask-node/peer_nodes.h"
#include "route/balancer.h"
#include "route/dispatcher.h"
#include "route/selection_probe.h"
#include "settings/settings.h"
#include "store/client.h"

#include <span>
#include <string>

namespace damask {

/// Of the ratio of retries that all nodes may use together. The rest is for what a node can't tell apart from callers'
/// requests, such as checks of which routes are in force, and for windows that begin elsewhere than its own.
constexpr double RetryRatioSafetyFactor = 0.9;

/// Everything that a node is told at its start.
struct NodeOptions {
    std::string           instance;         // name of this instance
    FrontOptions          front;            // callers
    OperateOptions        readiness;        // whoever sends callers here
    OperateOptions        operate;          // operators: metrics and status
    SenderOptions         sender;           // targets
    BalancerOptions       balancer;         // choosing a target
    SelectionProbeOptions selectionProbe;   // asking targets before a call
    DispatcherOptions     dispatcher;       // the life of a call
    StoreOptions          store;            // the platform's store
    FollowerOptions       follower;         // what is followed in it
    PeerOptions           peers;            // other nodes
    double                retryRatio = 0.1; // retries for each call of a service, of all nodes together
    Duration              retryWindow{0};   // every span of this length keeps to the ratio
    Duration              queueWait{0};     // for a slot, at most
    size_t                queueLimit = 64;  // calls of a service that wait
    Duration              shutdownDelay{0}; // between failing readiness and closing
    Duration              gracePeriod{0};   // from the stop signal to the end of the process
};

/// The table of settings; docs/operate/node.md explains them.
std::span<const SettingSpec> nodeSpecs();

/// BadSettings where a value is malformed or two contradict each other.
Result<NodeOptions> readNodeOptions(const Settings &settings);

} // namespace damask
