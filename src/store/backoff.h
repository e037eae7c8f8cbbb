/// Exponential backoff between attempts, with jitter so that many instances don't retry at the same moment.
#pragma once

#include "base/random.h"
#include "base/time.h"

namespace damask {

struct BackoffOptions {
    Duration initialDelay = std::chrono::milliseconds(200); // before the second attempt
    Duration maxDelay = std::chrono::seconds(10);           // upper bound
};

/// Not thread-safe.
class Backoff
{
public:
    Backoff(const BackoffOptions &options, RandomSource random);

    Duration next(); // random, 50 % to 100 % of the current delay, which then doubles
    void     reset();

private:
    BackoffOptions m_options;
    RandomSource   m_random;
    Duration       m_delay;
};

} // namespace damask
