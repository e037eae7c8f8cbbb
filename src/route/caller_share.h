/// Counts the calls in flight of each caller, to tell a burst of one caller from a high load caused by all callers. A
/// caller is a client account, or an address where a call has no account.
///
/// Load pattern: one client account that sends several times its usual rate to all instances, each of which sees few of
/// its calls. What the account used of its quota over all instances is therefore compared before the calls in flight
/// from this one, in steps so wide that the usual variation of a small account does not change the order.
///
/// Not thread-safe. A hash table of fixed size: callers whose names fall into the same bucket share one count.
#pragma once

#include "base/check.h"
#include "base/hash.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <string_view>

namespace damask {

/// Step of an account's usage of its quota, compared between waiting calls. The steps are centred on multiples of a
/// half: about 0.6, an account at its usual rate, and 1, one that has its quota used up, are the centres of two.
inline int usageStep(double usage)
{
    constexpr double StepsPerQuota = 2;
    constexpr double MaxStep = 8; // four times the quota; beyond it, all are equal
    const double     steps = usage * StepsPerQuota;
    return steps > 0 ? static_cast<int>(std::lround(std::min(steps, MaxStep))) : 0;
}

class CallerShares
{
public:
    static constexpr uint32_t Buckets = 256;

    static uint32_t bucket(std::string_view caller)
    {
        return static_cast<uint32_t>(hashBytes(caller) % Buckets);
    }
    void started(uint32_t bucket)
    {
        ++m_inFlight[bucket];
    }
    void ended(uint32_t bucket)
    {
        DAMASK_ASSERT(m_inFlight[bucket] > 0, "end each started call exactly once");
        --m_inFlight[bucket];
    }
    uint32_t inFlight(uint32_t bucket) const
    {
        return m_inFlight[bucket];
    }

private:
    std::array<uint32_t, Buckets> m_inFlight{};
};

} // namespace damask
