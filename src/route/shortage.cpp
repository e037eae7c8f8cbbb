#include "route/shortage.h"

#include <algorithm>

namespace damask {

void Shortage::record(int rank, Duration objective, TimePoint now)
{
    std::erase_if(m_until, [now](const auto &it) { return it.second <= now; });
    if (objective > Duration(0) && (m_until.contains(rank) || m_until.size() < MaxRanks)) {
        TimePoint &until = m_until[rank];
        until = std::max(until, now + objective);
    }
}

bool Shortage::holdsBack(int rank, TimePoint now) const
{
    return std::any_of(m_until.begin(), m_until.end(),
                       [&](const auto &it) { return it.first <= rank && now < it.second; });
}

bool Shortage::active(TimePoint now) const
{
    return std::any_of(m_until.begin(), m_until.end(), [now](const auto &it) { return now < it.second; });
}

} // namespace damask
