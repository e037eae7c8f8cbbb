#include "base/clock.h"
#include "member/lease.h"

#include <criterion/criterion.h>

using namespace damask;
using namespace std::chrono_literals;

Test(lease, none_is_held_before_one_is_granted)
{
    const LeaseHolder lease;
    cr_assert(lease.check(TimePoint(1s)).error().code == Code::LeaseLapsed);
    cr_assert(lease.renewalDue(TimePoint(1s)));
}

Test(lease, the_deadline_counts_from_before_the_call_left)
{
    LeaseHolder lease({.margin = 500ms});
    const TimePoint asked(100s);
    lease.granted(7, asked, 10s); // the answer may have come 4 s later: that changes nothing
    cr_assert(lease.check(asked + 9s).has_value());
    cr_assert(lease.check(asked + 9500ms).error().code == Code::LeaseLapsed);
    cr_assert(!lease.renewalDue(asked + 3s));
    cr_assert(lease.renewalDue(asked + 4s));
}

Test(lease, a_holder_that_was_paused_finds_it_lapsed_before_its_next_act)
{
    Clock clock;
    clock.pause();
    LeaseHolder lease;
    lease.granted(7, clock.now(), 10s);
    cr_assert(lease.check(clock.now()).has_value());
    clock.advance(60s); // the process stood still, the clock did not
    cr_assert(lease.check(clock.now()).error().code == Code::LeaseLapsed);
    cr_assert(lease.lapsed(clock.now()));
}

Test(lease, a_late_answer_to_an_early_renewal_takes_nothing_back)
{
    LeaseHolder lease({.margin = 0ms});
    lease.granted(7, TimePoint(20s), 10s);
    lease.granted(7, TimePoint(15s), 10s);
    cr_assert(lease.check(TimePoint(29s)).has_value());
}

Test(lease, a_lost_lease_is_not_held_whatever_the_clock_says)
{
    LeaseHolder lease;
    lease.granted(7, TimePoint(20s), 10s);
    lease.lost();
    cr_assert(!lease.check(TimePoint(21s)));
    lease.granted(8, TimePoint(22s), 10s);
    cr_assert(lease.id() == 8);
    cr_assert(lease.check(TimePoint(23s)).has_value());
}
