/// Counts the calls in flight of each caller, to tell a burst of one caller from a high load caused by all callers.
///
/// Not thread-safe. A hash table of fixed size: callers whose names fall into the same bucket share one count.
#pragma once

#include "base/check.h"
#include "base/hash.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace damask {

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
