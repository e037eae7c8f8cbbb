/// A hard limit on the bytes that this instance sends to other regions for one service.
///
/// Not thread-safe; the caller passes the time. Asserts that the bytes spent never exceed what rate and burst allow.
#pragma once

#include "base/time.h"
#include "base/token_bucket.h"

#include <cstddef>

namespace damask {

class RegionBudget
{
public:
    RegionBudget(double bytesPerSecond, TimePoint now);

    void   setRate(double bytesPerSecond, TimePoint now); // keeps the remaining tokens, up to the new burst
    bool   allows(size_t bodyBytes, TimePoint now);       // whether spend() would succeed
    void   spend(size_t bodyBytes, TimePoint now);        // asserts that allows() is true
    double spent() const;                                 // bytes since the rate was set

private:
    double      m_rate;
    TokenBucket m_bucket;
    TimePoint   m_from;
    double      m_spent = 0;
};

} // namespace damask
