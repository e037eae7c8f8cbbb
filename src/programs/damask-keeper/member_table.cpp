#include "member_table.h"

namespace damask {

MemberTable::MemberTable(Clock &clock, const Instance &self)
    : m_clock(clock)
    , m_self(self)
{
    updateSelf(0, 0, false);
}

void MemberTable::replaceListed(std::span<const Instance> instances)
{
    LockGuard lock(m_mutex);
    m_membership.replaceListed(instances, m_clock.now());
}

void MemberTable::replaceRecorded(std::span<const Instance> instances)
{
    LockGuard lock(m_mutex);
    m_membership.replaceRecorded(instances, m_clock.now());
}

bool MemberTable::applyReport(const MemberReport &report)
{
    LockGuard lock(m_mutex);
    return m_membership.applyReport(report, m_clock.now());
}

void MemberTable::updateSelf(uint64_t confirmed, uint64_t version, bool leaving)
{
    MemberReport report{m_self, confirmed, version, Duration::zero()};
    report.instance.state = leaving ? InstanceState::Leaving : InstanceState::Live;
    applyReport(report);
}

std::vector<MemberView> MemberTable::members() const
{
    LockGuard lock(m_mutex);
    return m_membership.members(m_clock.now());
}

std::vector<InstanceView> MemberTable::instanceViews() const
{
    std::vector<InstanceView> out;
    for (const MemberView &it : members()) {
        out.push_back({.name = it.instance.name,
                       .incarnation = it.instance.incarnation,
                       .listed = it.listed,
                       .leaseHeld = it.recorded || !it.silent,
                       .lapsedFor = it.silence,
                       .confirmedRevision = it.confirmed});
    }
    return out;
}

} // namespace damask
