#include "member/pause_guard.h"

#include <criterion/criterion.h>

using namespace damask;
using namespace std::chrono_literals;

Test(pause_guard, steady_ticks_block_no_actions)
{
    TimePoint now{1h};
    PauseGuard guard(3s, now);
    for (int n = 0; n < 100; ++n) {
        now += 1s;
        guard.tick(now);
        cr_assert(guard.mayAct(now));
    }
    cr_assert(guard.pauses() == 0);
}

Test(pause_guard, a_pause_blocks_actions_until_it_is_confirmed)
{
    TimePoint now{1h};
    PauseGuard guard(3s, now);
    now += 4s;
    cr_assert(!guard.mayAct(now), "the first action after a pause detects it, without a tick");
    guard.tick(now);
    cr_assert(!guard.mayAct(now), "a tick is no confirmation");
    cr_assert(guard.pauses() == 1);
    guard.confirm(1);
    cr_assert(guard.mayAct(now));
}

Test(pause_guard, an_answer_to_a_request_from_before_the_last_pause_confirms_nothing)
{
    TimePoint now{1h};
    PauseGuard guard(3s, now);
    now += 4s;
    guard.tick(now);
    const uint64_t pausesAtRequest = guard.pauses();
    now += 10s;
    guard.tick(now);
    guard.confirm(pausesAtRequest);
    cr_assert(!guard.mayAct(now));
    guard.confirm(guard.pauses());
    cr_assert(guard.mayAct(now));
}
