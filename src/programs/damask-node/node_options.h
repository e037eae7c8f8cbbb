/// The settings of a node: their table, and the options read from it.
#pragma once

#include "back/sender.h"
#include "follow/follower.h"
#include "front/server.h"
#include "operate/server.h"
#include "programs/damask-node/neighbours.h"
#include "programs/damask-node/node_quota.h"
#include "route/balancer.h"
#include "route/dispatcher.h"
#include "route/selection_probe.h"
#include "settings/settings.h"
#include "store/client.h"

#include <span>
#include <string>

namespace damask {

/// Share of the configured retry ratio that all nodes use together. The rest is a margin for requests that a node
/// cannot tell apart from callers' requests, such as checks of which routes are in force, and for windows that start at
/// other times than its own.
constexpr double RetryRatioSafetyFactor = 0.9;

/// Threads for hedges, one of which waits for the next to be due. At 1 in 20 of 20 calls a second that take a second,
/// one hedge is in flight; the rest is for bursts. Without a free thread there is no hedge.
constexpr size_t NodeHedgeThreads = 4;

constexpr int NodeAllocatorArenas = 2; // a node serves many connections with little memory

/// All options of a node, read at its start.
struct NodeOptions {
    std::string           instance;            // name of this instance
    FrontOptions          front;               // callers' port
    OperateOptions        readiness;           // port of readiness checks
    OperateOptions        operate;             // operators' port: metrics and status
    SenderOptions         sender;              // connections to targets
    BalancerOptions       balancer;            // choice of a target
    SelectionProbeOptions selectionProbe;      // probes of targets before a call
    DispatcherOptions     dispatcher;          // attempts, retries and deadlines
    StoreOptions          store;               // the platform's store
    FollowerOptions       follower;            // following the store's changes
    NeighbourOptions      neighbours;          // other nodes
    QuotaOptions          quota;               // limits over all nodes
    double                retryRatio = 0.1;    // retries for each call of a service, of all nodes together
    Duration              retryWindow{0};      // sliding window of the ratio
    double                hedgeLimit = 0;      // hedges for each call of a service in any retryWindow; 0: none
    bool                  shareCredit = false; // the hedge limit is shared between the nodes
    Duration              queueWait{0};        // maximum wait for a slot
    size_t                queueLimit = 64;     // calls queued per service
    Duration              shutdownDelay{0};    // between failing readiness and closing the port
    Duration              gracePeriod{0};      // from the stop signal to the end of the process
};

/// The table of settings, documented in docs/operate/node.md.
std::span<const SettingSpec> nodeSpecs();

/// BadSettings where a value is malformed or two contradict each other.
Result<NodeOptions> readNodeOptions(const Settings &settings);

} // namespace damask
