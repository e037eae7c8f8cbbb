/// A bounded pool of POSIX threads over one queue. A thread is started when a task finds none free, and then stays.
///
/// Use: `WorkerPool pool(clock, {.name = "front", .threads = 64}); pool.submit([] { ... });`
/// Pitfall: a task that waits for another task of the same pool can wait for ever; use a second pool.
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
    size_t      threads = 4;       // threads at most, 1 or more
    size_t      queueLimit = 1024; // tasks waiting at most; more are refused with QueueFull
};

class WorkerPool
{
public:
    using Task = std::function<void()>;

    WorkerPool(Clock &clock, const WorkerPoolOptions &options);
    ~WorkerPool(); // drains

    Result<void> submit(Task task); // QueueFull, QueueClosed
    void         drain();           // takes no more, finishes what is queued, joins all threads
    size_t       busy() const;      // threads that run a task now
    size_t       queued() const;    // tasks that wait now
    size_t       threads() const;   // threads started so far

private:
    void runTasks();
    bool waitForTask(Task &task);

    WorkerPoolOptions   m_options;
    mutable RankedMutex m_mutex{LockRank::WorkQueue};
    Condition           m_available;
    std::deque<Task>    m_queue;
    size_t              m_busy = 0;
    size_t              m_idle = 0; // threads that wait for a task
    bool                m_closed = false;
    std::vector<Thread> m_threads;
};

} // namespace damask
