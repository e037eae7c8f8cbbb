/// The configuration in force from what the operators wrote and which targets are there. Pure.
#pragma once

#include "config/model.h"
#include "follow/watched.h"

#include <cstdint>
#include <span>

namespace damask {

/// Each service gets a pool of its own name with its registered targets. Targets of services that the operators do not
/// name are left out.
Configuration composeConfiguration(const WatchedConfiguration &watched, std::span<const RegisteredTarget> targets,
                                   std::span<const DataCentre> dataCentres, uint64_t revision);

} // namespace damask
