/// Validates a complete configuration: references, uniqueness, limits.
#pragma once

#include "config/model.h"

#include <string>
#include <string_view>
#include <vector>

namespace damask {

/// The highest count of each kind of object. These limits keep the document in the store well under its limit of 1 MB.
constexpr size_t MaxServices = 64;
constexpr size_t MaxPools = 64;
constexpr size_t MaxTargets = 1200; // in all pools together
constexpr size_t MaxRules = 200;
constexpr size_t MaxDataCentres = 32;
constexpr size_t MaxLinks = 64;
constexpr size_t MaxKeys = 200;

/// One validation error.
struct Problem {
    std::string_view kind; // as in a ticket: "pool"
    std::string      name; // of the object; empty: the problem concerns the whole kind
    std::string      what; // field, what is allowed, nearest valid name

    bool operator==(const Problem &) const = default;
};

/// All problems of a configuration; empty: it is valid.
std::vector<Problem> findProblems(const Configuration &configuration);

} // namespace damask
