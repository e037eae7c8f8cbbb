/// Sends a plan's calls over kept connections and records what came of each.
#pragma once

#include "base/clock.h"
#include "damask-load/plan.h"
#include "damask-load/record.h"

#include <functional>
#include <string>
#include <vector>

namespace damask::standin {

/// Where calls go.
struct Endpoint {
    std::string address;  // IP number
    int         port = 0; // TCP
};

struct RunnerOptions {
    std::vector<Endpoint> entries;                            // taken in turn by each worker
    Duration              length = std::chrono::seconds(5);   // of the run
    Duration              deadline = std::chrono::seconds(2); // told in the header; 0: none told
    size_t                workers = 64;                       // calls in flight at most; later ones wait, and count it
    std::string           runName = "run";                    // starts each request id
    bool                  direct = false;                   // the entries are targets: answers carry no outcome
};

/// Called about once a second with the calls sent so far.
using ProgressHook = std::function<void(uint64_t sent)>;

/// Runs to the end of the plan's length and until each call has ended.
std::vector<CallRecord> runLoad(Clock &clock, const RunnerOptions &options, const PlanOptions &planOptions,
                                const ProgressHook &progress);

/// Fetches the text of a path; empty when it can't be had.
std::string fetchText(const Endpoint &endpoint, std::string_view path);

} // namespace damask::standin
