/// Decides whether and when a call gets a second attempt at another target (a hedge), where operators set a limit.
///
/// Load pattern: a few targets slow down for some hundred milliseconds while others have room. The calls that they hold
/// make up the slowest few in 100 of all answers; a second attempt elsewhere is answered in the usual time. Under
/// overload, when no target has room, a second attempt only adds load, so there is none.
///
/// Pure: the caller passes all inputs. planHedge() is used when the first attempt is sent, checkDueHedge() when its
/// hedge is due, and hedgeDenialOf() explains why no target was granted. docs/design/hedging.md explains the design.
#pragma once

#include "base/result.h"
#include "base/time.h"
#include "route/answer_times.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace damask {

/// Why a call is not hedged.
enum class HedgeDenial : uint8_t {
    None,          // it is hedged
    NotIdempotent, // the request must not run twice
    Depth,         // a call further up the chain is hedged
    Attempts,      // its rule allows a single attempt
    Body,          // its body is streamed and can't be sent again
    FewAnswers,    // too few answers of its rule are known
    TooLate,       // the hedge could not be answered in time
    Limit,         // the limit of hedges is used up
    Budget,        // the retry budget is used up
    Queue,         // the service lacks room: calls are queued, or this one was
    Shortage,      // the service lacked room within the last objective
    Target,        // no other target has a free slot
    Thread,        // no thread was free
    Key,           // its key was removed, or can't be verified any more
    Shutdown,      // the instance shuts down before the hedge could end
};

constexpr size_t HedgeDenialCount = static_cast<size_t>(HedgeDenial::Shutdown) + 1;

std::string_view hedgeDenialName(HedgeDenial denial); // metric label, e.g. "few-answers"

/// A call whose first attempt is about to be sent.
struct HedgeInput {
    double                  limit = 0; // hedges per call of the service; above 0
    bool                    idempotent = false;
    int                     depth = 0;        // number of calls above this one in the chain
    int                     maxSent = 0;      // the rule's limit of sent attempts; 0: none
    bool                    streamed = false; // its body is streamed
    bool                    waited = false;   // it had to wait for a slot
    AnswerTimeEstimate      times;            // of its rule, with lateShareOf(limit)
    std::optional<Duration> objectiveLeft;    // until its objective has passed; none: it has no objective
    Duration                timeLeft{0};      // until its deadline
};

/// When to send a hedge.
struct HedgePlan {
    HedgeDenial denial = HedgeDenial::None;
    Duration    delay{0}; // after the first attempt was sent
};

/// A call that has not been answered when its hedge is due.
struct DueHedge {
    Duration                typical{0};       // median answer time of its rule
    std::optional<Duration> objectiveLeft;    // until its objective has passed; none: it has no objective
    Duration                timeLeft{0};      // until its deadline
    double                  limitBalance = 0; // hedges that the limit still allows
    double                  retryBalance = 0; // attempts that the retry budget still allows
};

/// The share of calls that count as late. It equals the limit, so that as many calls are due as may be hedged, and the
/// limit goes to the slowest ones; it is bounded, because a quantile beyond the bounds is no tail or not known.
double lateShareOf(double limit);

/// The number of answers from which on a rule is hedged: two of them took longer than the delay.
uint32_t minHedgeAnswers(double limit);

HedgePlan   planHedge(const HedgeInput &input);
HedgeDenial checkDueHedge(const DueHedge &due);
HedgeDenial hedgeDenialOf(Code refusal); // of an acquisition with AcquireRequest::onlyFree

} // namespace damask
