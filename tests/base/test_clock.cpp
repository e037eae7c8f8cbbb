#include "base/clock.h"
#include "base/thread.h"

#include <atomic>
#include <criterion/criterion.h>

using namespace damask;
using namespace std::chrono_literals;

Test(clock, is_constant_while_paused_and_changes_by_advance_only)
{
    Clock clock;
    clock.pause();
    const TimePoint before = clock.now();
    cr_assert(clock.now() == before);
    clock.advance(5s);
    cr_assert(clock.now() - before == 5s);
}

Test(clock, advance_wakes_a_wait_whose_deadline_has_passed)
{
    Clock clock;
    clock.pause();
    RankedMutex mutex{LockRank::Route};
    Condition condition(clock);
    const TimePoint deadline = clock.now() + 1h;
    std::atomic<bool> ended{false};
    Thread waiter("waiter", [&] {
        LockGuard lock(mutex);
        while (condition.waitUntil(lock, deadline)) { }
        ended = true;
    });
    cr_assert(!ended);
    clock.advance(2h);
    waiter.join();
    cr_assert(ended);
}
