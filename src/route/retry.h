/// Retry decisions and the retry budget.
///
/// docs/design/attempts-and-outcomes.md explains the design, docs/operate/outcomes.md the metrics.
#pragma once

#include "base/lock.h"
#include "call/message.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace damask {

/// Why an attempt may be retried.
enum class RetryReason : uint8_t {
    None,        // not retried: the attempt was answered
    NotSent,     // no byte was sent: proven not run
    Refused,     // the target reported that it did not run the request: proven not run
    Lost,        // the request may have run: idempotent calls only
    Unavailable, // answered 503 with Retry-After: idempotent calls only
    Failed,      // answered 5xx and the rule has retryErrors: idempotent calls only
};

/// Why an attempt is not retried.
enum class RetryDenial : uint8_t {
    None,          // a retry is allowed
    NotNeeded,     // the attempt was answered
    Cancelled,     // the caller cancelled the call
    NotIdempotent, // the request may have run, and must not run twice
    Depth,         // a call further up the chain retries
    Attempts,      // maximum number of attempts reached
    Deadline,      // less than MinRetryTime left
    Budget,        // the retry budget of the service is exhausted
    BodySent,      // part of the body has been sent and is not kept
    Shutdown,      // the instance shuts down before the attempt could end
    Key,           // the key of the call is no longer valid, or may not be
};

std::string_view retryReasonName(RetryReason reason); // metric label, e.g. "not-sent"
std::string_view retryDenialName(RetryDenial denial); // metric label, e.g. "not-idempotent"

/// Input of the retry decision.
struct RetryContext {
    const AttemptResult &last; // result of the last attempt
    bool                 idempotent = false;
    bool                 cancelled = false;
    int                  depth = 0;           // number of calls above this one in the chain
    int                  attempts = 1;        // made so far, including unsent ones
    int                  sent = 1;            // attempts that sent at least one byte
    int                  maxSent = 0;         // the rule's limit of sent attempts; 0: MaxAttempts in total
    bool                 retryErrors = false; // the rule allows retries of 5xx responses
    bool                 bodySent = false;    // part of a body that is not kept has been sent
    Duration             timeLeft{0};         // until the call's deadline
};

constexpr int      MaxAttempts = 3;       // per call including the hedge, if the rule sets no limit
constexpr int      MaxUnsentAttempts = 2; // additional attempts in place of unsent ones, if the rule sets a limit
constexpr Duration MinRetryTime = std::chrono::milliseconds(2); // no retry if less time is left

/// Why the attempt may be retried, or None.
RetryReason retryReason(const AttemptResult &last, bool retryErrors = false);

/// Why the attempt is not retried, or None. Does not consider the retry budget.
RetryDenial retryDenial(const RetryContext &context);

/// Limits of a RetryBudget.
struct RetryBudgetOptions {
    double   ratio = 0.1; // retries per call in the window; 0: no retries at all
    double   slack = 10;  // additional retries per window, so that services with little traffic can retry
    Duration window = std::chrono::seconds(10); // the limit holds for every interval of this length
};

/// Limits the retries and hedges of one service on one instance: in any interval as long as the window, at most ratio
/// times the calls of that interval plus slack. Because each instance counts only its own calls, the ratio also holds
/// for all instances together, without communication. Thread-safe.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetOptions &options);

    void   setOptions(const RetryBudgetOptions &options);
    void   deposit(TimePoint now);     // once per call
    bool   tryWithdraw(TimePoint now); // once per retry or hedge; false: budget exhausted
    double balance(TimePoint now);     // retries available now

private:
    static constexpr int64_t BucketCount = 20; // buckets per window

    struct Bucket {
        int64_t number = -1; // index of the time interval counted here; -1: unused
        int     calls = 0;
        int     retries = 0;
    };

    Bucket &bucketAt(TimePoint now);
    double  remaining(TimePoint now);

    RankedMutex                         m_mutex{LockRank::Route};
    RetryBudgetOptions                  m_options;
    std::array<Bucket, BucketCount + 1> m_buckets; // one more than the window, because the newest is incomplete
};

} // namespace damask
