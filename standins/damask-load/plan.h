/// What is to be called and when: open-loop arrivals that don't wait for answers.
///
/// The same seed draws the same plan. Times are offsets from the start of the run, so that a late worker does
/// not shift later arrivals (no coordinated omission).
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
    std::string host;          // Host header; empty: the entry's address
    double      weight = 1;    // share of the calls, relative to the others
    int         chain = 0;     // further calls that its target makes, one below the other
    size_t      bodyBytes = 0; // of the request
};

struct PlanOptions {
    double                callsPerSecond = 100; // mean rate
    double                burstFactor = 1;      // rate while bursting, times the mean
    Duration              burstPeriod{0};       // a burst takes the first tenth of each; 0: none
    std::vector<CallKind> kinds;                // one or more
    uint64_t              seed = 1;
};

/// One planned call.
struct PlannedCall {
    Duration at{0};    // from the start of the run
    size_t   kind = 0; // in PlanOptions::kinds
    uint64_t number = 0;
};

/// Draws one call after the other, without end.
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

/// Reads "METHOD host path weight chain=N body=N" (the last two optional). BadSettings says what is allowed.
Result<CallKind> parseCallKind(std::string_view text);

} // namespace damask::standin
