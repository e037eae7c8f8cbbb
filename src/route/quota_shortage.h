/// Keeps the quota of a client account for calls that can still meet their latency objective.
///
/// Load pattern: an account that sends several times its quota. Rejected callers come back, and compete with new calls
/// for the same quota. A call that can no longer be answered in time would use up what another could, so that in the
/// end most responses are late. While an account is short of quota, its late calls get none; the others are served in
/// the order of arrival. The memory lasts for one latency objective after the last call in time that got no quota.
///
/// Not thread-safe: the caller holds any lock and passes the time.
#pragma once

#include "base/time.h"
#include "route/deadline_history.h"

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace damask {

/// A call as far as its quota is concerned.
struct QuotaCall {
    std::string_view account;       // name
    std::string_view rule;          // name; its callers allow about the same time
    Duration         objective{0};  // 0: none, the call is never late
    Duration         callerLeft{0}; // time that the caller allows, as stated on arrival; 0: not stated
};

class QuotaShortage
{
public:
    static constexpr size_t MaxRules = 64;  // with a history; calls of further rules never count as late
    static constexpr size_t Buckets = 1024; // accounts whose names fall into the same one share the memory

    bool makesWay(const QuotaCall &call, TimePoint now);      // whether it gets no quota; call it once for each call
    void recordRefusal(const QuotaCall &call, TimePoint now); // the quota was used up

private:
    bool isLate(const QuotaCall &call) const;

    std::map<std::string, DeadlineHistory, std::less<>> m_histories; // by rule
    std::array<TimePoint, Buckets>                      m_until{};   // short of quota; by account
};

} // namespace damask
