#include "route/hedge_policy.h"

#include <algorithm>
#include <cmath>

namespace damask {

namespace {

constexpr double MinLateShare = 0.005; // of fewer late calls, the histogram holds too few to know the quantile
constexpr double MaxLateShare = 0.1;   // a target of normal speed takes longer than that for one call in ten
constexpr double LateAnswersNeeded = 2;
constexpr double AnswerMargin = 1.25; // typical times left at the due time: for the timer, the probe and the spread

constexpr std::array<std::string_view, HedgeDenialCount> DenialNames{
    "none",   "not-idempotent", "depth",    "attempts", "body",   "few-answers", "too-late", "limit",
    "budget", "queue",          "shortage", "target",   "thread", "key",         "shutdown"};

/// Why the call is never hedged, or None.
HedgeDenial ineligible(const HedgeInput &input)
{
    if (!input.idempotent) {
        return HedgeDenial::NotIdempotent;
    }
    if (input.depth > 0) {
        return HedgeDenial::Depth;
    }
    if (input.maxSent == 1) {
        return HedgeDenial::Attempts;
    }
    if (input.streamed) {
        return HedgeDenial::Body;
    }
    return input.times.answers < minHedgeAnswers(input.limit) ? HedgeDenial::FewAnswers : HedgeDenial::None;
}

/// The quantile, or earlier if a hedge could not meet the objective otherwise. Never before `early`: with an objective
/// close to the typical time, calls at normal speed would use up the limit.
Duration delayOf(const HedgeInput &input)
{
    const AnswerTimeEstimate &times = input.times;
    if (!input.objectiveLeft) {
        return times.late;
    }
    const Duration latest = *input.objectiveLeft - std::chrono::duration_cast<Duration>(times.typical * AnswerMargin);
    if (latest >= times.early) {
        return std::min(times.late, latest);
    }
    // Only the first attempt can meet the objective. Once it has missed it too, a hedge still shortens the tail.
    return std::max(times.late, *input.objectiveLeft);
}

} // namespace

std::string_view hedgeDenialName(HedgeDenial denial)
{
    return DenialNames[static_cast<size_t>(denial)];
}

double lateShareOf(double limit)
{
    return std::clamp(limit, MinLateShare, MaxLateShare);
}

uint32_t minHedgeAnswers(double limit)
{
    return static_cast<uint32_t>(std::ceil(LateAnswersNeeded / lateShareOf(limit)));
}

HedgePlan planHedge(const HedgeInput &input)
{
    if (const HedgeDenial denial = ineligible(input); denial != HedgeDenial::None) {
        return {denial};
    }
    if (input.waited) {
        return {HedgeDenial::Queue};
    }
    const Duration delay = delayOf(input);
    if (delay + input.times.typical > input.timeLeft) {
        return {HedgeDenial::TooLate};
    }
    return {HedgeDenial::None, delay};
}

HedgeDenial checkDueHedge(const DueHedge &due)
{
    const bool firstMayMeet = due.objectiveLeft && *due.objectiveLeft > Duration(0);
    if (due.typical > due.timeLeft || (firstMayMeet && due.typical > *due.objectiveLeft)) {
        return HedgeDenial::TooLate;
    }
    if (due.limitBalance < 1) {
        return HedgeDenial::Limit;
    }
    return due.retryBalance < 1 ? HedgeDenial::Budget : HedgeDenial::None;
}

HedgeDenial hedgeDenialOf(Code refusal)
{
    switch (refusal) {
    case Code::QueueFull:
        return HedgeDenial::Queue;
    case Code::ObjectiveMissed:
        return HedgeDenial::Shortage;
    case Code::DeadlineTooShort:
        return HedgeDenial::TooLate;
    default:
        return HedgeDenial::Target;
    }
}

} // namespace damask
