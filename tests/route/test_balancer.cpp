// Tests of the balancer's guarantees: permits, draining, queueing, refusals, regions.
#include "base/thread.h"
#include "fakes/fleet.h"

#include <criterion/criterion.h>

using namespace damask;
using namespace damask::fakes;
using namespace std::chrono_literals;

Test(balancer, a_target_draining_by_any_signal_gets_no_new_calls)
{
    Configuration configuration = fleetOf(4, 8);
    configuration.pools[0].targets[0].draining = true;
    PausedBalancer fixture(configuration);
    const LoadUpdate leaving{"pages/t1", {}, 0ms, true};
    fixture.balancer.updateLoad({&leaving, 1});
    const LoadUpdate draining{"pages/t2", {0, 8, true}, 0ms, false};
    fixture.balancer.updateLoad({&draining, 1});
    for (int n = 0; n < 8; ++n) {
        const auto permit = fixture.tryAcquire();
        cr_assert(permit.has_value());
        cr_assert(permit->address->name == "pages/t3");
    }
}

Test(balancer, an_unknown_service_is_refused)
{
    PausedBalancer fixture(fleetOf(1));
    const auto permit = fixture.tryAcquire({.service = "nothing"});
    cr_assert(permit.error().code == Code::NoSuchService);
}

Test(balancer, a_call_waits_for_a_slot_and_gets_the_one_that_becomes_free)
{
    PausedBalancer fixture(fleetOf(1, 1));
    const auto first = fixture.tryAcquire();
    cr_assert(first.has_value());
    cr_assert(fixture.tryAcquire().error().code == Code::QueueFull);
    std::optional<Result<Permit>> second;
    fixture.balancer.acquireLater({.service = "listings"}, [&](Result<Permit> result) { second = std::move(result); });
    cr_assert(!second.has_value());
    fixture.clock.advance(10ms);
    fixture.answer(*first, 0);
    cr_assert(second.has_value() && second->has_value());
    cr_assert((*second)->waited == 10ms);
    fixture.answer(**second, 0);
    cr_assert(fixture.balancer.inFlight() == 0);
}

Test(balancer, a_wait_ends_by_queue_wait_deadline_or_cancellation)
{
    PausedBalancer fixture(fleetOf(1, 1));
    const auto held = fixture.tryAcquire();
    std::vector<Code> codes;
    const auto note = [&](Result<Permit> result) {
        codes.push_back(result ? Code::Ok : result.error().code);
    };
    fixture.balancer.acquireLater({.service = "listings"}, note);
    fixture.balancer.acquireLater({.service = "listings", .deadline = fixture.clock.now() + 5ms}, note);
    const uint64_t third = fixture.balancer.acquireLater({.service = "listings"}, note);
    fixture.balancer.cancelWait("listings", third);
    fixture.clock.advance(6ms);
    fixture.balancer.processQueue("listings");
    fixture.clock.advance(100ms);
    fixture.balancer.processQueue("listings");
    const std::vector<Code> expected{Code::Cancelled, Code::DeadlineTooShort, Code::QueueTimeout};
    cr_assert(codes == expected);
}

Test(balancer, a_blocked_call_is_woken_by_a_cancel)
{
    PausedBalancer fixture(fleetOf(1, 1));
    const auto held = fixture.tryAcquire();
    CancelToken cancel;
    Code code = Code::Ok;
    Thread waiting("waiting", [&] {
        const auto permit = fixture.balancer.acquire({.service = "listings", .cancel = &cancel});
        code = permit.error().code;
    });
    cancel.cancel();
    waiting.join();
    cr_assert(code == Code::Cancelled);
}

Test(balancer, in_a_full_queue_a_callers_burst_is_displaced_by_another_caller)
{
    PausedBalancer fixture(fleetOf(1, 1));
    const auto held = fixture.tryAcquire();
    std::vector<Code> burst;
    for (int n = 0; n < 6; ++n) {
        fixture.balancer.acquireLater({.service = "listings", .caller = "burst"}, [&](Result<Permit> result) {
            burst.push_back(result ? Code::Ok : result.error().code);
        });
    }
    const std::vector<Code> full{Code::QueueFull, Code::QueueFull};
    cr_assert(burst == full);
    bool quietGranted = false;
    fixture.balancer.acquireLater({.service = "listings", .caller = "quiet"},
                                  [&](Result<Permit> result) { quietGranted = result.has_value(); });
    cr_assert(burst.size() == 3 && burst[2] == Code::FairShareExceeded);
    fixture.answer(*held, 0);
    cr_assert(burst.size() == 4, "the burst expires first, and neither caller has other calls in flight");
    cr_assert(!quietGranted);
}

Test(balancer, a_configuration_change_keeps_the_load_of_remaining_targets)
{
    Configuration configuration = fleetOf(2);
    PausedBalancer fixture(configuration);
    const LoadUpdate update{"pages/t1", {2, 2, false}, 0ms, false};
    fixture.balancer.updateLoad({&update, 1});
    configuration.revision = 2;
    configuration.pools[0].targets.push_back({"t2", "127.0.0.1", 9100, "n1", 2});
    fixture.apply(configuration);
    const auto status = fixture.balancer.status("listings");
    cr_assert(status.size() == 3);
    cr_assert(status[1].name == "pages/t1" && status[1].reported && status[1].estimate > 1.9);
}

Test(balancer, a_call_in_flight_on_a_removed_target_ends_normally)
{
    Configuration configuration = fleetOf(2);
    PausedBalancer fixture(configuration);
    const auto first = fixture.tryAcquire();
    const auto second = fixture.tryAcquire();
    configuration.revision = 2;
    configuration.pools[0].targets.clear();
    fixture.apply(configuration);
    cr_assert(fixture.tryAcquire().error().code == Code::NoTarget);
    fixture.answer(*first, 0);
    fixture.answer(*second, 0);
    cr_assert(fixture.balancer.inFlight() == 0);
    cr_assert(fixture.balancer.status("listings").empty());
}

Test(balancer, another_region_gets_no_calls_when_the_budget_is_spent)
{
    Configuration configuration = fleetOf(1, 64);
    configuration.pools[0].targets[0].dataCentre = "s1";
    configuration.services[0].regionBytesPerSecond = 10000;
    PausedBalancer fixture(configuration);
    int granted = 0;
    for (int n = 0; n < 10; ++n) {
        granted += fixture.tryAcquire({.bodyBytes = 2488}).has_value() ? 1 : 0;
    }
    cr_assert(granted == 3, "each call costs 3000 of a burst of 10000 bytes");
}

Test(balancer, early_refusals_end_after_a_while_without_answers)
{
    PausedBalancer fixture(fleetOf(1, 8));
    for (int n = 0; n < 400; ++n) {
        const auto permit = fixture.tryAcquire();
        fixture.clock.advance(50ms);
        fixture.answer(*permit, 0);
    }
    const auto soon = [&] {
        return fixture.tryAcquire({.deadline = fixture.clock.now() + 5ms});
    };
    cr_assert(soon().error().code == Code::DeadlineTooShort);
    fixture.clock.advance(10s);
    cr_assert(soon().has_value());
}
