/// Simulated fleets: names of services and data centres, links, and the deployments of two users, tanzcafe and condor.
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

/// Current fleet of a user.
struct Deployment {
    std::string_view name;
    int              slots = 6;       // per target
    int              targets[3] = {}; // per service
    double           meanWork = 8;    // ms of one call on an undisturbed target
};

std::span<const Deployment>       deployments();
std::span<const std::string_view> scenarios();

Duration      oneWayDelay(size_t left, size_t right);        // between data centres, by index
Configuration configurationOf(const Deployment &deployment); // target n is in data centre n % DataCentres
std::string   targetName(size_t service, int target);        // "pool/target"

double exponential(std::mt19937_64 &random, double mean);
double drawWork(std::mt19937_64 &random, double mean); // ms; log-normal

} // namespace damask::bench
