/// The fleets that the bench runs: names of services and data centres, links, and both users' deployments.
#pragma once

#include "base/time.h"
#include "config/model.h"

#include <array>
#include <random>
#include <span>
#include <string>
#include <string_view>

namespace damask::bench {

constexpr size_t                                    Entries = 15;
constexpr size_t                                    Services = 3;
constexpr size_t                                    DataCentres = 6;
constexpr std::array<std::string_view, Services>    ServiceNames{"listings", "reservations", "payments"};
constexpr std::array<std::string_view, DataCentres> DataCentreNames{"a1", "a2", "b1", "b2", "c1", "c2"};
constexpr std::array<std::string_view, DataCentres> RegionNames{"a", "a", "b", "b", "c", "c"};

/// A user's fleet of today.
struct Deployment {
    std::string_view name;
    int              slots = 6;       // of each target
    int              targets[3] = {}; // of the three services
    double           meanWork = 8;    // ms of one call on an undisturbed target
};

std::span<const Deployment>       deployments();
std::span<const std::string_view> scenarios();

Duration      oneWayDelay(size_t left, size_t right);             // between two data centres, by their indexes
Configuration configurationOf(const Deployment &deployment); // target n of each service stands in n % DataCentres
std::string   targetName(size_t service, int target);        // "pool/target"

double exponential(std::mt19937_64 &random, double mean);
double drawWork(std::mt19937_64 &random, double mean); // ms; log-normal

} // namespace damask::bench
