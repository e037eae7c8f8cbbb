#include "route/quota_shortage.h"

#include "base/hash.h"

#include <algorithm>

namespace damask {

namespace {

size_t bucketOf(std::string_view account)
{
    return hashBytes(account) % QuotaShortage::Buckets;
}

} // namespace

/// What callers allow is recorded only while there is quota: calls that come back have less time left.
bool QuotaShortage::makesWay(const QuotaCall &call, TimePoint now)
{
    if (now < m_until[bucketOf(call.account)]) {
        return isLate(call);
    }
    if (call.callerLeft > Duration(0) && (m_histories.contains(call.rule) || m_histories.size() < MaxRules)) {
        m_histories[std::string(call.rule)].record(call.callerLeft);
    }
    return false;
}

void QuotaShortage::recordRefusal(const QuotaCall &call, TimePoint now)
{
    if (call.objective > Duration(0) && !isLate(call)) {
        TimePoint &until = m_until[bucketOf(call.account)];
        until = std::max(until, now + call.objective);
    }
}

bool QuotaShortage::isLate(const QuotaCall &call) const
{
    const auto it = m_histories.find(call.rule);
    return it != m_histories.end() && call.objective > Duration(0) && call.callerLeft > Duration(0)
           && it->second.minAge(call.callerLeft) >= call.objective;
}

} // namespace damask
