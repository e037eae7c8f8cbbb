// Stress test for ThreadSanitizer: the threads of one pool run many tasks that contend for one mutex.
#include "base/check.h"
#include "base/worker_pool.h"

#include <atomic>
#include <cstdio>

using namespace damask;

int main()
{
    constexpr int Tasks = 20000;
    Clock clock;
    WorkerPool pool(clock, {.name = "stress", .threads = 8, .queueLimit = Tasks});
    RankedMutex mutex{LockRank::Route};
    int sum = 0;
    for (int n = 0; n < Tasks; ++n) {
        const auto submitted = pool.submit([&] {
            LockGuard lock(mutex);
            ++sum;
        });
        DAMASK_ASSERT(submitted.has_value(), "size the queue for all tasks of the run");
    }
    pool.drain();
    DAMASK_ASSERT(sum == Tasks, "each task runs exactly once");
    std::puts("1 passed, 0 failed");
    return 0;
}
