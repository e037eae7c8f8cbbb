#include "base/token_bucket.h"

#include "base/check.h"

#include <algorithm>

namespace damask {

TokenBucket::TokenBucket(const TokenBucketOptions &options, TimePoint now)
    : m_options(options)
    , m_level(options.burst)
    , m_filledAt(now)
{
    DAMASK_ASSERT(options.perSecond >= 0 && options.burst >= 0, "rate and burst are zero or more");
}

bool TokenBucket::take(double amount, TimePoint now)
{
    fill(now);
    if (amount > m_level) {
        return false;
    }
    m_level -= amount;
    DAMASK_ASSERT(m_level >= 0, "a budget is never exceeded");
    return true;
}

void TokenBucket::add(double amount)
{
    m_level = std::min(m_options.burst, m_level + amount);
}

double TokenBucket::level(TimePoint now)
{
    fill(now);
    return m_level;
}

void TokenBucket::fill(TimePoint now)
{
    if (now <= m_filledAt) {
        return;
    }
    add(toSeconds(now - m_filledAt) * m_options.perSecond);
    m_filledAt = now;
}

} // namespace damask
