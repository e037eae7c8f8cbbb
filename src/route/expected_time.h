/// The least time that a call of a service is expected to take, for early refusal.
///
/// Pure. The expectation fades while no answer comes, so that it can never keep refusing for good.
#pragma once

#include "base/time.h"

namespace damask {

class ExpectedTime
{
public:
    void     answered(Duration time, TimePoint now); // of a call from grant to its good answer
    Duration lowQuantile(TimePoint now) const;       // a low quantile of answers; 0 while nothing is known

private:
    double    m_quantile = 0; // ms
    TimePoint m_updatedAt{};
};

} // namespace damask
