#include "route/shortage.h"

#include <algorithm>

namespace damask {

void Shortage::record(const Urgency &urgency, Duration objective, TimePoint now)
{
    std::erase_if(m_until, [now](const auto &it) { return it.second <= now; });
    if (objective > Duration(0) && (m_until.contains(urgency) || m_until.size() < MaxRanks)) {
        TimePoint &until = m_until[urgency];
        until = std::max(until, now + objective);
    }
}

bool Shortage::holdsBack(const Urgency &urgency, TimePoint now) const
{
    return std::any_of(m_until.begin(), m_until.end(),
                       [&](const auto &it) { return !(urgency < it.first) && now < it.second; });
}

bool Shortage::active(TimePoint now) const
{
    return std::any_of(m_until.begin(), m_until.end(), [now](const auto &it) { return now < it.second; });
}

} // namespace damask
