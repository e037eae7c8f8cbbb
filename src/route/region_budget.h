/// The hard budget of bytes that one entry sends to other regions for one service.
///
/// Pure; asserts that no more was spent than rate and burst allow.
#pragma once

#include "base/time.h"
#include "base/token_bucket.h"

#include <cstddef>

namespace damask {

class RegionBudget
{
public:
    RegionBudget(double bytesPerSecond, TimePoint now);

    void   setRate(double bytesPerSecond, TimePoint now); // keeps what is left, up to the new burst
    bool   allows(size_t bodyBytes, TimePoint now);       // whether spend() would succeed
    void   spend(size_t bodyBytes, TimePoint now);        // asserts that allows() held
    double spent() const;                                 // bytes since the rate was set

private:
    double      m_rate;
    TokenBucket m_bucket;
    TimePoint   m_from;
    double      m_spent = 0;
};

} // namespace damask
