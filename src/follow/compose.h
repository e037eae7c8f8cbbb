/// Builds the configuration in force from the operators' configuration and the registered targets. Pure.
#pragma once

#include "config/model.h"
#include "follow/watched.h"

#include <cstdint>
#include <span>
#include <string>

namespace damask {

/// Gives each service a pool of the same name that holds its registered targets. Targets of services that the
/// operators' configuration does not name are left out.
Configuration composeConfiguration(const WatchedConfiguration &watched, std::span<const RegisteredTarget> targets,
                                   std::span<const DataCentre>  dataCentres,
                                   std::span<const std::string> evacuatedDataCentres, uint64_t revision);

} // namespace damask
