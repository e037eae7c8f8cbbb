/// A token bucket: a rate with a bounded burst. Pure; the caller passes the time and holds any lock.
#pragma once

#include "base/time.h"

namespace damask {

/// Options of a TokenBucket, in any unit (bytes, probes, retries).
struct TokenBucketOptions {
    double perSecond = 1; // units filled in each second
    double burst = 1;     // units held at most
};

class TokenBucket
{
public:
    TokenBucket(const TokenBucketOptions &options, TimePoint now); // starts full

    bool   take(double amount, TimePoint now); // true when there was enough; takes nothing otherwise
    void   add(double amount);                 // puts units in, up to the burst
    double level(TimePoint now);               // units held now; never negative

private:
    void refill(TimePoint now);

    TokenBucketOptions m_options;
    double             m_level;
    TimePoint          m_refilledAt;
};

} // namespace damask
