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

/// Four targets with stale load reports, and counts of the probes and load updates.
struct ProbingFixture {
    Clock clock;
    Metrics metrics;
    std::atomic<int> probes{0};
    std::atomic<int> updates{0};
    std::unique_ptr<Probing> probing;
    Duration reportAge{10s};

    explicit ProbingFixture(double bytesPerSecond)
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
                                 ++updates;
                             }});
        probing->apply(oneService(bytesPerSecond));
    }

    void runFor(Duration length)
    {
        for (Duration at{0}; at < length; at += 100ms) {
            probing->runOnce();
            clock.advance(100ms);
        }
        probing->stop(); // waits for the probes queued in the pool
    }
};

} // namespace

Test(probing, stale_targets_are_probed_and_reports_passed_on)
{
    ProbingFixture fixture(1e6);
    fixture.runFor(2s);
    cr_assert(fixture.probes >= 4 && fixture.updates == fixture.probes, "%d probes", fixture.probes.load());
    cr_assert(fixture.metrics.counter("damask_probes_total", {{"service", "listings"}}).Value() == fixture.probes);
}

Test(probing, fresh_targets_are_not_probed)
{
    ProbingFixture fixture(1e6);
    fixture.reportAge = 10ms;
    fixture.runFor(1s);
    cr_assert(fixture.probes == 0);
}

Test(probing, probe_budget_is_never_exceeded)
{
    ProbingFixture fixture(1024); // two probes a second, with a burst of one second's worth
    fixture.runFor(5s);
    cr_assert(fixture.probes > 0 && fixture.probes <= 2 + 2 * 5, "%d probes", fixture.probes.load());
}

Test(probing, zero_budget_sends_no_probes)
{
    ProbingFixture fixture(0);
    fixture.runFor(2s);
    cr_assert(fixture.probes == 0);
}
