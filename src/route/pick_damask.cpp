// The default policy: lowest expected completion time from an aged estimate of the calls of all instances, with late
// binding: when all targets are full, the call is queued.
#include "route/pick.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace damask {

namespace {

constexpr double EstimateSpread = 1.0;   // calls, typical error of an estimate
constexpr double RequiredHeadroom = 0.5; // calls between an estimate and the limit
constexpr double StallAnswerTimes = 1;   // answer times after which a call counts as stalled
constexpr double StallWeight = 1;        // ms added for each ms that a call is overdue
constexpr double FailingWeight = 0.95;   // weight of the failure share in the cost
constexpr double SlowerThreshold = 1.75; // times fleetTime
constexpr double FasterThreshold = 0.6;  // times fleetTime
constexpr double MinAnswerTime = 0.05;   // ms, lower bound of a service time

/// The expected number of calls queued ahead of a new one. Smooth around the point where all slots are in use, because
/// the estimate may be off by EstimateSpread.
double expectedQueue(double calls, double slots)
{
    const double over = calls + 1 - slots;
    return (over + std::sqrt(over * over + EstimateSpread * EstimateSpread)) / 2;
}

/// A target's service time in ms. Equals fleetTime unless typicalTime is beyond a threshold, so that noise in the
/// measured times does not affect the choice.
double serviceTime(const TargetView &view)
{
    const double fleet = std::max(MinAnswerTime, static_cast<double>(view.fleetTime));
    const double ratio = std::max(MinAnswerTime, static_cast<double>(view.typicalTime)) / fleet;
    if (ratio > SlowerThreshold) {
        return fleet * ratio / SlowerThreshold;
    }
    return ratio < FasterThreshold ? std::max(MinAnswerTime, fleet * ratio / FasterThreshold) : fleet;
}

double usableSlots(const TargetView &view)
{
    return std::max(1.0, static_cast<double>(view.slots) * static_cast<double>(view.slowStartShare));
}

bool isFull(const TargetView &view, bool ignoreEstimate)
{
    const double limit = std::max(1.0, static_cast<double>(view.limit) * static_cast<double>(view.slowStartShare));
    return view.inFlight + 1 > limit || (!ignoreEstimate && view.estimate + RequiredHeadroom > limit);
}

/// Returns the position with the lowest `completion` among the targets that are not `full`, or NoPick.
template<class Completion, class Full>
int pickLowestCompletion(std::span<const TargetView> views, const Completion &completion, const Full &full)
{
    double least = std::numeric_limits<double>::max();
    int best = NoPick;
    for (size_t n = 0; n < views.size(); ++n) {
        if (full(views[n])) {
            continue;
        }
        const double expected = completion(views[n]);
        if (expected < least) {
            least = expected;
            best = static_cast<int>(n);
        }
    }
    return best;
}

int pickDamask(std::span<const TargetView> views, const PickContext &context)
{
    return pickLowestCompletion(views, expectedCompletion,
                                [&](const TargetView &view) { return isFull(view, context.ignoreEstimate); });
}

/// The value of expectedCompletion() if load and speed were known exactly.
double trueCompletion(const TargetView &view)
{
    const double time = static_cast<double>(view.fleetTime) / static_cast<double>(view.trueSpeed);
    return time * (1 + expectedQueue(view.trueInFlight, view.slots) / view.slots) + view.linkDelay;
}

/// The rule of pickDamask() on the true values: the calls in flight from all instances and the current speed.
int pickOracle(std::span<const TargetView> views, const PickContext &context)
{
    return pickLowestCompletion(views, trueCompletion, [&](const TargetView &view) {
        return !context.ignoreEstimate && view.trueInFlight + RequiredHeadroom > static_cast<double>(view.limit);
    });
}

} // namespace

double expectedCompletion(const TargetView &view)
{
    const double slots = usableSlots(view);
    const double time = serviceTime(view) * static_cast<double>(view.slowdown);
    const double queue = expectedQueue(view.estimate, slots) / slots;
    const double overdue = std::max(0.0, view.oldestCall - view.linkDelay - StallAnswerTimes * time);
    const double completion = time * (1 + queue) + view.linkDelay + StallWeight * overdue;
    return completion * static_cast<double>(view.penalty)
           / (1 - FailingWeight * static_cast<double>(view.failureShare));
}

PickPolicy damaskPolicy()
{
    return pickDamask;
}

PickPolicy oraclePolicy()
{
    return pickOracle;
}

} // namespace damask
