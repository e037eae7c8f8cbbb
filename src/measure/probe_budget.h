/// A hard budget for measuring: bytes and probes, both in token buckets. Pure; asserts that neither is exceeded.
#pragma once

#include "base/time.h"
#include "base/token_bucket.h"

#include <cstdint>

namespace damask {

struct ProbeBudgetOptions {
    double bytesPerSecond = 4096; // request and answer of each probe
    double probesPerSecond = 20;  // work asked of targets
};

class ProbeBudget
{
public:
    ProbeBudget(const ProbeBudgetOptions &options, TimePoint now);

    void     setRates(const ProbeBudgetOptions &options, TimePoint now); // starts empty when the rates changed
    bool     allows(double bytes, TimePoint now);                        // whether spend() would succeed
    void     spend(double bytes, TimePoint now);                         // asserts that allows() held
    double   bytes() const;                                              // spent since the rates were set
    uint64_t probes() const;                                             // spent since the rates were set
    double   overBudget(TimePoint now) const;                            // bytes beyond rate and burst; 0 or below

private:
    ProbeBudgetOptions m_options;
    TokenBucket        m_bytes;
    TokenBucket        m_probes;
    TimePoint          m_startedAt;
    double             m_bytesSpent = 0;
    uint64_t           m_probesSpent = 0;
};

} // namespace damask
