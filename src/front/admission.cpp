#include "front/admission.h"

#include "base/check.h"

#include <algorithm>

namespace damask {

Admission::Admission(const AdmissionOptions &options)
    : m_options(options)
{
    DAMASK_ASSERT(options.levels >= 0, "set the number of levels to zero or more");
    DAMASK_ASSERT(options.workers > options.reservedPerLevel * static_cast<size_t>(options.levels),
                  "raise the number of workers or lower the number reserved for deeper calls");
}

size_t Admission::limit(int depth) const
{
    const int deeper = m_options.levels - std::clamp(depth, 0, m_options.levels);
    return m_options.workers - m_options.reservedPerLevel * static_cast<size_t>(deeper);
}

bool Admission::tryAcquire(int depth)
{
    const size_t maximum = limit(depth);
    size_t n = m_busy.load(std::memory_order_relaxed);
    while (n < maximum) {
        if (m_busy.compare_exchange_weak(n, n + 1, std::memory_order_acq_rel)) {
            return true;
        }
    }
    return false;
}

void Admission::release()
{
    const size_t previous = m_busy.fetch_sub(1, std::memory_order_acq_rel);
    DAMASK_ASSERT(previous > 0, "call release() exactly once for each tryAcquire() that returned true");
}

size_t Admission::busy() const
{
    return m_busy.load(std::memory_order_acquire);
}

} // namespace damask
