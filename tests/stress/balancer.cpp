// Stress test of one balancer under many threads and configuration changes, for ThreadSanitizer.
// Usage: stress-balancer [SEED]
#include "base/check.h"
#include "base/thread.h"
#include "fakes/fleet.h"

#include <atomic>
#include <cstdio>
#include <cstdlib>

using namespace damask;
using namespace damask::fakes;

namespace {

constexpr int Threads = 8;
constexpr int CallsOfThread = 1500;
constexpr int Revisions = 200;

struct Counts {
    std::atomic<int> granted{0};
    std::atomic<int> refused{0};
};

PermitReport reportOf(uint64_t draw)
{
    PermitReport report;
    report.end = draw % 9 == 0 ? AttemptEnd::Lost : AttemptEnd::Answered;
    report.code = draw % 9 == 0 ? Code::ConnectionLost : Code::Ok;
    report.status = draw % 11 == 0 ? 503 : 200;
    report.load = LoadReport{static_cast<int>(draw % 3), 2, false};
    return report;
}

void call(Balancer &balancer, const RandomSource &random, Counts &counts)
{
    const uint64_t draw = random();
    CancelToken cancel;
    AcquireRequest request{.service = "listings", .caller = draw % 2 == 0 ? "even" : "odd"};
    request.idempotent = draw % 3 != 0;
    request.cancel = &cancel;
    Thread canceller;
    if (draw % 50 == 0) {
        canceller = Thread("cancel", [&] { cancel.cancel(); });
    }
    const Result<Permit> held = balancer.acquire(request);
    if (!held) {
        ++counts.refused;
        return;
    }
    const Result<Permit> permit = balancer.acquire(request);
    balancer.finish(*held, reportOf(draw >> 8));
    if (permit) {
        balancer.finish(*permit, reportOf(draw));
        ++counts.granted;
    } else {
        ++counts.refused;
    }
}

} // namespace

int main(int argc, char **argv)
{
    const uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    Clock clock;
    Metrics metrics;
    Balancer balancer(clock, metrics, {.dataCentre = "n1"});
    Configuration configuration = fleetOf(6, 1);
    configuration.services[0].queueWait = std::chrono::milliseconds(1);
    balancer.apply(std::make_shared<const Configuration>(configuration));
    Counts counts;
    {
        std::vector<Thread> threads;
        for (int n = 0; n < Threads; ++n) {
            threads.emplace_back("caller", [&, n] {
                const RandomSource random = seededRandom(seed * Threads + static_cast<uint64_t>(n));
                for (int it = 0; it < CallsOfThread; ++it) {
                    call(balancer, random, counts);
                }
            });
        }
        for (int n = 0; n < Revisions; ++n) {
            ++configuration.revision;
            configuration.pools[0].targets[0].draining = n % 2 == 0;
            configuration.pools[0].targets[1].slots = 1 + n % 3;
            balancer.apply(std::make_shared<const Configuration>(configuration));
            const std::vector<LoadUpdate> updates = balancer.loadSnapshot();
            balancer.updateLoad(updates);
            balancer.status("listings");
        }
    }
    DAMASK_ASSERT(balancer.inFlight() == 0, "each permit is finished");
    DAMASK_ASSERT(counts.granted + counts.refused == Threads * CallsOfThread, "each call ends once");
    DAMASK_ASSERT(counts.granted > 0, "at least one call is granted");
    std::printf("seed %llu: %d granted, %d refused\n1 passed, 0 failed\n", static_cast<unsigned long long>(seed),
                counts.granted.load(), counts.refused.load());
    return 0;
}
