#include "route/deadline_history.h"

#include <algorithm>

namespace damask {

namespace {

constexpr size_t ReturnedShare = 8; // one in this many calls may be a return although there is room

} // namespace

void DeadlineHistory::record(Duration timeLeft)
{
    m_times[m_count % Samples] = timeLeft;
    ++m_count;
}

Duration DeadlineHistory::minAge(Duration timeLeft) const
{
    if (m_count < MinSamples) {
        return Duration(0);
    }
    std::array<Duration, Samples> times = m_times;
    const size_t n = std::min(m_count, Samples);
    const auto usual = times.begin() + static_cast<std::ptrdiff_t>(n / ReturnedShare);
    std::nth_element(times.begin(), usual, times.begin() + static_cast<std::ptrdiff_t>(n));
    return std::max(Duration(0), *usual - timeLeft);
}

} // namespace damask
