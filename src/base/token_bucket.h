/// A token bucket: limits a rate and the size of bursts. Pure; the caller passes the time and holds any lock.
#pragma once

#include "base/time.h"

namespace damask {

/// Options of a TokenBucket. Tokens have any unit (bytes, probes, retries).
struct TokenBucketOptions {
    double perSecond = 1; // tokens added per second
    double burst = 1;     // capacity in tokens
};

class TokenBucket
{
public:
    TokenBucket(const TokenBucketOptions &options, TimePoint now); // starts full

    bool   take(double amount, TimePoint now); // false: not enough tokens, none taken
    void   add(double amount);                 // adds tokens, up to the burst
    double level(TimePoint now);               // tokens available at `now`; never negative

private:
    void refill(TimePoint now);

    TokenBucketOptions m_options;
    double             m_level;
    TimePoint          m_refilledAt;
};

} // namespace damask
