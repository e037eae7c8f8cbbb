#include "store/backoff.h"

#include <algorithm>

namespace damask {

Backoff::Backoff(const BackoffOptions &options, RandomSource random)
    : m_options(options)
    , m_random(std::move(random))
    , m_delay(options.initialDelay)
{
}

Duration Backoff::next()
{
    const auto half = m_delay / 2;
    const Duration delay =
        half + Duration(static_cast<int64_t>(static_cast<double>(half.count()) * randomUnit(m_random)));
    m_delay = std::min(m_delay * 2, m_options.maxDelay);
    return delay;
}

void Backoff::reset()
{
    m_delay = m_options.initialDelay;
}

} // namespace damask
