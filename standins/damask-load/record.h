/// What came of each call, and the judgement over all of them.
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

/// How one call ended, as its caller saw it.
struct CallRecord {
    std::string id;       // request id
    size_t      kind = 0; // in the plan
    bool        idempotent = true;
    bool        answered = false;           // a whole HTTP answer came
    bool        matchesRequest = true;                 // the answer was to this call
    int         status = 0;                 // HTTP; 0: none
    Outcome     outcome = Outcome::Unknown; // as told; Unknown when nothing was told
    std::string code;                       // as told
    std::string target;                     // as told
    Duration    latency{0};                 // from the planned time
    Duration    at{0};                      // planned time, from the start of the run
};

/// Times each request id was run, summed over all targets.
using Ledger = std::unordered_map<std::string, int>;

/// What must be zero at the end of any run.
struct Violations {
    uint64_t    lost = 0;         // non-idempotent, told that it was answered, never run
    uint64_t    duplicated = 0;      // non-idempotent, run more than once
    uint64_t    notRunButRan = 0; // told that it was not run, and it was
    uint64_t    wrongAnswer = 0;  // the answer of another call, or a damaged one
    uint64_t    unanswered = 0;          // the entry closed the connection without an answer
    std::string firstViolation;       // id and what happened, of the first one found
};

/// Latencies with about 1% of resolution, from 1 us to 100 s.
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

/// One slice of a run's time, by the planned time of its calls.
struct RunWindow {
    uint64_t calls = 0;
    uint64_t failed = 0; // no answer, or a status that is not 2xx
    double   p99 = 0;    // ms, of all answered calls
};

constexpr Duration WindowLength = std::chrono::milliseconds(250); // of a RunWindow

/// The figures of a run.
struct RunSummary {
    uint64_t                        calls = 0;
    uint64_t                        succeeded = 0; // status 2xx
    LatencyHistogram                all;           // of answered calls
    LatencyHistogram                successful;          // of calls with status 2xx
    std::map<std::string, uint64_t> outcomes;      // by name
    std::map<std::string, uint64_t> codes;         // by result code
    std::map<std::string, uint64_t> targets;       // by name
    Violations                       violations;
    double                          lastFailure = 0; // s from the start at which the last call failed
    std::vector<RunWindow>          windows;     // one after the other from the start of the run
};

/// Reads "id times" lines into the ledger.
void readLedger(std::string_view text, Ledger &ledger);

/// Holds the records against the ledger.
Violations findViolations(std::span<const CallRecord> records, const Ledger &ledger);

/// Adds up the records; the judgement is left to findViolations().
RunSummary summarise(std::span<const CallRecord> records);

/// A table for a person.
std::string summaryTable(const RunSummary &summary, Duration took);

/// One JSON object.
std::string summaryJson(const RunSummary &summary, Duration took);

} // namespace damask::standin
