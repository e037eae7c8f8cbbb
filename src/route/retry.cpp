#include "route/retry.h"

namespace damask {

namespace {

constexpr int ServiceUnavailable = 503;
constexpr int FirstServerError = 500; // HTTP status

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
    const bool says =
        last.answer.status == ServiceUnavailable && !headerValue(last.answer.headers, "Retry-After").empty();
    if (says) {
        return RetryReason::Unavailable;
    }
    return retryErrors && last.answer.status >= FirstServerError ? RetryReason::Failed : RetryReason::None;
}

RetryDenial retryDenial(const RetryQuestion &question)
{
    const RetryReason reason = retryReason(question.last, question.retryErrors);
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
    const bool limited = question.maxSent > 0;
    const int mostSent = limited ? question.maxSent : MaxAttempts;
    const int mostTried = limited ? question.maxSent + MaxUnsent : MaxAttempts;
    if (question.sent >= mostSent || question.attempts >= mostTried) {
        return RetryDenial::Attempts;
    }
    return question.timeLeft < LeastRetryTime ? RetryDenial::Deadline : RetryDenial::None;
}

RetryBudget::RetryBudget(const RetryBudgetOptions &options)
    : m_options(options)
{
}

void RetryBudget::setOptions(const RetryBudgetOptions &options)
{
    LockGuard lock(m_mutex);
    if (options.window != m_options.window) {
        m_slots = {}; // their numbers count other spans
    }
    m_options = options;
}

RetryBudget::Slot &RetryBudget::slotAt(TimePoint now)
{
    const int64_t number = now.time_since_epoch() / (m_options.window / Slots);
    Slot &slot = m_slots[static_cast<size_t>(number % (Slots + 1))];
    if (slot.number != number) {
        slot = {.number = number};
    }
    return slot;
}

/// Retries are counted over the window and a slot more, calls over the window less a part of a slot: so the bound
/// holds wherever the window lies.
double RetryBudget::room(TimePoint now)
{
    const int64_t newest = slotAt(now).number;
    double calls = 0;
    double retries = 0;
    for (const Slot &it : m_slots) {
        calls += it.number > newest - Slots && it.number >= 0 ? it.calls : 0;
        retries += it.number >= newest - Slots && it.number >= 0 ? it.retries : 0;
    }
    return m_options.ratio <= 0 ? 0 : m_options.ratio * calls + m_options.slack - retries;
}

void RetryBudget::earn(TimePoint now)
{
    LockGuard lock(m_mutex);
    ++slotAt(now).calls;
}

bool RetryBudget::spend(TimePoint now)
{
    LockGuard lock(m_mutex);
    if (room(now) < 1) {
        return false;
    }
    ++slotAt(now).retries;
    return true;
}

double RetryBudget::level(TimePoint now)
{
    LockGuard lock(m_mutex);
    return room(now);
}

} // namespace damask
