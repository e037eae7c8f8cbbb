#include "member/lease.h"

#include <algorithm>

namespace damask {

LeaseHolder::LeaseHolder(const LeaseOptions &options)
    : m_options(options)
{
}

void LeaseHolder::granted(uint64_t id, TimePoint requestedAt, Duration timeToLive)
{
    if (id != m_id) {
        m_id = id;
        m_deadline = TimePoint();
    }
    m_deadline = std::max(m_deadline, requestedAt + timeToLive);
    m_renewAt = requestedAt + timeToLive / m_options.renewals;
}

void LeaseHolder::lost()
{
    m_id = 0;
}

Result<void> LeaseHolder::check(TimePoint now) const
{
    if (m_id == 0) {
        return fail(Code::LeaseLapsed, "no lease is held");
    }
    if (now + m_options.margin >= m_deadline) {
        return fail(Code::LeaseLapsed, "the lease has expired by the local clock");
    }
    return {};
}

bool LeaseHolder::renewalDue(TimePoint now) const
{
    return m_id == 0 || now >= m_renewAt;
}

bool LeaseHolder::expired(TimePoint now) const
{
    return m_id != 0 && now >= m_deadline;
}

uint64_t LeaseHolder::id() const
{
    return m_id;
}

} // namespace damask
