/// Grants tokens of shared limits: one bucket for each key, which holds this grantor's part of the limit.
///
/// Use: `AllowanceGrantor grantor({.grantors = 3}, clock.now()); AllowanceGrant grant = grantor.grant(request, now);`
/// For load that comes to few of many instances: a limit belongs to whoever asks, not to each instance in equal parts.
/// In any interval of length x, the tokens granted for a key are at most the capacity of its bucket plus its part of
/// the rate times x, also across a restart of the process: buckets start empty and never take tokens back.
///
/// Pure: the caller passes the time and holds any lock.
#pragma once

#include "base/time.h"
#include "quota/allowance.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace damask {

/// Hash for look-ups by string_view in maps of strings.
struct AllowanceKeyHash {
    using is_transparent = void;
    size_t operator()(std::string_view key) const
    {
        return std::hash<std::string_view>()(key);
    }
};

template<class T>
using AllowanceMap = std::unordered_map<std::string, T, AllowanceKeyHash, std::equal_to<>>;

struct GrantorOptions {
    size_t   grantors = 1;                             // that divide each limit equally; 1 or more
    size_t   maxKeys = 16384;                          // beyond it, those not used for the longest time are evicted
    Duration maxRetryAfter = std::chrono::seconds(60); // upper limit of what an answer says

    // Upper limit of what competing askers add to the expected wait. They must come back often enough to use the limit
    // once fewer of them ask.
    Duration maxQueueing = std::chrono::milliseconds(500);
};

class AllowanceGrantor
{
public:
    AllowanceGrantor(const GrantorOptions &options, TimePoint startedAt); // startedAt: of the process

    AllowanceGrant grant(const AllowanceRequest &request, TimePoint now);

    /// Replaces the limit of a key that is in use, if the version is higher.
    void updateLimit(std::string_view key, const AllowanceLimit &limit, TimePoint now);

    size_t   keys() const;
    uint64_t tokensGranted() const; // since the start

private:
    struct Bucket {
        AllowanceLimit limit;
        double         level = 0; // tokens
        TimePoint      refilledAt{};
        TimePoint      usedAt{};       // last request
        TimePoint      queueEndsAt{};  // when tokens are expected for all askers that got none
        int64_t        second = 0;     // that `granted` counts
        double         granted = 0;    // tokens in that second
        double         grantedPre = 0; // tokens in the second before
    };

    AllowanceShare grantOne(const AllowanceWant &want, TimePoint now);
    Bucket        &bucketOf(const AllowanceWant &want, TimePoint now);
    void           refill(Bucket &bucket, TimePoint now) const;
    void           replaceLimit(Bucket &bucket, const AllowanceLimit &limit, TimePoint now) const;
    double         capacity(const AllowanceLimit &limit) const;
    double         rate(const AllowanceLimit &limit) const; // of this grantor
    void           evict(TimePoint now);
    Duration       retryAfter(Bucket &bucket, uint32_t granted, TimePoint now) const;
    double         usage(Bucket &bucket, uint32_t granted, TimePoint now) const;

    GrantorOptions       m_options;
    TimePoint            m_emptySince; // a key without a bucket has accrued tokens since then
    AllowanceMap<Bucket> m_buckets;
    uint64_t             m_tokensGranted = 0;
};

} // namespace damask
