#include "programs/damask-entry/probing.h"

#include <atomic>
#include <criterion/criterion.h>

using namespace damask;
using namespace std::chrono_literals;

namespace {

std::shared_ptr<const Configuration> oneService(double bytesPerSecond)
{
    auto out = std::make_shared<Configuration>();
    out->services.push_back({.name = "listings", .pool = "pages"});
    out->services[0].measureBytesPerSecond = bytesPerSecond;
    out->pools.push_back({.name = "pages", .version = 1, .targets = {}});
    for (int n = 0; n < 4; ++n) {
        out->pools[0].targets.push_back({.name = "t" + std::to_string(n), .address = "10.0.0.1", .port = 80});
    }
    return out;
}

/// Four targets of unknown load, and what was asked of them.
struct Rig {
    Clock clock;
    Metrics metrics;
    std::atomic<int> probes{0};
    std::atomic<int> absorbed{0};
    std::unique_ptr<Probing> probing;
    Duration reportAge{10s};

    explicit Rig(double bytesPerSecond)
    {
        clock.pause();
        probing = std::make_unique<Probing>(
            clock, metrics, ProbingOptions{},
            ProbingHooks{.status =
                             [this](std::string_view) {
                                 std::vector<TargetStatus> out(4);
                                 for (size_t n = 0; n < out.size(); ++n) {
                                     out[n].name = "pages/t" + std::to_string(n);
                                     out[n].reported = true;
                                     out[n].reportAge = reportAge;
                                 }
                                 return out;
                             },
                         .probe = [this](std::string_view, uint16_t, Duration) -> Result<LoadReport> {
                             ++probes;
                             return LoadReport{1, 6, false};
                         },
                         .updateLoad =
                             [this](std::span<const LoadUpdate>) {
                                 ++absorbed;
                             }});
        probing->apply(oneService(bytesPerSecond));
    }

    void lookFor(Duration length)
    {
        for (Duration at{0}; at < length; at += 100ms) {
            probing->look();
            clock.advance(100ms);
        }
        probing->stop(); // ends what was handed to the pool
    }
};

} // namespace

Test(probing, what_is_unknown_is_asked_for_and_told)
{
    Rig rig(1e6);
    rig.lookFor(2s);
    cr_assert(rig.probes >= 4 && rig.absorbed == rig.probes, "%d probes", rig.probes.load());
    cr_assert(rig.metrics.counter("damask_probes_total", {{"service", "listings"}}).Value() == rig.probes);
}

Test(probing, what_is_known_is_not_asked_for)
{
    Rig rig(1e6);
    rig.reportAge = 10ms;
    rig.lookFor(1s);
    cr_assert(rig.probes == 0);
}

Test(probing, a_budget_is_never_passed)
{
    Rig rig(1024); // two probes a second, and one second's worth at once
    rig.lookFor(5s);
    cr_assert(rig.probes > 0 && rig.probes <= 2 + 2 * 5, "%d probes", rig.probes.load());
}

Test(probing, a_budget_of_nothing_sends_nothing)
{
    Rig rig(0);
    rig.lookFor(2s);
    cr_assert(rig.probes == 0);
}
