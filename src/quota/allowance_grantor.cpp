#include "quota/allowance_grantor.h"

#include "base/check.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace damask {

namespace {

constexpr double MinCapacity = 1;  // tokens; a bucket that holds less never grants any
constexpr double MaxUsage = 1e6;   // far below what a message may carry
constexpr size_t EvictedShare = 8; // one in this many keys is evicted at once, so that the scan is rare
constexpr Duration RetryMargin = std::chrono::milliseconds(1); // above the rounding error of the level

} // namespace

AllowanceGrantor::AllowanceGrantor(const GrantorOptions &options, TimePoint startedAt)
    : m_options(options)
    , m_emptySince(startedAt)
{
    DAMASK_ASSERT(options.grantors > 0 && options.maxKeys > 0, "pass at least one grantor and one key");
}

AllowanceGrant AllowanceGrantor::grant(const AllowanceRequest &request, TimePoint now)
{
    AllowanceGrant out{.number = request.number, .shares = {}};
    out.shares.reserve(request.wants.size());
    for (const AllowanceWant &it : request.wants) {
        out.shares.push_back(grantOne(it, now));
    }
    return out;
}

void AllowanceGrantor::updateLimit(std::string_view key, const AllowanceLimit &limit, TimePoint now)
{
    if (const auto it = m_buckets.find(key); it != m_buckets.end()) {
        replaceLimit(it->second, limit, now);
    }
}

size_t AllowanceGrantor::keys() const
{
    return m_buckets.size();
}

uint64_t AllowanceGrantor::tokensGranted() const
{
    return m_tokensGranted;
}

AllowanceShare AllowanceGrantor::grantOne(const AllowanceWant &want, TimePoint now)
{
    Bucket &bucket = bucketOf(want, now);
    bucket.usedAt = now;
    const auto granted = static_cast<uint32_t>(std::min<double>(want.tokens, std::floor(bucket.level)));
    bucket.level -= granted;
    DAMASK_ASSERT(bucket.level >= 0, "never grant more tokens than the bucket holds");
    m_tokensGranted += granted;
    AllowanceShare out{.key = want.key, .tokens = granted, .retryAfter = {}, .usage = usage(bucket, granted, now)};
    if (granted < want.tokens) {
        out.retryAfter = retryAfter(bucket, granted, now);
    }
    return out;
}

AllowanceGrantor::Bucket &AllowanceGrantor::bucketOf(const AllowanceWant &want, TimePoint now)
{
    if (const auto it = m_buckets.find(want.key); it != m_buckets.end()) {
        refill(it->second, now);
        replaceLimit(it->second, want.limit, now);
        return it->second;
    }
    if (m_buckets.size() >= m_options.maxKeys) {
        evict(now);
    }
    const double accrued = std::max(toSeconds(now - m_emptySince), 0.0) * rate(want.limit);
    Bucket bucket;
    bucket.limit = want.limit;
    bucket.level = std::min(capacity(want.limit), accrued);
    bucket.refilledAt = now;
    return m_buckets.emplace(want.key, bucket).first->second;
}

void AllowanceGrantor::refill(Bucket &bucket, TimePoint now) const
{
    if (now <= bucket.refilledAt) {
        return;
    }
    const double accrued = toSeconds(now - bucket.refilledAt) * rate(bucket.limit);
    bucket.level = std::min(capacity(bucket.limit), bucket.level + accrued);
    bucket.refilledAt = now;
}

/// Time before the change counts at the old rate; a lower capacity binds at once.
void AllowanceGrantor::replaceLimit(Bucket &bucket, const AllowanceLimit &limit, TimePoint now) const
{
    if (limit.version <= bucket.limit.version) {
        return;
    }
    refill(bucket, now);
    bucket.limit = limit;
    bucket.level = std::min(bucket.level, capacity(limit));
    bucket.queueEndsAt = {};
}

double AllowanceGrantor::capacity(const AllowanceLimit &limit) const
{
    return std::max(limit.burst / static_cast<double>(m_options.grantors), MinCapacity);
}

double AllowanceGrantor::rate(const AllowanceLimit &limit) const
{
    return limit.perSecond / static_cast<double>(m_options.grantors);
}

/// Evicts the keys that were not used for the longest time. A key that comes back starts with what accrued since
/// m_emptySince, so that time is moved forward if an evicted bucket was not full: otherwise the key would get tokens
/// that it has used already.
void AllowanceGrantor::evict(TimePoint now)
{
    std::vector<std::pair<TimePoint, std::string_view>> oldest;
    oldest.reserve(m_buckets.size());
    for (const auto &[key, it] : m_buckets) {
        oldest.emplace_back(it.usedAt, key);
    }
    const size_t n = std::max<size_t>(oldest.size() / EvictedShare, 1);
    std::nth_element(oldest.begin(), oldest.begin() + static_cast<std::ptrdiff_t>(n - 1), oldest.end());
    for (size_t i = 0; i < n; ++i) {
        const auto it = m_buckets.find(oldest[i].second);
        refill(it->second, now);
        if (it->second.level < capacity(it->second.limit)) {
            m_emptySince = std::max(m_emptySince, now);
        }
        m_buckets.erase(it);
    }
}

/// Askers that got nothing are told to come back one after the other at the rate of the limit, so that an account far
/// above its limit costs few messages however many instances ask.
Duration AllowanceGrantor::retryAfter(Bucket &bucket, uint32_t granted, TimePoint now) const
{
    const double perSecond = rate(bucket.limit);
    const double longest = toSeconds(m_options.maxRetryAfter);
    const auto untilTokens = [&](double tokens) {
        const double seconds = perSecond > 0 ? std::min(std::max(tokens, 0.0) / perSecond, longest) : longest;
        return fromMilliseconds(1000 * seconds) + RetryMargin;
    };
    const Duration wait = untilTokens(1 - bucket.level);
    if (granted > 0) {
        return wait;
    }
    const TimePoint after = std::max(bucket.queueEndsAt + untilTokens(1), now + wait);
    bucket.queueEndsAt = std::min(after, now + wait + m_options.maxQueueing);
    return bucket.queueEndsAt - now;
}

/// Adds the tokens granted now, and returns the count of the last second as a share of this grantor's part.
double AllowanceGrantor::usage(Bucket &bucket, uint32_t granted, TimePoint now) const
{
    const double seconds = toSeconds(now.time_since_epoch());
    const auto second = static_cast<int64_t>(std::floor(seconds));
    if (second != bucket.second) {
        bucket.grantedPre = second == bucket.second + 1 ? bucket.granted : 0;
        bucket.granted = 0;
        bucket.second = second;
    }
    bucket.granted += granted;
    const double count = bucket.granted + bucket.grantedPre * (1 - (seconds - static_cast<double>(second)));
    const double perSecond = rate(bucket.limit);
    return perSecond > 0 ? std::min(count / perSecond, MaxUsage) : 0;
}

} // namespace damask
