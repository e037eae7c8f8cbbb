/// Measures time and allocations of one decision by the number of targets of a service. Prints JSON lines.
#include "base/check.h"
#include "base/clock.h"
#include "base/metrics.h"
#include "base/random.h"
#include "route/service_table.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <docopt.h>
#include <map>
#include <new>

namespace {

std::atomic<uint64_t> allocations{0};

} // namespace

void *operator new(size_t size)
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    if (void *memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, size_t) noexcept
{
    std::free(memory);
}

namespace {

using namespace damask;

constexpr char Usage[] = R"(Cost of one balancing decision.

Usage:
  bench-decision [--repeats=N] [--picks=N]

Options:
  --repeats=N  Interleaved runs of each size [default: 7].
  --picks=N    Decisions in each run [default: 200000].
)";

constexpr Duration BetweenPicks = std::chrono::microseconds(50); // virtual time between decisions
constexpr int ReportEvery = 4;                                   // decisions between load reports

Configuration configurationOf(int targets)
{
    Configuration n;
    n.revision = 1;
    n.dataCentres = {{"a1", 1, "a"}, {"a2", 1, "a"}, {"b1", 1, "b"}, {"b2", 1, "b"}, {"b3", 1, "b"}, {"a3", 1, "a"}};
    Service service;
    service.name = "listings";
    service.pool = "listings";
    n.services.push_back(service);
    Pool pool{"listings", 1, {}};
    for (int it = 0; it < targets; ++it) {
        const std::string &dataCentre = n.dataCentres[static_cast<size_t>(it) % n.dataCentres.size()].name;
        pool.targets.push_back({"t" + std::to_string(it), "127.0.0.1", 1, dataCentre, 6});
    }
    n.pools.push_back(pool);
    return n;
}

/// One service table that receives load updates at a realistic rate.
struct Bench {
    BalancerHooks hooks{.pick = damaskPolicy(), .random = seededRandom(1)};
    BalancerOptions options{.dataCentre = "a1"};
    TimePoint now{};
    ServiceTable table;
    int targets;

    explicit Bench(int count)
        : table(options, hooks, "listings", now)
        , targets(count)
    {
        const Configuration configuration = configurationOf(count);
        table.apply(configuration, configuration.services[0], now);
    }
    LoadUpdate loadUpdateOf(int target, int inFlight) const
    {
        return {"listings/t" + std::to_string(target), {inFlight, 6, false}, Duration(0), false};
    }
};

struct Cost {
    double nanoseconds = 0;
    double allocations = 0;
};

Cost costOf(Bench &bench, long picks)
{
    const RandomSource random = seededRandom(2);
    std::vector<LoadUpdate> updates;
    for (int n = 0; n < 1024; ++n) {
        const auto target = static_cast<int>(random() % static_cast<uint64_t>(bench.targets));
        updates.push_back(bench.loadUpdateOf(target, static_cast<int>(random() % 7)));
    }
    const AcquireRequest request{.service = "listings"};
    Duration spent{0};
    uint64_t allocated = 0;
    Clock clock;
    for (long n = 0; n < picks; n += ReportEvery) {
        bench.table.updateLoad(updates[static_cast<size_t>(n / ReportEvery) % updates.size()], bench.now);
        const uint64_t before = allocations.load(std::memory_order_relaxed);
        const TimePoint from = clock.now();
        for (int it = 0; it < ReportEvery; ++it) {
            bench.now += BetweenPicks;
            const Choice choice = bench.table.choose(request, bench.now, Duration(0));
            DAMASK_ASSERT(choice.target != nullptr, "the targets of the benchmark must have free capacity");
        }
        spent += clock.now() - from;
        allocated += allocations.load(std::memory_order_relaxed) - before;
    }
    return {static_cast<double>(spent.count()) / static_cast<double>(picks),
            static_cast<double>(allocated) / static_cast<double>(picks)};
}

void print(const char *figure, const char *unit, int targets, std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    std::printf("{\"case\":\"decision\",\"figure\":\"%s\",\"unit\":\"%s\",\"targets\":%d,\"value\":%.4g,\"low\":%.4g,"
                "\"high\":%.4g}\n",
                figure, unit, targets, values[values.size() / 2], values.front(), values.back());
}

} // namespace

int main(int argc, char **argv)
{
    const std::map<std::string, docopt::value> arguments = docopt::docopt(Usage, {argv + 1, argv + argc}, true);
    constexpr std::array<int, 3> Sizes{10, 100, 440};
    std::map<int, std::vector<double>> times;
    std::map<int, std::vector<double>> counts;
    for (long repeat = 0; repeat < arguments.at("--repeats").asLong(); ++repeat) {
        for (const int it : Sizes) {
            Bench bench(it);
            const Cost cost = costOf(bench, arguments.at("--picks").asLong());
            times[it].push_back(cost.nanoseconds);
            counts[it].push_back(cost.allocations);
        }
    }
    for (const int it : Sizes) {
        print("pick_ns", "ns", it, times[it]);
        print("pick_allocations", "allocations", it, counts[it]);
    }
    return 0;
}
