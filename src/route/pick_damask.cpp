// Our policy: the least expected completion by an aged estimate of all entries' calls, and late binding.
#include "route/pick.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace damask {

namespace {

constexpr double EstimateSpread = 1.0; // calls by which an estimate is usually off
constexpr double RoomNeeded = 0.5;     // calls that an estimate must stay below the limit
constexpr double StallTimes = 3;       // usual answer times after which a call counts as stalled
constexpr double FailingWeight = 0.95; // of the share of failures in the cost
constexpr double LeastTime = 0.05;     // ms, expected of any answer

/// Calls that are likely to wait before a new one, smooth round the point where the slots are full.
double expectedQueue(double calls, double slots)
{
    const double over = calls + 1 - slots;
    return (over + std::sqrt(over * over + EstimateSpread * EstimateSpread)) / 2;
}

double usableSlots(const TargetView &view)
{
    return std::max(1.0, static_cast<double>(view.slots) * static_cast<double>(view.warmth));
}

/// Expected time in ms until the answer of a call sent now.
double expectedCompletion(const TargetView &view)
{
    const double slots = usableSlots(view);
    const double time = std::max(LeastTime, static_cast<double>(view.typicalTime));
    const double queue = expectedQueue(view.estimate, slots) / slots;
    const double stalled = std::max(0.0, view.oldestCall - view.linkDelay - StallTimes * time);
    const double completion = time * (1 + queue) + view.linkDelay + stalled;
    return completion / (1 - FailingWeight * static_cast<double>(view.failing));
}

bool isFull(const TargetView &view, bool hurry)
{
    const double most = std::max(1.0, static_cast<double>(view.limit) * static_cast<double>(view.warmth));
    return view.inFlight + 1 > most || (!hurry && view.estimate + RoomNeeded > most);
}

int pickDamask(std::span<const TargetView> views, const PickContext &context)
{
    double least = std::numeric_limits<double>::max();
    int best = NoPick;
    for (size_t n = 0; n < views.size(); ++n) {
        if (isFull(views[n], context.hurry)) {
            continue;
        }
        const double completion = expectedCompletion(views[n]);
        if (completion < least) {
            least = completion;
            best = static_cast<int>(n);
        }
    }
    return best;
}

} // namespace

PickPolicy damaskPolicy()
{
    return pickDamask;
}

} // namespace damask
