// Tests of the balancer with targets that fail, stall, start cold, are unreachable or recover.
#include "fakes/fleet.h"

#include <criterion/criterion.h>
#include <map>

using namespace damask;
using namespace damask::fakes;
using namespace std::chrono_literals;

namespace {

/// An immediate refusal with a report of 0 calls in flight, so that the target looks idle.
PermitReport fastRefusal()
{
    return {AttemptEnd::Refused, Code::TargetRefused, LoadReport{0, 2, false}, 503};
}

/// Sends calls sequentially. `end` returns the result of a call by the name of its target. Returns calls per target.
std::map<std::string, int> callsEnding(PausedBalancer &fixture, int calls, bool idempotent,
                                       const std::function<PermitReport(std::string_view)> &end)
{
    std::map<std::string, int> counts;
    for (int n = 0; n < calls; ++n) {
        const auto permit = fixture.tryAcquire({.idempotent = idempotent});
        cr_assert(permit.has_value());
        ++counts[permit->address->name];
        const PermitReport report = end(permit->address->name);
        fixture.clock.advance(report.end == AttemptEnd::Answered ? 8ms : 1ms);
        fixture.balancer.finish(*permit, report);
    }
    return counts;
}

PermitReport answered()
{
    return {AttemptEnd::Answered, Code::Ok, LoadReport{0, 2, false}, 200};
}

size_t ejectedIn(const Balancer &balancer)
{
    size_t n = 0;
    for (const TargetStatus &it : balancer.status("listings")) {
        n += it.ejected ? 1 : 0;
    }
    return n;
}

} // namespace

Test(balancer_faults, a_target_that_fails_fast_does_not_attract_calls)
{
    PausedBalancer fixture(fleetOf(6));
    const auto counts = callsEnding(
        fixture, 60, false, [](std::string_view name) { return name == "pages/t0" ? fastRefusal() : answered(); });
    cr_assert(counts.count("pages/t0") == 0 || counts.at("pages/t0") <= 8);
    fixture.clock.advance(30s);
    const auto later = callsEnding(fixture, 30, false, [](std::string_view) { return answered(); });
    cr_assert(ejectedIn(fixture.balancer) == 0 || later.count("pages/t0") == 0,
              "an ejected target gets idempotent trial calls only");
}

Test(balancer_faults, idempotent_trials_reinstate_an_ejected_target)
{
    Configuration configuration = fleetOf(3);
    configuration.pools[0].targets[0].dataCentre = "n2";
    PausedBalancer fixture(configuration);
    const std::vector<std::string> only{"n2"};
    for (int n = 0; n < 5; ++n) {
        const auto permit = fixture.tryAcquire({.dataCentres = only});
        fixture.balancer.finish(*permit, fastRefusal());
    }
    cr_assert(ejectedIn(fixture.balancer) == 1);
    cr_assert(fixture.tryAcquire({.dataCentres = only, .idempotent = true}).error().code == Code::NoTarget);
    fixture.clock.advance(20s);
    cr_assert(fixture.tryAcquire({.dataCentres = only}).error().code == Code::NoTarget);
    const auto trials = callsEnding(fixture, 3, true, [](std::string_view) { return answered(); });
    cr_assert(trials.at("pages/t0") == 3);
    cr_assert(ejectedIn(fixture.balancer) == 0);
}

Test(balancer_faults, the_hook_is_called_once_for_each_ejection_and_reinstatement)
{
    Configuration configuration = fleetOf(3);
    configuration.pools[0].targets[0].dataCentre = "n2";
    std::vector<std::string> changes;
    PausedBalancer fixture(configuration,
                           {.random = seededRandom(1), .healthChanged = [&changes](const HealthChange &it) {
                                changes.push_back(std::string(it.target) + (it.out ? " out " : " in ")
                                                  + std::string(it.reason));
                            }});
    const std::vector<std::string> only{"n2"};
    for (int n = 0; n < 5; ++n) {
        const auto permit = fixture.tryAcquire({.dataCentres = only});
        fixture.balancer.finish(*permit, fastRefusal());
    }
    cr_assert(changes.size() == 1 && changes[0] == "pages/t0 out failure");
    fixture.clock.advance(20s);
    callsEnding(fixture, 3, true, [](std::string_view) { return answered(); });
    cr_assert(changes.size() == 2 && changes[1] == "pages/t0 in answer");
}

Test(balancer_faults, at_most_one_third_is_ejected_when_all_fail)
{
    PausedBalancer fixture(fleetOf(7));
    callsEnding(fixture, 300, false, [](std::string_view) { return fastRefusal(); });
    cr_assert(ejectedIn(fixture.balancer) <= 2);
}

Test(balancer_faults, a_stalled_target_is_avoided_before_any_answer)
{
    PausedBalancer fixture(fleetOf(3, 8));
    callsEnding(fixture, 50, false, [](std::string_view) { return answered(); });
    const auto stalled = fixture.tryAcquire();
    fixture.clock.advance(200ms);
    const auto counts = callsEnding(fixture, 20, false, [](std::string_view) { return answered(); });
    cr_assert(counts.count(stalled->address->name) == 0);
}

Test(balancer_faults, a_new_target_starts_slowly)
{
    Configuration configuration = fleetOf(1, 6);
    PausedBalancer fixture(configuration);
    ++configuration.revision;
    configuration.pools[0].targets[0] = {"cold", "127.0.0.1", 9500, "n1", 6};
    fixture.apply(configuration);
    int granted = 0;
    while (fixture.tryAcquire().has_value()) {
        ++granted;
    }
    cr_assert(granted == 2, "slow start allows a third of its slots");
    fixture.clock.advance(3s);
    while (fixture.tryAcquire().has_value()) {
        ++granted;
    }
    cr_assert(granted == 6);
}

Test(balancer_faults, calls_avoid_an_unreachable_region)
{
    Configuration configuration = fleetOf(6, 8);
    configuration.pools[0].targets[4].dataCentre = "s1";
    configuration.pools[0].targets[5].dataCentre = "s1";
    PausedBalancer fixture(configuration);
    const std::vector<std::string> south{"s1"};
    for (int n = 0; n < 30; ++n) {
        const auto permit = fixture.tryAcquire({.dataCentres = south});
        cr_assert(permit.has_value() || permit.error().code == Code::NoTarget);
        if (permit) {
            fixture.balancer.finish(*permit, {AttemptEnd::NotSent, Code::ConnectFailed, {}, 0});
        }
    }
    cr_assert(ejectedIn(fixture.balancer) == 2);
    cr_assert(fixture.tryAcquire({.dataCentres = south}).error().code == Code::NoTarget);
    cr_assert(fixture.tryAcquire().has_value());
}
