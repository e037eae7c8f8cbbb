/// The settings of damask-entry: their table, and what is read from it.
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

/// Everything that damask-entry is told at its start.
struct EntryOptions {
    std::string       instance;                                // name of this instance
    FrontOptions      front;                                   // callers
    OperateOptions    operate;                                 // operators
    KeeperLinkOptions keeper;                                  // control; an empty endpoint: none
    SenderOptions     sender;                                  // targets
    BalancerOptions   balancer;                                // choosing a target
    ProbingOptions    probing;                                 // asking targets for their load
    DispatcherOptions dispatcher;                              // the life of a call
    size_t            hedgeWorkers = 16;                       // second attempts sent at once
    Duration          shutdownDelay = std::chrono::seconds(5); // between failing readiness and closing
};

/// The table of settings; docs/operate/entry.md explains them.
std::span<const SettingSpec> entrySpecs();

/// BadSettings where two settings contradict each other.
Result<EntryOptions> readEntryOptions(const Settings &settings);

} // namespace damask
