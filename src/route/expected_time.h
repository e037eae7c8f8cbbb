/// A low quantile of the answer times of a service: calls with less time left are refused early.
///
/// Not thread-safe. The quantile decays while no answer arrives. Otherwise early refusals, which prevent new answers,
/// could go on for ever.
#pragma once

#include "base/time.h"

namespace damask {

class ExpectedTime
{
public:
    void     answered(Duration time, TimePoint now); // from the grant of a permit to a successful answer
    Duration lowQuantile(TimePoint now) const;       // 0 until the first answer

private:
    double    m_quantile = 0; // ms
    TimePoint m_updatedAt{};
};

} // namespace damask
