/// Runs real balancers, one per entry, against fake targets in virtual time with open-loop arrivals.
///
/// All policies see the same arrivals, work per call and neighbour noise for the same seed.
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
    double           load = 80; // percent of the targets' capacity
    uint64_t         seed = 1;
    Duration         warmUp = std::chrono::seconds(1); // not measured
    Duration         length = std::chrono::seconds(4); // measured, after the warm-up
    double           probeBytesPerSecond = 0;          // budget per entry and service; 0: no probes
    double           probesPerSecond = 0;
};

/// Results of one run.
struct RunResult {
    std::vector<double> latencies;    // ms from arrival to answer, sorted; a lost call counts with its deadline
    uint64_t            calls = 0;    // arrivals in the measured period
    uint64_t            useful = 0;   // calls answered within their deadline
    uint64_t            refused = 0;  // calls refused by the balancer, not sent
    uint64_t            attempts = 0; // sent to targets
    uint64_t            probes = 0;   // sent in the whole run
    double              probeBytes = 0;
    double              overBudget = 0; // largest excess over a probe budget at any time, in bytes
};

RunResult run(const RunOptions &options);

double percentile(std::span<const double> sorted, double share);

} // namespace damask::bench
