/// Growing pauses between tries, with jitter so that many instances don't try at once.
#pragma once

#include "base/random.h"
#include "base/time.h"

namespace damask {

struct BackoffOptions {
    Duration initialDelay = std::chrono::milliseconds(200); // before the second try
    Duration maxDelay = std::chrono::seconds(10);           // bound
};

/// Pure; not safe to share between threads.
class Backoff
{
public:
    Backoff(const BackoffOptions &options, RandomSource random);

    Duration next(); // from half of the pause up to the whole; the pause doubles
    void     reset();

private:
    BackoffOptions m_options;
    RandomSource   m_random;
    Duration       m_delay;
};

} // namespace damask
