/// A hard limit on probes: bytes and probes per second, each in a token bucket. Pure; asserts that neither is
/// exceeded.
#pragma once

#include "base/time.h"
#include "base/token_bucket.h"

#include <cstdint>

namespace damask {

struct ProbeBudgetOptions {
    double bytesPerSecond = 4096; // requests and answers together
    double probesPerSecond = 20;  // limits the load on targets
};

class ProbeBudget
{
public:
    ProbeBudget(const ProbeBudgetOptions &options, TimePoint now);

    void setRates(const ProbeBudgetOptions &options, TimePoint now); // restarts with empty buckets if the rates changed
    bool allows(double bytes, TimePoint now);                        // spend() would succeed
    void spend(double bytes, TimePoint now);                         // asserts that allows() is true
    double   bytes() const;                                          // spent since the rates were set
    uint64_t probes() const;                                         // spent since the rates were set
    double   overBudget(TimePoint now) const;                        // bytes spent minus allowed; at most 0

private:
    ProbeBudgetOptions m_options;
    TokenBucket        m_bytes;
    TokenBucket        m_probes;
    TimePoint          m_startedAt;
    double             m_bytesSpent = 0;
    uint64_t           m_probesSpent = 0;
};

} // namespace damask
