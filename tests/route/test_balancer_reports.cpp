// Tests of how fresh reports change the choice: slow, full, replaced and recovered targets, and urgent calls.
#include "fakes/fleet.h"

#include <criterion/criterion.h>

using namespace damask;
using namespace damask::fakes;
using namespace std::chrono_literals;

namespace {

LoadUpdate probeAnswer(std::string_view target, int inFlight, double slowdown = 1)
{
    LoadUpdate out;
    out.target = target;
    out.report = {.inFlight = inFlight, .slots = 6, .slowdown = slowdown};
    out.asked = true;
    return out;
}

void refuse(PausedBalancer &fixture, const Permit &permit, Code code = Code::TargetRefused)
{
    fixture.balancer.finish(permit, {.end = AttemptEnd::Refused, .code = code});
}

} // namespace

Test(reports, refusals_of_a_target_with_free_slots_do_not_lower_its_limit)
{
    PausedBalancer fixture(fleetOf(1, 6));
    const auto held = fixture.tryAcquire();
    for (int n = 0; n < 20; ++n) {
        const LoadUpdate update = probeAnswer("pages/t0", 1);
        fixture.balancer.updateLoad({&update, 1});
        const auto permit = fixture.tryAcquire();
        cr_assert(permit.has_value(), "after %d refusals", n);
        refuse(fixture, *permit);
        fixture.clock.advance(1ms);
    }
}

Test(reports, a_target_that_reports_a_slowdown_is_not_chosen)
{
    PausedBalancer fixture(fleetOf(2, 6));
    const LoadUpdate slow = probeAnswer("pages/t0", 0, 7);
    const LoadUpdate fast = probeAnswer("pages/t1", 3, 1);
    fixture.balancer.updateLoad({&slow, 1});
    fixture.balancer.updateLoad({&fast, 1});
    const auto candidates = fixture.balancer.bestCandidates({.service = "listings"}, 4);
    cr_assert(candidates.size() == 2 && candidates[0].address->name == "pages/t1");
    cr_assert(candidates[0].available && !candidates[1].available);
    const auto permit = fixture.tryAcquire();
    cr_assert(permit->address->name == "pages/t1");
}

Test(reports, a_replaced_target_gets_no_calls_until_the_registry_reports_the_new_process)
{
    Configuration configuration = fleetOf(1, 6);
    configuration.pools[0].targets[0].instance = "i-1";
    PausedBalancer fixture(configuration);
    const auto permit = fixture.tryAcquire();
    refuse(fixture, *permit, Code::TargetReplaced);
    cr_assert(fixture.tryAcquire().error().code == Code::NoTarget);
    configuration.revision = 2;
    configuration.pools[0].targets[0].startedAt = 99;
    fixture.apply(configuration);
    cr_assert(fixture.tryAcquire().has_value());
}

Test(reports, probe_answers_reinstate_an_ejected_target)
{
    PausedBalancer fixture(fleetOf(4, 6));
    const auto ejected = [&] {
        for (const TargetStatus &it : fixture.balancer.status("listings")) {
            if (it.ejected) {
                return it.name;
            }
        }
        return std::string();
    };
    LoadUpdate silent;
    silent.target = "pages/t0";
    silent.silent = true;
    for (int n = 0; n < 5; ++n) {
        fixture.balancer.updateLoad({&silent, 1});
    }
    cr_assert(ejected() == "pages/t0");
    fixture.clock.advance(600ms);
    for (int n = 0; n < 3; ++n) {
        const auto candidates = fixture.balancer.bestCandidates({.service = "listings"}, 2);
        cr_assert(candidates.back().halfOpen && candidates.back().address->name == "pages/t0");
        const LoadUpdate well = probeAnswer("pages/t0", 0);
        fixture.balancer.updateLoad({&well, 1});
    }
    cr_assert(ejected().empty(), "reinstated by probes alone, without any call");
}

Test(reports, a_more_urgent_call_takes_the_last_queue_place_and_the_next_slot)
{
    Configuration configuration = fleetOf(1, 1);
    configuration.services[0].queueLimit = 2;
    PausedBalancer fixture(configuration);
    const auto held = fixture.tryAcquire();
    std::string ends;
    const auto wait = [&](const char *name, int rank) {
        fixture.balancer.acquireLater({.service = "listings", .rank = rank}, [&ends, name](Result<Permit> result) {
            ends += std::string(name) + (result ? ":granted " : ":refused ");
        });
    };
    wait("low", 2);
    wait("lower", 3);
    wait("urgent", 0);
    cr_assert(ends == "lower:refused ");
    fixture.answer(*held, 0);
    cr_assert(ends == "lower:refused urgent:granted ");
}

Test(reports, a_large_body_waits_longer_for_a_target_nearby)
{
    Configuration configuration = fleetOf(2, 6);
    configuration.pools[0].targets[1].dataCentre = "n2";
    PausedBalancer fixture(
        configuration, {.random = seededRandom(1)},
        {.dataCentre = "n1", .otherDataCentreCost = 10ms, .costPerMegabyte = std::chrono::seconds(2)});
    for (int n = 0; n < 20; ++n) { // answers of 100 ms each, so that waiting has a known cost
        const auto permit = fixture.tryAcquire();
        fixture.clock.advance(100ms);
        fixture.answer(*permit, 0);
    }
    fixture.clock.advance(1ms);
    const LoadUpdate near = probeAnswer("pages/t0", 8);
    const LoadUpdate far = probeAnswer("pages/t1", 0);
    fixture.balancer.updateLoad({&near, 1});
    fixture.balancer.updateLoad({&far, 1});
    const auto best = [&](size_t bodyBytes) {
        return fixture.balancer.bestCandidates({.service = "listings", .bodyBytes = bodyBytes}, 2)[0].address->name;
    };
    cr_assert(best(0) == "pages/t1" && best(4096) == "pages/t1", "the target nearby is full");
    cr_assert(best(1024 * 1024) == "pages/t0", "its queue is shorter than what 1 MB over there is worth");
}
