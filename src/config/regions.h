/// Regions of data centres, and round-trip times between regions.
#pragma once

#include "config/model.h"

#include <string_view>

namespace damask {

/// The region of a data centre; empty when the configuration does not name it. Valid as long as the configuration.
std::string_view regionOf(const Configuration &configuration, std::string_view dataCentre);

/// Round-trip time between two different regions; twice 8 ms where no link is configured.
Duration roundTripBetween(const Configuration &configuration, std::string_view left, std::string_view right);

} // namespace damask
