/// The settings of damask-entry: their table, and the options read from it.
#pragma once

#include "back/sender.h"
#include "front/server.h"
#include "operate/server.h"
#include "programs/damask-entry/keeper_link.h"
#include "programs/damask-entry/probing.h"
#include "route/balancer.h"
#include "route/dispatcher.h"
#include "settings/settings.h"

#include <span>
#include <string>

namespace damask {

/// All options of damask-entry, read at its start.
struct EntryOptions {
    std::string       instance;                                // name of this instance
    FrontOptions      front;                                   // callers' port
    OperateOptions    operate;                                 // operators' port
    KeeperLinkOptions keeper;                                  // link to the keeper; empty endpoint: none
    SenderOptions     sender;                                  // connections to targets
    BalancerOptions   balancer;                                // choice of a target
    ProbingOptions    probing;                                 // probes of targets' load
    DispatcherOptions dispatcher;                              // attempts, retries and deadlines
    size_t            hedgeWorkers = 16;                       // hedged attempts in flight at most
    Duration          shutdownDelay = std::chrono::seconds(5); // between failing readiness and closing the port
};

/// The table of settings, documented in docs/operate/entry.md.
std::span<const SettingSpec> entrySpecs();

/// BadSettings where two settings contradict each other.
Result<EntryOptions> readEntryOptions(const Settings &settings);

} // namespace damask
