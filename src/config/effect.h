/// What a ticket would do to the work that runs, before anything happens.
#pragma once

#include "config/model.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace damask {

/// Slots that may take new work, before and after a ticket.
struct CapacityChange {
    std::string what;       // "service s" or "rule r (service s)"
    int64_t     before = 0; // slots
    int64_t     staged = 0; // slots while instances confirm: only what both states allow
    int64_t     after = 0;  // slots
};

struct Effect {
    std::vector<std::string>    stoppedTargets; // "pool/target" that take work now and would not
    std::vector<CapacityChange> capacity;       // of each service, and of each rule that names data centres
    std::vector<std::string>    emptyRegions;   // "service s has no target in region r" that it had before
    std::vector<std::string>    capacityLosses; // what would be left without capacity, for a refusal
};

/// Compares two states and the one between them, see intersectConfigurations() in intersect.h.
Effect effectOf(const Configuration &before, const Configuration &after);

/// The effect as lines for people.
std::vector<std::string> describeEffect(const Effect &effect);

/// Slots of the service's targets that take new work; dataCentres empty: in all.
int64_t capacityOf(const Configuration &configuration, const Service &service,
                   std::span<const std::string> dataCentres = {});

} // namespace damask
