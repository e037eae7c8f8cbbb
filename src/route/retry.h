/// Whether a call is tried again, and the budget that pays for it.
///
/// docs/design/attempts-and-outcomes.md gives the reasons, docs/operate/outcomes.md the counters.
#pragma once

#include "base/lock.h"
#include "call/message.h"

#include <array>
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
    Failed,      // answered 5xx where the rule lets such calls go again: idempotent calls only
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
struct RetryContext {
    const AttemptResult &last; // the attempt that ended
    bool                 idempotent = false;
    bool                 cancelled = false;
    int                  depth = 0;           // calls above this one
    int                  attempts = 1;        // made so far
    int                  sent = 1;            // of them those of which a byte left
    int                  maxSent = 0;         // of the rule; 0: MaxAttempts
    bool                 retryErrors = false; // of the rule
    Duration             timeLeft{0};         // until the call's deadline
};

constexpr int      MaxAttempts = 3;       // of one call, hedge included, where a rule says nothing
constexpr int      MaxUnsentAttempts = 2; // attempts besides of which no byte left, where a rule gives a limit
constexpr Duration MinRetryTime = std::chrono::milliseconds(2); // time left below which no attempt is made

/// Why the attempt might be followed by another.
RetryReason retryReason(const AttemptResult &last, bool retryErrors = false);

/// What speaks against another attempt, apart from the budget.
RetryDenial retryDenial(const RetryContext &context);

/// What a RetryBudget allows.
struct RetryBudgetOptions {
    double   ratio = 0.1;                       // retries for each call of the window; 0: none at all
    double   slack = 10;                        // retries besides, so that a quiet service can retry
    Duration window = std::chrono::seconds(10); // every span of this length keeps the bound
};

/// Retries and hedges of one service in one entry: in any span as long as the window at most a share of the calls of
/// that span, and the slack. Entries that each keep to their own calls keep the share together, without a message.
/// Safe from all threads.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetOptions &options);

    void   setOptions(const RetryBudgetOptions &options);
    void   deposit(TimePoint now);     // once for each call
    bool   tryWithdraw(TimePoint now); // once for each retry or hedge; false when spent
    double balance(TimePoint now);     // retries that could be made now

private:
    static constexpr int64_t BucketCount = 20; // parts of the window

    struct Bucket {
        int64_t number = -1; // of the part of time that is counted here
        int     calls = 0;
        int     retries = 0;
    };

    Bucket &bucketAt(TimePoint now);
    double  remaining(TimePoint now);

    RankedMutex                         m_mutex{LockRank::Route};
    RetryBudgetOptions                  m_options;
    std::array<Bucket, BucketCount + 1> m_buckets; // one more than the window, since the newest is not yet whole
};

} // namespace damask
