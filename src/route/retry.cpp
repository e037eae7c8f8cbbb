#include "route/retry.h"

namespace damask {

namespace {

constexpr int ServiceUnavailable = 503;
constexpr int FirstServerError = 500; // HTTP status

/// Whether the failure provably occurred at this hop, so that nothing further down the chain has run.
bool provenNotRun(RetryReason reason)
{
    return reason == RetryReason::NotSent || reason == RetryReason::Refused;
}

} // namespace

std::string_view retryReasonName(RetryReason reason)
{
    switch (reason) {
    case RetryReason::None:
        return "none";
    case RetryReason::NotSent:
        return "not-sent";
    case RetryReason::Refused:
        return "refused";
    case RetryReason::Lost:
        return "lost";
    case RetryReason::Unavailable:
        return "unavailable";
    case RetryReason::Failed:
        return "failed";
    }
    return "none";
}

std::string_view retryDenialName(RetryDenial denial)
{
    switch (denial) {
    case RetryDenial::None:
        return "none";
    case RetryDenial::NotNeeded:
        return "not-needed";
    case RetryDenial::Cancelled:
        return "cancelled";
    case RetryDenial::NotIdempotent:
        return "not-idempotent";
    case RetryDenial::Depth:
        return "depth";
    case RetryDenial::Attempts:
        return "attempts";
    case RetryDenial::Deadline:
        return "deadline";
    case RetryDenial::Budget:
        return "budget";
    case RetryDenial::BodySent:
        return "body-sent";
    case RetryDenial::Shutdown:
        return "shutdown";
    case RetryDenial::Key:
        return "key";
    }
    return "none";
}

RetryReason retryReason(const AttemptResult &last, bool retryErrors)
{
    switch (last.end) {
    case AttemptEnd::NotSent:
        return RetryReason::NotSent;
    case AttemptEnd::Refused:
        return RetryReason::Refused;
    case AttemptEnd::Lost:
        return RetryReason::Lost;
    case AttemptEnd::Answered:
        break;
    }
    const bool retryable =
        last.response.status == ServiceUnavailable && !headerValue(last.response.headers, "Retry-After").empty();
    if (retryable) {
        return RetryReason::Unavailable;
    }
    return retryErrors && last.response.status >= FirstServerError ? RetryReason::Failed : RetryReason::None;
}

RetryDenial retryDenial(const RetryContext &context)
{
    const RetryReason reason = retryReason(context.last, context.retryErrors);
    if (reason == RetryReason::None) {
        return RetryDenial::NotNeeded;
    }
    if (context.cancelled) {
        return RetryDenial::Cancelled;
    }
    if (context.bodySent) {
        return RetryDenial::BodySent;
    }
    if (!provenNotRun(reason) && !context.idempotent) {
        return RetryDenial::NotIdempotent;
    }
    if (!provenNotRun(reason) && context.depth > 0) {
        return RetryDenial::Depth;
    }
    const bool limited = context.maxSent > 0;
    const int sentLimit = limited ? context.maxSent : MaxAttempts;
    const int attemptLimit = limited ? context.maxSent + MaxUnsentAttempts : MaxAttempts;
    if (context.sent >= sentLimit || context.attempts >= attemptLimit) {
        return RetryDenial::Attempts;
    }
    return context.timeLeft < MinRetryTime ? RetryDenial::Deadline : RetryDenial::None;
}

RetryBudget::RetryBudget(const RetryBudgetOptions &options)
    : m_options(options)
{
}

void RetryBudget::setOptions(const RetryBudgetOptions &options)
{
    LockGuard lock(m_mutex);
    if (options.window != m_options.window) {
        m_buckets = {}; // bucket numbers depend on the window length
    }
    m_options = options;
}

RetryBudget::Bucket &RetryBudget::bucketAt(TimePoint now)
{
    const int64_t number = now.time_since_epoch() / (m_options.window / BucketCount);
    Bucket &bucket = m_buckets[static_cast<size_t>(number % (BucketCount + 1))];
    if (bucket.number != number) {
        bucket = {.number = number};
    }
    return bucket;
}

/// Counts retries over the window plus up to one bucket, and calls over the window minus up to one bucket. The limit
/// thus holds for every position of the window, not only for bucket boundaries.
double RetryBudget::remaining(TimePoint now)
{
    const int64_t newest = bucketAt(now).number;
    double calls = 0;
    double retries = 0;
    for (const Bucket &it : m_buckets) {
        calls += it.number > newest - BucketCount && it.number >= 0 ? it.calls : 0;
        retries += it.number >= newest - BucketCount && it.number >= 0 ? it.retries : 0;
    }
    return m_options.ratio <= 0 ? 0 : m_options.ratio * calls + m_options.slack - retries;
}

void RetryBudget::deposit(TimePoint now)
{
    LockGuard lock(m_mutex);
    ++bucketAt(now).calls;
}

bool RetryBudget::tryWithdraw(TimePoint now)
{
    LockGuard lock(m_mutex);
    if (remaining(now) < 1) {
        return false;
    }
    ++bucketAt(now).retries;
    return true;
}

double RetryBudget::balance(TimePoint now)
{
    LockGuard lock(m_mutex);
    return remaining(now);
}

} // namespace damask
