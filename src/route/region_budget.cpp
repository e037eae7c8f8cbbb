#include "route/region_budget.h"

#include "base/check.h"

namespace damask {

namespace {

constexpr double HeaderBytes = 512;                 // assumed size of a request without its body
constexpr Duration Burst = std::chrono::seconds(1); // burst capacity, as time at the full rate

TokenBucketOptions bucketFor(double bytesPerSecond)
{
    return {.perSecond = bytesPerSecond, .burst = bytesPerSecond * toSeconds(Burst)};
}

double bytesOf(size_t bodyBytes)
{
    return HeaderBytes + static_cast<double>(bodyBytes);
}

} // namespace

RegionBudget::RegionBudget(double bytesPerSecond, TimePoint now)
    : m_rate(bytesPerSecond)
    , m_bucket(bucketFor(bytesPerSecond), now)
    , m_from(now)
{
}

void RegionBudget::setRate(double bytesPerSecond, TimePoint now)
{
    if (bytesPerSecond == m_rate) {
        return;
    }
    const double left = m_bucket.level(now);
    m_rate = bytesPerSecond;
    m_bucket = TokenBucket(bucketFor(bytesPerSecond), now);
    const double burst = bucketFor(bytesPerSecond).burst;
    if (left < burst) {
        m_bucket.take(burst - left, now);
    }
    m_from = now;
    m_spent = 0;
}

bool RegionBudget::allows(size_t bodyBytes, TimePoint now)
{
    return m_bucket.level(now) >= bytesOf(bodyBytes);
}

void RegionBudget::spend(size_t bodyBytes, TimePoint now)
{
    const bool taken = m_bucket.take(bytesOf(bodyBytes), now);
    DAMASK_ASSERT(taken, "check allows() before sending a call to another region");
    m_spent += bytesOf(bodyBytes);
    const double maxSpent = m_rate * (toSeconds(now - m_from) + toSeconds(Burst)) + 1;
    DAMASK_ASSERT(m_spent <= maxSpent, "cross-region bytes stay within their budget");
}

double RegionBudget::spent() const
{
    return m_spent;
}

} // namespace damask
