/// The budget of bytes that a keeper may send to other keepers: one bucket for control, one for news of load.
///
/// Documents and heartbeats are few and large, news are many and small; a bucket for each keeps a large document from
/// silencing the news, and the news from delaying a document.
#pragma once

#include "base/clock.h"
#include "base/lock.h"
#include "base/metrics.h"
#include "base/result.h"
#include "base/token_bucket.h"

#include <array>
#include <cstddef>

namespace damask {

enum class SendKind {
    Control, // documents, heartbeats, requests
    News,    // load and drain
};

struct SendBudgetOptions {
    double controlBytesPerSecond = 13000;    // documents and heartbeats
    double controlBurst = 2.0 * 1000 * 1000; // bytes: one large document to the keepers of a data centre
    double newsBytesPerSecond = 14000;       // news of load and drain
    double newsBurst = 14000;                // bytes
};

/// Safe from all threads.
class SendBudget
{
public:
    SendBudget(Clock &clock, Metrics &metrics, const SendBudgetOptions &options);

    Result<void> take(SendKind kind, size_t bytes); // OverBudget: don't send
    double       left(SendKind kind);               // bytes that may be sent now

private:
    struct Share {
        TokenBucketOptions options;
        TokenBucket        bucket;
        double             taken = 0; // bytes since the start
    };
    Share &shareOf(SendKind kind);

    Clock               &m_clock;
    Metrics             &m_metrics;
    RankedMutex          m_mutex{LockRank::Leaf};
    TimePoint            m_startedAt;
    std::array<Share, 2> m_shares; // by kind
};

} // namespace damask
