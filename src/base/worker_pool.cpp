#include "base/worker_pool.h"

#include "base/check.h"

namespace damask {

WorkerPool::WorkerPool(Clock &clock, const WorkerPoolOptions &options)
    : m_options(options)
    , m_available(clock)
{
    DAMASK_ASSERT(options.threads > 0, "give the pool at least one thread");
}

WorkerPool::~WorkerPool()
{
    drain();
}

Result<void> WorkerPool::submit(Task task)
{
    LockGuard lock(m_mutex);
    if (m_closed) {
        return fail(Code::QueueClosed, m_options.name);
    }
    if (m_queue.size() >= m_options.queueLimit) {
        return fail(Code::QueueFull, m_options.name);
    }
    m_queue.push_back(std::move(task));
    if (m_queue.size() > m_idle && m_threads.size() < m_options.threads) {
        m_threads.emplace_back(m_options.name, [this] { runTasks(); });
    } else {
        m_available.notifyOne();
    }
    return {};
}

void WorkerPool::drain()
{
    {
        LockGuard lock(m_mutex);
        m_closed = true;
        m_available.notifyAll();
    }
    for (Thread &it : m_threads) {
        it.join();
    }
}

size_t WorkerPool::busy() const
{
    LockGuard lock(m_mutex);
    return m_busy;
}

size_t WorkerPool::queued() const
{
    LockGuard lock(m_mutex);
    return m_queue.size();
}

size_t WorkerPool::threads() const
{
    LockGuard lock(m_mutex);
    return m_threads.size();
}

void WorkerPool::runTasks()
{
    Task task;
    while (waitForTask(task)) {
        task();
        task = nullptr;
        LockGuard lock(m_mutex);
        --m_busy;
    }
}

bool WorkerPool::waitForTask(Task &task)
{
    LockGuard lock(m_mutex);
    while (m_queue.empty()) {
        if (m_closed) {
            return false;
        }
        ++m_idle;
        m_available.wait(lock);
        --m_idle;
    }
    task = std::move(m_queue.front());
    m_queue.pop_front();
    ++m_busy;
    return true;
}

} // namespace damask
