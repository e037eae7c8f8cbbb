#include "measure/probe_budget.h"

#include "base/check.h"

#include <algorithm>

namespace damask {

namespace {

constexpr double BurstSeconds = 0.25;      // bucket size, in seconds of the rate
constexpr double RoundingTolerance = 1e-6; // for sums of doubles

double burstOf(double perSecond)
{
    return perSecond * BurstSeconds;
}

TokenBucket bucketOf(double perSecond, double minBurst, TimePoint now)
{
    const double burst = perSecond > 0 ? std::max(burstOf(perSecond), minBurst) : 0;
    TokenBucket bucket({.perSecond = perSecond, .burst = burst}, now);
    bucket.take(burst, now);
    return bucket;
}

constexpr double MinBurstBytes = 512; // allows one probe at the lowest rates
constexpr double MinBurstProbes = 1;  // allows one probe at the lowest rates

} // namespace

ProbeBudget::ProbeBudget(const ProbeBudgetOptions &options, TimePoint now)
    : m_options(options)
    , m_bytes(bucketOf(options.bytesPerSecond, MinBurstBytes, now))
    , m_probes(bucketOf(options.probesPerSecond, MinBurstProbes, now))
    , m_startedAt(now)
{
}

void ProbeBudget::setRates(const ProbeBudgetOptions &options, TimePoint now)
{
    const bool same =
        options.bytesPerSecond == m_options.bytesPerSecond && options.probesPerSecond == m_options.probesPerSecond;
    if (!same) {
        *this = ProbeBudget(options, now);
    }
}

bool ProbeBudget::allows(double bytes, TimePoint now)
{
    return m_bytes.level(now) >= bytes && m_probes.level(now) >= 1;
}

void ProbeBudget::spend(double bytes, TimePoint now)
{
    const bool taken = m_bytes.take(bytes, now) && m_probes.take(1, now);
    DAMASK_ASSERT(taken, "call allows() before each probe");
    m_bytesSpent += bytes;
    ++m_probesSpent;
    DAMASK_ASSERT(overBudget(now) <= RoundingTolerance, "probes must not exceed their budget");
}

double ProbeBudget::bytes() const
{
    return m_bytesSpent;
}

uint64_t ProbeBudget::probes() const
{
    return m_probesSpent;
}

double ProbeBudget::overBudget(TimePoint now) const
{
    // The buckets start empty, so the rate alone bounds the total spent, without the burst.
    return m_bytesSpent - m_options.bytesPerSecond * toSeconds(now - m_startedAt);
}

} // namespace damask
