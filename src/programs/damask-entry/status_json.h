/// The entry's status for operators, as JSON.
#pragma once

#include "front/server.h"
#include "route/balancer.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

/// The targets of one service, as this entry sees them.
struct ServiceStatus {
    std::string               name;
    std::vector<TargetStatus> targets;
};

/// Everything on the entry's /status page.
struct EntryStatus {
    std::string_view           instance;
    std::string_view           dataCentre;
    uint64_t                   revision = 0;     // of the configuration in force; 0: none
    bool                       leaving = false;  // the entry is stopping
    Duration                   keeperSilence{0}; // since the last message of the keeper
    int                        attempts = 0;     // in flight to targets
    FrontStatus                front;
    std::vector<ServiceStatus> services;
};

std::string toJson(const EntryStatus &status);

} // namespace damask
