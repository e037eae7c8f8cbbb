#include "base/worker_pool.h"

#include <atomic>
#include <criterion/criterion.h>

using namespace damask;

Test(worker_pool, a_full_queue_refuses_tasks_and_drain_runs_all_queued_tasks)
{
    Clock clock;
    WorkerPool pool(clock, {.name = "test", .threads = 1, .queueLimit = 2});
    RankedMutex gate{LockRank::Program};
    std::atomic<int> done{0};
    bool started = false;
    RankedMutex startMutex{LockRank::Leaf};
    Condition startCondition(clock);
    {
        LockGuard lock(gate);
        const auto first = pool.submit([&] {
            {
                LockGuard inner(startMutex);
                started = true;
                startCondition.notifyAll();
            }
            LockGuard inner(gate);
            ++done;
        });
        cr_assert(first.has_value());
        {
            LockGuard inner(startMutex);
            while (!started) {
                startCondition.wait(inner);
            }
        }
        cr_assert(pool.submit([&] { ++done; }).has_value());
        cr_assert(pool.submit([&] { ++done; }).has_value());
        const auto refused = pool.submit([&] { ++done; });
        cr_assert(!refused && refused.error().code == Code::QueueFull);
    }
    pool.drain();
    cr_assert(done == 3);
    const auto closed = pool.submit([] {});
    cr_assert(!closed && closed.error().code == Code::QueueClosed);
}
