#include "route/retry.h"

namespace damask {

namespace {

constexpr double TricklePerSecond = 0.5; // retries a quiet service earns without calls
constexpr double Burst = 10;             // retries held at most
constexpr int ServiceUnavailable = 503;

/// Whether the failure is proven to lie at this hop, so that nothing below it has run.
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
    }
    return "none";
}

RetryReason retryReason(const AttemptResult &last)
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
    const bool says =
        last.answer.status == ServiceUnavailable && !headerValue(last.answer.headers, "Retry-After").empty();
    return says ? RetryReason::Unavailable : RetryReason::None;
}

RetryDenial retryDenial(const RetryQuestion &question)
{
    const RetryReason reason = retryReason(question.last);
    if (reason == RetryReason::None) {
        return RetryDenial::NotNeeded;
    }
    if (question.cancelled) {
        return RetryDenial::Cancelled;
    }
    if (!provenNotRun(reason) && !question.idempotent) {
        return RetryDenial::NotIdempotent;
    }
    if (!provenNotRun(reason) && question.depth > 0) {
        return RetryDenial::Depth;
    }
    if (question.attempts >= MaxAttempts) {
        return RetryDenial::Attempts;
    }
    return question.timeLeft < LeastRetryTime ? RetryDenial::Deadline : RetryDenial::None;
}

RetryBudget::RetryBudget(double ratio, TimePoint now)
    : m_bucket({.perSecond = TricklePerSecond, .burst = Burst}, now)
    , m_ratio(ratio)
{
}

void RetryBudget::setRatio(double ratio)
{
    LockGuard lock(m_mutex);
    m_ratio = ratio;
}

void RetryBudget::earn(TimePoint now)
{
    LockGuard lock(m_mutex);
    m_bucket.level(now);
    m_bucket.add(m_ratio);
}

bool RetryBudget::spend(TimePoint now)
{
    LockGuard lock(m_mutex);
    return m_ratio > 0 && m_bucket.take(1, now);
}

double RetryBudget::level(TimePoint now)
{
    LockGuard lock(m_mutex);
    return m_bucket.level(now);
}

} // namespace damask
