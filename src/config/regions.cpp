#include "config/regions.h"

#include <algorithm>
#include <string>

namespace damask {

namespace {

constexpr Duration DefaultRoundTrip = std::chrono::milliseconds(16); // used where no link is configured

} // namespace

std::string_view regionOf(const Configuration &configuration, std::string_view dataCentre)
{
    const auto &all = configuration.dataCentres;
    const auto it = std::find_if(all.begin(), all.end(), [&](const DataCentre &n) { return n.name == dataCentre; });
    return it == all.end() ? std::string_view() : std::string_view(it->region);
}

Duration roundTripBetween(const Configuration &configuration, std::string_view left, std::string_view right)
{
    const std::string name = std::string(std::min(left, right)) + "--" + std::string(std::max(left, right));
    const auto &all = configuration.links;
    const auto it = std::find_if(all.begin(), all.end(), [&](const Link &n) { return n.name == name; });
    return it == all.end() ? DefaultRoundTrip : 2 * it->delay;
}

} // namespace damask
