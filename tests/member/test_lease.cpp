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

Test(lease, the_deadline_counts_from_before_the_request_was_sent)
{
    LeaseHolder lease({.margin = 500ms});
    const TimePoint requestedAt(100s);
    lease.granted(7, requestedAt, 10s); // the time of the answer, say 4 s later, has no effect
    cr_assert(lease.check(requestedAt + 9s).has_value());
    cr_assert(lease.check(requestedAt + 9500ms).error().code == Code::LeaseLapsed);
    cr_assert(!lease.renewalDue(requestedAt + 3s));
    cr_assert(lease.renewalDue(requestedAt + 4s));
}

Test(lease, a_paused_holder_sees_its_lease_expired_before_its_next_action)
{
    Clock clock;
    clock.pause();
    LeaseHolder lease;
    lease.granted(7, clock.now(), 10s);
    cr_assert(lease.check(clock.now()).has_value());
    clock.advance(60s); // the process was paused, the clock was not
    cr_assert(lease.check(clock.now()).error().code == Code::LeaseLapsed);
    cr_assert(lease.expired(clock.now()));
}

Test(lease, a_late_answer_to_an_earlier_renewal_does_not_shorten_the_lease)
{
    LeaseHolder lease({.margin = 0ms});
    lease.granted(7, TimePoint(20s), 10s);
    lease.granted(7, TimePoint(15s), 10s);
    cr_assert(lease.check(TimePoint(29s)).has_value());
}

Test(lease, a_lost_lease_is_not_held_even_before_its_deadline)
{
    LeaseHolder lease;
    lease.granted(7, TimePoint(20s), 10s);
    lease.lost();
    cr_assert(!lease.check(TimePoint(21s)));
    lease.granted(8, TimePoint(22s), 10s);
    cr_assert(lease.id() == 8);
    cr_assert(lease.check(TimePoint(23s)).has_value());
}
