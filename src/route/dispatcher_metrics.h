/// The dispatcher's metrics. They are looked up once in the constructor, so that a call only updates references.
#pragma once

#include "base/metrics.h"
#include "call/message.h"
#include "route/account_gate.h"
#include "route/hedge_policy.h"
#include "route/retry.h"

#include <array>
#include <string_view>
#include <unordered_map>

namespace damask {

/// How a hedge ended.
enum class HedgeEnd : uint8_t {
    Won,      // its response was returned to the caller
    Lost,     // the first attempt was answered first
    Failed,   // it returned no usable response
    NoBudget, // not sent: retry budget exhausted
    NoTarget, // not sent: no other target had a free slot
    NoThread, // not sent: no thread was free
};

class DispatcherMetrics
{
public:
    explicit DispatcherMetrics(Metrics &metrics);

    void call(const CallResponse &response, Duration elapsed); // once per call
    void attempt(AttemptEnd end, Duration elapsed);            // once per attempt
    void retry(RetryReason reason);                            // once per retry
    void retryDenied(RetryDenial denial);                      // once per failure that is not retried
    void hedge(HedgeEnd end);                                  // once per hedge that was due, sent or not
    void hedgeSent();                                          // once per hedge that was sent
    void hedgeWithheld(HedgeDenial denial);                    // once per call that is not hedged
    void keyCheck(KeyCheck check);                             // once per call while accounts are in force
    void quota(Code code);                                     // once per call of an account with a quota
    void quotaGivenBack();                                     // once per call that ended without being sent
    void quotaTooLate();                                       // refused while its account was short of quota
    void logLineDropped();                                     // once per call log line dropped by the rate limit

private:
    static constexpr size_t MaxLabels = HedgeDenialCount; // of the largest set of labels
    static_assert(MaxLabels > static_cast<size_t>(RetryDenial::Key));
    using Counters = std::array<prometheus::Counter *, MaxLabels>;

    using Histograms = std::array<prometheus::Histogram *, MaxLabels>;

    Counters                                        m_calls{};
    Histograms                                      m_callSeconds{};
    Histograms                                      m_attemptSeconds{};
    Counters                                        m_attempts{};
    Counters                                        m_retries{};
    Counters                                        m_denials{};
    Counters                                        m_hedges{};
    Counters                                        m_withheldHedges{};
    prometheus::Counter                            &m_sentHedges;
    Counters                                        m_keyChecks{};
    prometheus::Counter                            &m_quotaTooLate;
    prometheus::Counter                            &m_quotaTaken;
    prometheus::Counter                            &m_quotaExceeded;
    prometheus::Counter                            &m_quotaUnavailable;
    prometheus::Counter                            &m_quotaGivenBack;
    prometheus::Counter                            &m_droppedLogLines;
    std::unordered_map<Code, prometheus::Counter *> m_codes; // filled in the constructor, read-only afterwards
};

} // namespace damask
