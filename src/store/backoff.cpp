#include "store/backoff.h"

#include <algorithm>

namespace damask {

Backoff::Backoff(const BackoffOptions &options, RandomSource random)
    : m_options(options)
    , m_random(std::move(random))
    , m_pause(options.least)
{
}

Duration Backoff::next()
{
    const auto half = m_pause / 2;
    const Duration pause =
        half + Duration(static_cast<int64_t>(static_cast<double>(half.count()) * randomUnit(m_random)));
    m_pause = std::min(m_pause * 2, m_options.most);
    return pause;
}

void Backoff::reset()
{
    m_pause = m_options.least;
}

} // namespace damask
