/// A bounded pool of POSIX threads with one task queue. A thread is started when a task finds no idle thread, and runs
/// until the pool is drained.
///
/// Use: `WorkerPool pool(clock, {.name = "front", .threads = 64}); pool.submit([] { ... });`
/// Pitfall: a task that waits for another task of the same pool can deadlock; use a second pool.
#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "base/thread.h"

#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace damask {

/// Options of a WorkerPool.
struct WorkerPoolOptions {
    std::string name = "worker";   // thread name, at most 15 bytes
    size_t      threads = 4;       // maximum number of threads; 1 or more
    size_t      queueLimit = 1024; // maximum number of queued tasks; more are refused with QueueFull
};

class WorkerPool
{
public:
    using Task = std::function<void()>;

    WorkerPool(Clock &clock, const WorkerPoolOptions &options);
    ~WorkerPool(); // drains

    Result<void> submit(Task task); // QueueFull, QueueClosed
    void         drain();           // refuses new tasks, runs all queued tasks, joins all threads
    size_t       busy() const;      // threads that are running a task
    size_t       queued() const;    // tasks in the queue
    size_t       threads() const;   // threads started so far

private:
    void runTasks();
    bool waitForTask(Task &task);

    WorkerPoolOptions   m_options;
    mutable RankedMutex m_mutex{LockRank::WorkQueue};
    Condition           m_available;
    std::deque<Task>    m_queue;
    size_t              m_busy = 0;
    size_t              m_idle = 0; // threads waiting for a task
    bool                m_closed = false;
    std::vector<Thread> m_threads;
};

} // namespace damask
