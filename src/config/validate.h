/// Checks of a whole configuration: references, uniqueness, limits.
#pragma once

#include "config/model.h"

#include <string>
#include <string_view>
#include <vector>

namespace damask {

/// The most of each thing, so that the document in the store stays well under its limit of 1 MB.
constexpr size_t MostServices = 64;
constexpr size_t MostPools = 64;
constexpr size_t MostTargets = 1200; // of all pools
constexpr size_t MostRules = 200;
constexpr size_t MostDataCentres = 32;
constexpr size_t MostLinks = 64;
constexpr size_t MostKeys = 200;

/// One thing wrong.
struct Problem {
    std::string_view kind; // as in a ticket: "pool"
    std::string      name; // of the thing; empty: of all of the kind
    std::string      what; // field, what is allowed, nearest valid name

    bool operator==(const Problem &) const = default;
};

/// Everything wrong with a configuration; empty: it is valid.
std::vector<Problem> findProblems(const Configuration &configuration);

} // namespace damask
