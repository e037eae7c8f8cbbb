/// An instance of the load balancer, as the platform's instance list shows it.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace damask {

enum class InstanceState {
    Live,
    Leaving, // in graceful shutdown
};

/// One instance: an entry and its keeper.
struct Instance {
    std::string   name;
    std::string   dataCentre;
    std::string   region;
    std::string   keeper;          // keeper's endpoint for other keepers: "tcp://10.0.0.7:7002"
    std::string   entry;           // entry's address for callers: "10.0.0.7:8080"
    uint64_t      incarnation = 0; // rises with each start; 0: unknown
    InstanceState state = InstanceState::Live;

    bool operator==(const Instance &) const = default;
};

} // namespace damask
