/// Schedule of an open-loop load: arrivals do not wait for responses.
///
/// The same seed gives the same plan. Times are offsets from the start of the run, so a late worker does not delay
/// later arrivals (no coordinated omission).
#pragma once

#include "base/random.h"
#include "base/result.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace damask::standin {

/// One kind of call and its weight in the mix.
struct CallKind {
    std::string method = "GET";
    std::string path = "/";
    std::string host;          // Host header; default: the entry's address
    double      weight = 1;    // relative to the other kinds
    int         chain = 0;     // depth of nested calls below its target
    size_t      bodyBytes = 0; // request body
};

struct PlanOptions {
    double                callsPerSecond = 100; // mean rate
    double                burstFactor = 1;      // rate during a burst, as a multiple of the mean
    Duration              burstPeriod{0};       // a burst fills the first tenth of each period; 0: no bursts
    std::vector<CallKind> kinds;                // at least one
    uint64_t              seed = 1;
};

/// One planned call.
struct PlannedCall {
    Duration at{0};    // from the start of the run
    size_t   kind = 0; // in PlanOptions::kinds
    uint64_t number = 0;
};

/// Generates an unbounded sequence of calls.
class Plan
{
public:
    explicit Plan(PlanOptions options);
    PlannedCall next();

private:
    double rateNow() const;

    PlanOptions  m_options;
    RandomSource m_random;
    double       m_totalWeight = 0;
    Duration     m_at{0};
    uint64_t     m_number = 0;
};

/// Reads "METHOD host path weight chain=N body=N" (the last two optional). BadSettings if invalid; the detail states
/// what is allowed.
Result<CallKind> parseCallKind(std::string_view text);

} // namespace damask::standin
