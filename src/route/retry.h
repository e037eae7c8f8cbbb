/// Whether a call is tried again, and the budget that pays for it.
///
/// docs/design/attempts-and-outcomes.md gives the reasons, docs/operate/outcomes.md the counters.
#pragma once

#include "base/lock.h"
#include "base/token_bucket.h"
#include "call/message.h"

#include <cstdint>
#include <string_view>

namespace damask {

/// Why an attempt may be followed by another.
enum class RetryReason : uint8_t {
    None,        // it may not: the attempt was answered
    NotSent,     // no byte left: proven not run
    Refused,     // the target said that it did not run it: proven not run
    Lost,        // it may have run: idempotent calls only
    Unavailable, // answered 503 with Retry-After: idempotent calls only
};

/// Why no other attempt follows.
enum class RetryDenial : uint8_t {
    None,          // nothing speaks against it
    NotNeeded,     // the attempt was answered
    Cancelled,     // the caller has gone
    NotIdempotent, // it may have run, and may run once only
    Depth,         // a call above this one does the retrying
    Attempts,      // tried as often as allowed
    Deadline,      // no time left
    Budget,        // the service's budget is spent
};

std::string_view retryReasonName(RetryReason reason); // label of a counter, e.g. "not-sent"
std::string_view retryDenialName(RetryDenial denial); // label of a counter, e.g. "not-idempotent"

/// What decides about another attempt.
struct RetryQuestion {
    const AttemptResult &last; // the attempt that ended
    bool                 idempotent = false;
    bool                 cancelled = false;
    int                  depth = 0;    // calls above this one
    int                  attempts = 1; // made so far
    Duration             timeLeft{0};  // until the call's deadline
};

constexpr int      MaxAttempts = 3;                               // of one call, hedge included
constexpr Duration LeastRetryTime = std::chrono::milliseconds(2); // time left below which no attempt is made

/// Why the attempt might be followed by another.
RetryReason retryReason(const AttemptResult &last);

/// What speaks against another attempt, apart from the budget.
RetryDenial retryDenial(const RetryQuestion &question);

/// Retries and hedges of one service in one entry: a share of its calls, and a trickle that keeps a quiet service able
/// to retry. Safe from all threads.
class RetryBudget
{
public:
    RetryBudget(double ratio, TimePoint now);

    void   setRatio(double ratio); // retries for each call
    void   earn(TimePoint now);    // once for each call
    bool   spend(TimePoint now);   // once for each retry or hedge; false when spent
    double level(TimePoint now);   // retries that could be made now

private:
    RankedMutex m_mutex{LockRank::Route};
    TokenBucket m_bucket;
    double      m_ratio;
};

} // namespace damask
