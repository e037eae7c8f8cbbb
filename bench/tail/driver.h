/// Drives real balancers, one for each entry, against fake targets in virtual time with open-loop arrivals.
///
/// Every policy of a run sees the same arrivals, the same work of each call and the same neighbours.
#pragma once

#include "tail/fleet.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace damask::bench {

struct RunOptions {
    std::string_view policy = "damask";
    std::string_view scenario = "noisy";
    Deployment       deployment;
    double           load = 80; // percent of what the targets can do
    uint64_t         seed = 1;
    Duration         warmUp = std::chrono::seconds(1); // not measured
    Duration         length = std::chrono::seconds(4); // measured, after the warm-up
    double           probeBytesPerSecond = 0;          // budget of each entry and service; 0: no probes
    double           probesPerSecond = 0;
};

/// What one run gave.
struct RunResult {
    std::vector<double> latencies;    // ms from arrival to answer, sorted; a lost call counts with its deadline
    uint64_t            calls = 0;    // that arrived while measured
    uint64_t            useful = 0;   // answered within their deadline
    uint64_t            refused = 0;  // by the balancer, nothing sent
    uint64_t            attempts = 0; // sent to targets
    uint64_t            probes = 0;   // sent in the whole run
    double              probeBytes = 0;
    double              overBudget = 0; // bytes of probes beyond a budget at any time
};

RunResult run(const RunOptions &options);

double percentile(std::span<const double> sorted, double share);

} // namespace damask::bench
