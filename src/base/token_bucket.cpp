#include "base/token_bucket.h"

#include "base/check.h"

#include <algorithm>

namespace damask {

TokenBucket::TokenBucket(const TokenBucketOptions &options, TimePoint now)
    : m_options(options)
    , m_level(options.burst)
    , m_refilledAt(now)
{
    DAMASK_ASSERT(options.perSecond >= 0 && options.burst >= 0, "pass a rate and a burst of zero or more");
}

bool TokenBucket::take(double amount, TimePoint now)
{
    refill(now);
    if (amount > m_level) {
        return false;
    }
    m_level -= amount;
    DAMASK_ASSERT(m_level >= 0, "never take more tokens than the bucket holds");
    return true;
}

void TokenBucket::add(double amount)
{
    m_level = std::min(m_options.burst, m_level + amount);
}

double TokenBucket::level(TimePoint now)
{
    refill(now);
    return m_level;
}

void TokenBucket::refill(TimePoint now)
{
    if (now <= m_refilledAt) {
        return;
    }
    add(toSeconds(now - m_refilledAt) * m_options.perSecond);
    m_refilledAt = now;
}

} // namespace damask
