#include "route/expected_time.h"

#include <algorithm>
#include <cmath>

namespace damask {

namespace {

constexpr double Quantile = 0.1;                           // of answers that are faster than the expectation
constexpr double FirstShare = 0.5;                         // of the first answer's time, to start from
constexpr double StepShare = 0.05;                         // of the expectation, by which one answer moves it
constexpr double LeastStep = 0.01;                         // ms
constexpr Duration FadeAfter = std::chrono::seconds(1);    // without an answer
constexpr Duration FadeHalfLife = std::chrono::seconds(1); // of the expectation while no answer comes

} // namespace

void ExpectedTime::answered(Duration time, TimePoint now)
{
    const double sample = toMilliseconds(time);
    const double known = toMilliseconds(least(now));
    if (known <= 0) {
        m_quantile = sample * FirstShare;
    } else {
        const double step = std::max(LeastStep, known * StepShare);
        m_quantile = sample < known ? known - step * (1 - Quantile) : known + step * Quantile;
    }
    m_quantile = std::max(0.0, m_quantile);
    m_learnedAt = now;
}

Duration ExpectedTime::least(TimePoint now) const
{
    const double halves = toSeconds(std::max(now - m_learnedAt - FadeAfter, Duration(0))) / toSeconds(FadeHalfLife);
    return fromMilliseconds(m_quantile * std::exp2(-halves));
}

} // namespace damask
