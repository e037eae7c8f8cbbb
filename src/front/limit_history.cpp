#include "front/limit_history.h"

#include <algorithm>

namespace damask {

LimitHistory::LimitHistory(const ArrivalLimits &limits)
    : m_changes{{0, limits}}
{
}

void LimitHistory::change(const ArrivalLimits &limits, uint64_t arrived)
{
    if (m_changes.back().from == arrived) {
        m_changes.back().limits = limits; // nothing has arrived under the limits before
    } else {
        m_changes.push_back({arrived, limits});
    }
}

ArrivalLimits LimitHistory::forRequestAt(uint64_t offset)
{
    const auto later =
        std::find_if(m_changes.begin(), m_changes.end(), [offset](const Change &it) { return it.from > offset; });
    m_changes.erase(m_changes.begin(), later - 1); // the first change is never later than a request
    const ArrivalLimits &begun = m_changes.front().limits;
    const ArrivalLimits &newest = m_changes.back().limits;
    return {.size = {.headerBytes = std::max(begun.size.headerBytes, newest.size.headerBytes),
                     .bodyBytes = std::max(begun.size.bodyBytes, newest.size.bodyBytes)},
            .requestTimeout = std::max(begun.requestTimeout, newest.requestTimeout)};
}

} // namespace damask
