// Baseline policies that damaskPolicy() is benchmarked against, and the lookup of policies by name.
#include "route/pick.h"

#include <algorithm>
#include <array>
#include <limits>

namespace damask {

namespace {

constexpr double HotQuantile = 0.84; // of known loads; a target above it is hot (default of Prequal)
constexpr size_t MaxViews = 64;      // that hotThreshold() sorts without allocating

using Views = std::span<const TargetView>;

size_t randomIndex(const PickContext &context, size_t count)
{
    return static_cast<size_t>((*context.random)() % count);
}

/// The last reported load, not aged, but at least the calls of this instance.
int knownLoad(const TargetView &view)
{
    return std::max(view.reported, view.inFlight);
}

/// Returns the position with the lowest cost. Ties are broken at random so that instances do not all choose the same
/// target.
template<class Cost>
int pickLowestCost(Views views, const PickContext &context, const Cost &cost)
{
    auto least = std::numeric_limits<double>::max();
    int best = NoPick;
    size_t ties = 0;
    for (size_t n = 0; n < views.size(); ++n) {
        const double c = cost(views[n]);
        if (c < least) {
            least = c;
            best = static_cast<int>(n);
            ties = 1;
        } else if (c == least) {
            ++ties;
            best = randomIndex(context, ties) == 0 ? static_cast<int>(n) : best;
        }
    }
    return best;
}

int pickRandom(Views views, const PickContext &context)
{
    return static_cast<int>(randomIndex(context, views.size()));
}

int pickRoundRobin(Views views, const PickContext &context)
{
    return static_cast<int>(context.sequence % views.size());
}

int pickLeastInFlight(Views views, const PickContext &context)
{
    return pickLowestCost(views, context, [](const TargetView &n) { return static_cast<double>(n.inFlight); });
}

int pickPowerOfTwo(Views views, const PickContext &context)
{
    const size_t first = randomIndex(context, views.size());
    const size_t second = randomIndex(context, views.size());
    return static_cast<int>(knownLoad(views[second]) < knownLoad(views[first]) ? second : first);
}

int hotThreshold(Views views)
{
    std::array<int, MaxViews> loads{};
    const size_t count = std::min(views.size(), MaxViews);
    for (size_t n = 0; n < count; ++n) {
        loads[n] = knownLoad(views[n]);
    }
    const auto nth = loads.begin() + static_cast<std::ptrdiff_t>(HotQuantile * static_cast<double>(count - 1));
    std::nth_element(loads.begin(), nth, loads.begin() + static_cast<std::ptrdiff_t>(count));
    return *nth;
}

int pickHotCold(Views views, const PickContext &context)
{
    const int hot = hotThreshold(views);
    const auto cost = [hot](const TargetView &n) {
        const int load = knownLoad(n);
        const bool isHot = load > hot;
        return isHot ? 1e9 + load : static_cast<double>(n.typicalTime + n.linkDelay);
    };
    return pickLowestCost(views, context, cost);
}

int pickJoinIdleQueue(Views views, const PickContext &context)
{
    const auto cost = [](const TargetView &n) {
        const bool idle = n.reported >= 0 && knownLoad(n) < n.slots;
        return idle ? 0.0 : 1.0;
    };
    return pickLowestCost(views, context, cost);
}

} // namespace

PickPolicy randomPolicy()
{
    return pickRandom;
}

PickPolicy roundRobinPolicy()
{
    return pickRoundRobin;
}

PickPolicy leastInFlightPolicy()
{
    return pickLeastInFlight;
}

PickPolicy powerOfTwoPolicy()
{
    return pickPowerOfTwo;
}

PickPolicy hotColdPolicy()
{
    return pickHotCold;
}

PickPolicy joinIdleQueuePolicy()
{
    return pickJoinIdleQueue;
}

PickPolicy policyByName(std::string_view name)
{
    if (name == "damask") {
        return damaskPolicy();
    }
    if (name == "random") {
        return randomPolicy();
    }
    if (name == "round-robin") {
        return roundRobinPolicy();
    }
    if (name == "least-in-flight") {
        return leastInFlightPolicy();
    }
    if (name == "power-of-two") {
        return powerOfTwoPolicy();
    }
    if (name == "hot-cold") {
        return hotColdPolicy();
    }
    if (name == "join-idle-queue") {
        return joinIdleQueuePolicy();
    }
    if (name == "oracle") {
        return oraclePolicy();
    }
    return {};
}

} // namespace damask
