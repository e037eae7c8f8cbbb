/// Records of the calls of a run, their summary, and the check for violated guarantees.
#pragma once

#include "base/time.h"
#include "call/message.h"

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace damask::standin {

/// Result of one call as its caller observed it.
struct CallRecord {
    std::string id;       // request id
    size_t      kind = 0; // in the plan
    bool        idempotent = true;
    bool        answered = false;           // a complete HTTP response arrived
    bool        matchesRequest = true;      // the response body echoes this request
    int         status = 0;                 // HTTP; 0: none
    Outcome     outcome = Outcome::Unknown; // as reported; Unknown if not reported
    std::string code;                       // result code as reported
    std::string target;                     // as reported
    Duration    latency{0};                 // from the planned time
    Duration    at{0};                      // planned time, from the start of the run
};

/// Number of times that each request id ran, summed over all targets.
using Ledger = std::unordered_map<std::string, int>;

/// Counts of violated guarantees; each must be zero at the end of a run.
struct Violations {
    uint64_t    lost = 0;         // non-idempotent, answered with status 2xx, never run
    uint64_t    duplicated = 0;   // non-idempotent, run more than once
    uint64_t    notRunButRan = 0; // reported as not run, although it ran
    uint64_t    wrongAnswer = 0;  // the response of another call, or a corrupt one
    uint64_t    unanswered = 0;   // the entry closed the connection without a response
    std::string firstViolation;   // request id and description of the first violation found
};

/// Latency histogram with a resolution of about 1%, from 1 us to 100 s.
class LatencyHistogram
{
public:
    LatencyHistogram();
    void     add(Duration latency);
    double   percentile(double share) const; // ms; 0 when empty
    uint64_t count() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    boost::histogram::histogram<std::tuple<Axis>> m_bins;
    uint64_t                                      m_count = 0;
};

/// Statistics of one time window of a run; calls are assigned by their planned time.
struct RunWindow {
    uint64_t calls = 0;
    uint64_t failed = 0; // no response, or a status that is not 2xx
    double   p99 = 0;    // ms, of all answered calls
};

constexpr Duration WindowLength = std::chrono::milliseconds(250); // length of a RunWindow

/// Statistics of a run.
struct RunSummary {
    uint64_t                        calls = 0;
    uint64_t                        succeeded = 0; // status 2xx
    LatencyHistogram                all;           // of answered calls
    LatencyHistogram                successful;    // of calls with status 2xx
    std::map<std::string, uint64_t> outcomes;      // by name
    std::map<std::string, uint64_t> codes;         // by result code
    std::map<std::string, uint64_t> targets;       // by name
    Violations                      violations;
    double                          lastFailure = 0; // s from the start; planned time of the last failed call
    std::vector<RunWindow>          windows;         // consecutive, from the start of the run
};

/// Adds the counts of "id times" lines to the ledger.
void readLedger(std::string_view text, Ledger &ledger);

/// Compares the records with the ledger.
Violations findViolations(std::span<const CallRecord> records, const Ledger &ledger);

/// Aggregates the records; does not fill in the violations, see findViolations().
RunSummary summarise(std::span<const CallRecord> records);

/// Formats a human-readable table.
std::string summaryTable(const RunSummary &summary, Duration took);

/// Formats one JSON object.
std::string summaryJson(const RunSummary &summary, Duration took);

} // namespace damask::standin
