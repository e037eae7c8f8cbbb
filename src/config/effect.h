/// The effect that a ticket would have on running traffic, computed before anything changes.
#pragma once

#include "config/model.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace damask {

/// Slots that accept new requests, before and after a ticket.
struct CapacityChange {
    std::string what;       // "service s" or "rule r (service s)"
    int64_t     before = 0; // slots
    int64_t     staged = 0; // slots while instances confirm: only what both configurations allow
    int64_t     after = 0;  // slots
};

struct Effect {
    std::vector<std::string>    stoppedTargets; // "pool/target" that accept requests now and no longer would
    std::vector<CapacityChange> capacity;       // of each service, and of each rule limited to data centres
    std::vector<std::string>    emptyRegions;   // "service s has no target left in region r"
    std::vector<std::string>    capacityLosses; // what would be left without capacity; text of a refusal
};

/// Compares two configurations and their intersection, see intersectConfigurations() in intersect.h.
Effect effectOf(const Configuration &before, const Configuration &after);

/// The effect as human-readable lines.
std::vector<std::string> describeEffect(const Effect &effect);

/// Slots of the service's targets that accept new requests; empty `dataCentres`: in all data centres.
int64_t capacityOf(const Configuration &configuration, const Service &service,
                   std::span<const std::string> dataCentres = {});

} // namespace damask
