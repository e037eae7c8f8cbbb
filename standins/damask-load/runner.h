/// Sends the calls of a plan over persistent connections and records the result of each.
#pragma once

#include "base/clock.h"
#include "damask-load/plan.h"
#include "damask-load/record.h"

#include <functional>
#include <string>
#include <vector>

namespace damask::standin {

/// Destination of calls.
struct Endpoint {
    std::string address;  // IP address
    int         port = 0; // TCP
};

struct RunnerOptions {
    std::vector<Endpoint> entries;                            // used round-robin by each worker
    Duration              length = std::chrono::seconds(5);   // of the run
    Duration              deadline = std::chrono::seconds(2); // sent in the header; 0: none sent
    size_t                workers = 64;    // max. calls in flight; the wait of later ones counts as latency
    std::string           runName = "run"; // prefix of each request id
    bool                  direct = false;  // the entries are targets; responses carry no outcome
};

/// Called about once a second with the number of calls sent so far.
using ProgressHook = std::function<void(uint64_t sent)>;

/// Blocks until the run length has elapsed and every call has ended.
std::vector<CallRecord> runLoad(Clock &clock, const RunnerOptions &options, const PlanOptions &planOptions,
                                const ProgressHook &progress);

/// Fetches the body of a path; empty on failure.
std::string fetchText(const Endpoint &endpoint, std::string_view path);

} // namespace damask::standin
