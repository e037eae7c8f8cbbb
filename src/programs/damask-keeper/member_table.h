/// The membership as known to this keeper, shared by its threads.
#pragma once

#include "base/clock.h"
#include "base/lock.h"
#include "control/accept.h"
#include "member/duty.h"
#include "member/membership.h"

#include <span>
#include <string>
#include <vector>

namespace damask {

/// Safe from all threads.
class MemberTable
{
public:
    MemberTable(Clock &clock, const Instance &self);

    void                      replaceListed(std::span<const Instance> instances);
    void                      replaceRecorded(std::span<const Instance> instances);
    bool                      applyReport(const MemberReport &report); // true: its confirmed revision rose
    void                      updateSelf(uint64_t confirmed, uint64_t version, bool leaving);
    std::vector<MemberView>   members() const;
    std::vector<InstanceView> instanceViews() const; // input to decideAcceptance()

private:
    Clock              &m_clock;
    Instance            m_self;
    mutable RankedMutex m_mutex{LockRank::Control};
    Membership          m_membership;
};

} // namespace damask
