// Our policy: the least expected completion by an aged estimate of all entries' calls, and late binding.
#include "route/pick.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace damask {

namespace {

constexpr double EstimateSpread = 1.0; // calls by which an estimate is usually off
constexpr double RoomNeeded = 0.5;     // calls that an estimate must stay below the limit
constexpr double StallTimes = 1;       // usual answer times after which a call counts as stalled
constexpr double StallWeight = 1;      // ms expected for each ms that a call is overdue
constexpr double FailingWeight = 0.95; // of the share of failures in the cost
constexpr double ClearlySlower = 1.75; // times the fleet's answer time
constexpr double ClearlyFaster = 0.6;  // times the fleet's answer time
constexpr double LeastTime = 0.05;     // ms, expected of any answer

/// Calls that are likely to wait before a new one, smooth round the point where the slots are full.
double expectedQueue(double calls, double slots)
{
    const double over = calls + 1 - slots;
    return (over + std::sqrt(over * over + EstimateSpread * EstimateSpread)) / 2;
}

/// Time in ms of a target's answers, told apart from the fleet's only where the difference is no accident.
double usualTime(const TargetView &view)
{
    const double fleet = std::max(LeastTime, static_cast<double>(view.fleetTime));
    const double ratio = std::max(LeastTime, static_cast<double>(view.typicalTime)) / fleet;
    if (ratio > ClearlySlower) {
        return fleet * ratio / ClearlySlower;
    }
    return ratio < ClearlyFaster ? std::max(LeastTime, fleet * ratio / ClearlyFaster) : fleet;
}

double usableSlots(const TargetView &view)
{
    return std::max(1.0, static_cast<double>(view.slots) * static_cast<double>(view.warmth));
}

bool isFull(const TargetView &view, bool hurry)
{
    const double most = std::max(1.0, static_cast<double>(view.limit) * static_cast<double>(view.warmth));
    return view.inFlight + 1 > most || (!hurry && view.estimate + RoomNeeded > most);
}

/// The least expected completion among targets with room, or NoPick. `completion` and `full` say what is known.
template<class Completion, class Full>
int pickLeast(std::span<const TargetView> views, const Completion &completion, const Full &full)
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
    return pickLeast(views, expectedCompletion, [&](const TargetView &view) { return isFull(view, context.hurry); });
}

/// What expectedCompletion() would be if nothing had to be estimated.
double trueCompletion(const TargetView &view)
{
    const double time = static_cast<double>(view.fleetTime) / static_cast<double>(view.trueSpeed);
    return time * (1 + expectedQueue(view.trueInFlight, view.slots) / view.slots) + view.linkDelay;
}

/// Our comparison and late binding on the truth: what all entries have sent, and the speed of this moment.
int pickOracle(std::span<const TargetView> views, const PickContext &context)
{
    return pickLeast(views, trueCompletion, [&](const TargetView &view) {
        return !context.hurry && view.trueInFlight + RoomNeeded > static_cast<double>(view.limit);
    });
}

} // namespace

double expectedCompletion(const TargetView &view)
{
    const double slots = usableSlots(view);
    const double time = usualTime(view) * static_cast<double>(view.slowdown);
    const double queue = expectedQueue(view.estimate, slots) / slots;
    const double overdue = std::max(0.0, view.oldestCall - view.linkDelay - StallTimes * time);
    const double completion = time * (1 + queue) + view.linkDelay + StallWeight * overdue;
    return completion * static_cast<double>(view.avoid) / (1 - FailingWeight * static_cast<double>(view.failing));
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
