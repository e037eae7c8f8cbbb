#include "tail/fleet.h"

#include <cmath>
#include <string>

namespace damask::bench {

namespace {

constexpr double WorkSpread = 0.5; // coefficient of variation of the work per call
constexpr Duration WithinRegion = std::chrono::microseconds(1500);
constexpr Duration BetweenRegions = std::chrono::milliseconds(8);
constexpr std::array<std::string_view, 7> Scenarios{"quiet",  "noisy",    "stale",   "lying",
                                                    "slow10", "failfast", "draining"};
constexpr std::array<Deployment, 2> Deployments{Deployment{"tanzcafe", 6, {20, 10, 10}, 8},
                                                Deployment{"condor", 3, {15, 10, 10}, 8}};

} // namespace

double exponential(std::mt19937_64 &random, double mean)
{
    return std::exponential_distribution<double>(1 / mean)(random);
}

double drawWork(std::mt19937_64 &random, double mean)
{
    const double variance = std::log(1 + WorkSpread * WorkSpread);
    return std::lognormal_distribution<double>(std::log(mean) - variance / 2, std::sqrt(variance))(random);
}

std::span<const Deployment> deployments()
{
    return Deployments;
}

std::span<const std::string_view> scenarios()
{
    return Scenarios;
}

Duration oneWayDelay(size_t left, size_t right)
{
    if (left == right) {
        return Duration(0);
    }
    return RegionNames[left] == RegionNames[right] ? WithinRegion : BetweenRegions;
}

std::string targetName(size_t service, int target)
{
    return std::string(ServiceNames[service]) + "/t" + std::to_string(target);
}

Configuration configurationOf(const Deployment &deployment)
{
    Configuration n;
    n.revision = 1;
    for (size_t it = 0; it < DataCentres; ++it) {
        n.dataCentres.push_back({std::string(DataCentreNames[it]), 1, std::string(RegionNames[it])});
    }
    n.links = {{"a--b", 1, BetweenRegions}, {"a--c", 1, BetweenRegions}, {"b--c", 1, BetweenRegions}};
    for (size_t it = 0; it < Services; ++it) {
        Service service;
        service.name = ServiceNames[it];
        service.pool = ServiceNames[it];
        n.services.push_back(service);
        Pool pool{service.pool, 1, {}};
        for (int target = 0; target < deployment.targets[it]; ++target) {
            const std::string_view dataCentre = DataCentreNames[static_cast<size_t>(target) % DataCentres];
            pool.targets.push_back(
                {"t" + std::to_string(target), "127.0.0.1", 1, std::string(dataCentre), deployment.slots});
        }
        n.pools.push_back(std::move(pool));
    }
    return n;
}

} // namespace damask::bench
