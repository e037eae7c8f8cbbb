/// The instances of the system as the platform's instance list shows them.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace damask {

enum class InstanceState {
    Live,
    Leaving, // shuts down gracefully
};

/// One instance: an entry with the keeper beside it.
struct Instance {
    std::string   name;
    std::string   dataCentre;
    std::string   region;
    std::string   keeper;          // "tcp://10.0.0.7:7002": where other keepers reach its keeper
    std::string   entry;           // "10.0.0.7:8080": where callers reach its entry
    uint64_t      incarnation = 0; // rises with each start; 0: not said
    InstanceState state = InstanceState::Live;

    bool operator==(const Instance &) const = default;
};

} // namespace damask
