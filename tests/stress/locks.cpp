// Many threads over one pool and one paused clock: for ThreadSanitizer.
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
        DAMASK_ASSERT(submitted.has_value(), "the queue holds all tasks of this run");
    }
    pool.drain();
    DAMASK_ASSERT(sum == Tasks, "each task runs exactly once");
    std::puts("1 passed, 0 failed");
    return 0;
}
