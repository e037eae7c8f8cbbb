/// The dispatcher's counters, looked up once: a call adds to references only.
#pragma once

#include "base/metrics.h"
#include "call/message.h"
#include "route/retry.h"

#include <array>
#include <string_view>
#include <unordered_map>

namespace damask {

/// How a hedge ended.
enum class HedgeEnd : uint8_t {
    Won,      // its answer went to the caller
    Lost,     // the first attempt answered before it
    Failed,   // it gave no usable answer
    NoBudget, // not sent: the retry budget is spent
    NoTarget, // not sent: no other target had a free slot
    NoThread, // not sent: no thread was free
};

class DispatcherMetrics
{
public:
    explicit DispatcherMetrics(Metrics &metrics);

    void call(const CallResponse &response, Duration took); // once for each call
    void attempt(AttemptEnd end, Duration took);            // once for each attempt
    void retry(RetryReason reason);                         // once for each retry
    void retryDenied(RetryDenial denial);                   // once for each failure that is not retried
    void hedge(HedgeEnd end);                               // once for each hedge wished for
    void logLineDropped();                                  // once for each log line on a call that was left out

private:
    static constexpr size_t MaxLabels = 8;
    using Counters = std::array<prometheus::Counter *, MaxLabels>;

    using Histograms = std::array<prometheus::Histogram *, MaxLabels>;

    Counters                                        m_calls{};
    Histograms                                      m_callSeconds{};
    Histograms                                      m_attemptSeconds{};
    Counters                                        m_attempts{};
    Counters                                        m_retries{};
    Counters                                        m_denials{};
    Counters                                        m_hedges{};
    prometheus::Counter                            &m_droppedLogLines;
    std::unordered_map<Code, prometheus::Counter *> m_codes; // filled once, read only afterwards
};

} // namespace damask
