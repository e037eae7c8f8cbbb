// The prober's choice of targets, and its budgets.
#include "measure/prober.h"

#include <rapidcheck.h>

#include <algorithm>
#include <criterion/criterion.h>
#include <vector>

using namespace damask;
using namespace std::chrono_literals;

namespace {

struct SentProbes {
    std::vector<std::string> targets;

    ProberHooks hooks()
    {
        return {[this](std::string_view target) {
            targets.emplace_back(target);
        }};
    }
};

} // namespace

Test(prober, probes_targets_that_own_calls_do_not_report_on)
{
    SentProbes sent;
    TimePoint now{};
    Prober prober({.region = "a", .service = {1024, 4}}, sent.hooks(), now);
    now += 1s;
    const std::vector<ProbeCandidate> candidates{
        {"p/fresh", "a", 0ms, 5ms},
        {"p/answers-soon", "a", 0ms, 900ms, 1, 3ms},
        {"p/old", "a", 0ms, 500ms},
        {"p/never", "a"},
    };
    cr_assert(prober.run(candidates, now) == 1, "the burst is one probe");
    cr_assert(sent.targets[0] == "p/never");
    now += 250ms;
    cr_assert(prober.run(candidates, now) == 1);
    cr_assert(prober.probes() == 2);
}

Test(prober, a_target_with_a_stalled_call_is_probed)
{
    SentProbes sent;
    TimePoint now{};
    Prober prober({.region = "a"}, sent.hooks(), now);
    now += 1s;
    const std::vector<ProbeCandidate> candidates{{"p/stalled", "a", 0ms, 900ms, 1, 800ms}};
    cr_assert(prober.run(candidates, now) == 1);
}

Test(prober, never_exceeds_its_budgets)
{
    const bool held = rc::check("bytes and probes stay within service and region pair", [] {
        SentProbes sent;
        TimePoint now{};
        Prober prober({.region = "a", .service = {2000, 9}, .regionPair = {600, 2}}, sent.hooks(), now);
        const std::vector<ProbeCandidate> candidates{
            {"p/1", "a"}, {"p/2", "b", 16ms}, {"p/3", "b", 16ms}, {"p/4", "c", 16ms}};
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 300));
        for (const int it : steps) {
            now += std::chrono::milliseconds(it);
            prober.run(candidates, now);
            const double seconds = toSeconds(now.time_since_epoch());
            const auto toB = std::count_if(sent.targets.begin(), sent.targets.end(),
                                           [](const std::string &n) { return n == "p/2" || n == "p/3"; });
            RC_ASSERT(static_cast<double>(sent.targets.size()) * 256 <= 2000 * seconds + 1e-6);
            RC_ASSERT(static_cast<double>(sent.targets.size()) <= 9 * seconds + 1e-6);
            RC_ASSERT(static_cast<double>(toB) <= 2 * seconds + 1e-6);
            RC_ASSERT(prober.overBudget(now) <= 1e-6);
        }
    });
    cr_assert(held);
}
