#include "route/dispatcher_metrics.h"

namespace damask {

namespace {

constexpr std::array<std::string_view, 4> AttemptEnds{"not-sent", "refused", "answered", "lost"};
constexpr std::array<std::string_view, 6> HedgeEnds{"won", "lost", "failed", "no-budget", "no-target", "no-thread"};

template<class T>
size_t indexOf(T value)
{
    return static_cast<size_t>(value);
}

} // namespace

DispatcherMetrics::DispatcherMetrics(Metrics &metrics)
    : m_sentHedges(metrics.counter("damask_hedges_sent_total"))
    , m_quotaTooLate(metrics.counter("damask_account_quota_total", {{"end", "too-late"}}))
    , m_quotaTaken(metrics.counter("damask_account_quota_total", {{"end", "taken"}}))
    , m_quotaExceeded(metrics.counter("damask_account_quota_total", {{"end", "exceeded"}}))
    , m_quotaUnavailable(metrics.counter("damask_account_quota_total", {{"end", "unavailable"}}))
    , m_quotaGivenBack(metrics.counter("damask_account_quota_total", {{"end", "given-back"}}))
    , m_droppedLogLines(metrics.counter("damask_call_lines_left_out_total"))
{
    for (const Outcome it : {Outcome::Answered, Outcome::NotRun, Outcome::Unknown}) {
        m_calls[indexOf(it)] = &metrics.counter("damask_calls_total", {{"outcome", outcomeName(it)}});
        m_callSeconds[indexOf(it)] = &metrics.histogram("damask_call_seconds", {{"outcome", outcomeName(it)}});
    }
    for (size_t n = 0; n < AttemptEnds.size(); ++n) {
        m_attempts[n] = &metrics.counter("damask_attempts_total", {{"end", AttemptEnds[n]}});
        m_attemptSeconds[n] = &metrics.histogram("damask_attempt_seconds", {{"end", AttemptEnds[n]}});
    }
    for (auto it = RetryReason::NotSent; it <= RetryReason::Failed; it = RetryReason(indexOf(it) + 1)) {
        m_retries[indexOf(it)] = &metrics.counter("damask_retries_total", {{"reason", retryReasonName(it)}});
    }
    for (auto it = RetryDenial::Cancelled; it <= RetryDenial::Key; it = RetryDenial(indexOf(it) + 1)) {
        m_denials[indexOf(it)] = &metrics.counter("damask_retry_denials_total", {{"reason", retryDenialName(it)}});
    }
    for (auto it = KeyCheck::Exempt; it <= KeyCheck::Outdated; it = KeyCheck(indexOf(it) + 1)) {
        m_keyChecks[indexOf(it)] = &metrics.counter("damask_key_checks_total", {{"end", keyCheckName(it)}});
    }
    for (size_t n = 0; n < HedgeEnds.size(); ++n) {
        m_hedges[n] = &metrics.counter("damask_hedges_total", {{"end", HedgeEnds[n]}});
    }
    for (size_t n = 1; n < HedgeDenialCount; ++n) {
        m_withheldHedges[n] =
            &metrics.counter("damask_hedges_withheld_total", {{"reason", hedgeDenialName(HedgeDenial(n))}});
    }
    for (const CodeInfo &it : codeTable()) {
        if (codeNumber(it.code) >= 100 && codeNumber(it.code) < 400) {
            m_codes.emplace(it.code, &metrics.counter("damask_call_failures_total", {{"code", it.name}}));
        }
    }
}

void DispatcherMetrics::call(const CallResponse &response, Duration elapsed)
{
    m_calls[indexOf(response.outcome)]->Increment();
    m_callSeconds[indexOf(response.outcome)]->Observe(toSeconds(elapsed));
    const auto it = m_codes.find(response.code);
    if (it != m_codes.end()) {
        it->second->Increment();
    }
}

void DispatcherMetrics::attempt(AttemptEnd end, Duration elapsed)
{
    m_attempts[indexOf(end)]->Increment();
    m_attemptSeconds[indexOf(end)]->Observe(toSeconds(elapsed));
}

void DispatcherMetrics::retry(RetryReason reason)
{
    if (reason != RetryReason::None) {
        m_retries[indexOf(reason)]->Increment();
    }
}

void DispatcherMetrics::retryDenied(RetryDenial denial)
{
    if (denial >= RetryDenial::Cancelled) {
        m_denials[indexOf(denial)]->Increment();
    }
}

void DispatcherMetrics::keyCheck(KeyCheck check)
{
    if (check != KeyCheck::Off) {
        m_keyChecks[indexOf(check)]->Increment();
    }
}

void DispatcherMetrics::quota(Code code)
{
    if (code == Code::Ok) {
        m_quotaTaken.Increment();
    } else if (code == Code::QuotaExceeded) {
        m_quotaExceeded.Increment();
    } else if (code == Code::QuotaUnavailable) {
        m_quotaUnavailable.Increment();
    }
}

void DispatcherMetrics::quotaTooLate()
{
    m_quotaTooLate.Increment();
}

void DispatcherMetrics::quotaGivenBack()
{
    m_quotaGivenBack.Increment();
}

void DispatcherMetrics::logLineDropped()
{
    m_droppedLogLines.Increment();
}

void DispatcherMetrics::hedgeSent()
{
    m_sentHedges.Increment();
}

void DispatcherMetrics::hedgeWithheld(HedgeDenial denial)
{
    if (denial != HedgeDenial::None) {
        m_withheldHedges[indexOf(denial)]->Increment();
    }
}

void DispatcherMetrics::hedge(HedgeEnd end)
{
    m_hedges[indexOf(end)]->Increment();
}

} // namespace damask
