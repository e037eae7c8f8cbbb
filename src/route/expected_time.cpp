#include "route/expected_time.h"

#include <algorithm>
#include <cmath>

namespace damask {

namespace {

constexpr double Quantile = 0.1;                            // share of answers that are faster than the quantile
constexpr double InitialShare = 0.5;                        // of the first answer time, as the initial quantile
constexpr double StepShare = 0.05;                          // of the quantile, moved by one answer
constexpr double MinStep = 0.01;                            // ms
constexpr Duration DecayAfter = std::chrono::seconds(1);    // without any answer
constexpr Duration DecayHalfLife = std::chrono::seconds(1); // of the quantile while no answer arrives

} // namespace

void ExpectedTime::answered(Duration time, TimePoint now)
{
    const double sample = toMilliseconds(time);
    const double current = toMilliseconds(lowQuantile(now));
    if (current <= 0) {
        m_quantile = sample * InitialShare;
    } else {
        const double step = std::max(MinStep, current * StepShare);
        m_quantile = sample < current ? current - step * (1 - Quantile) : current + step * Quantile;
    }
    m_quantile = std::max(0.0, m_quantile);
    m_updatedAt = now;
}

Duration ExpectedTime::lowQuantile(TimePoint now) const
{
    const double halfLives =
        toSeconds(std::max(now - m_updatedAt - DecayAfter, Duration(0))) / toSeconds(DecayHalfLife);
    return fromMilliseconds(m_quantile * std::exp2(-halfLives));
}

} // namespace damask
