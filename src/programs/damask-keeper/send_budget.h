/// Limits the bytes that a keeper sends to other keepers, with one token bucket for control messages and one for load
/// updates.
///
/// Documents and heartbeats are few and large, load updates are many and small. Separate buckets keep a large document
/// from blocking load updates, and load updates from delaying a document.
#pragma once

#include "base/clock.h"
#include "base/lock.h"
#include "base/metrics.h"
#include "base/result.h"
#include "base/token_bucket.h"

#include <array>
#include <cstddef>

namespace damask {

enum class TrafficClass {
    Control,     // documents, heartbeats, requests
    LoadUpdates, // load and drain state
};

struct SendBudgetOptions {
    double controlBytesPerSecond = 13000;    // documents and heartbeats
    double controlBurst = 2.0 * 1000 * 1000; // bytes: one large document to the keepers of a data centre
    double updateBytesPerSecond = 14000;     // load and drain updates
    double updateBurst = 14000;              // bytes
};

/// Safe from all threads.
class SendBudget
{
public:
    SendBudget(Clock &clock, Metrics &metrics, const SendBudgetOptions &options);

    Result<void> take(TrafficClass trafficClass, size_t bytes); // OverBudget: don't send
    double       available(TrafficClass trafficClass);          // bytes that may be sent now

private:
    struct ClassBudget {
        TokenBucketOptions options;
        TokenBucket        bucket;
        double             spent = 0; // bytes since the start
    };
    ClassBudget &budgetOf(TrafficClass trafficClass);

    Clock                     &m_clock;
    Metrics                   &m_metrics;
    RankedMutex                m_mutex{LockRank::Leaf};
    TimePoint                  m_startedAt;
    std::array<ClassBudget, 2> m_budgets; // by traffic class
};

} // namespace damask
