/// Queues asynchronous tasks and runs them on the calling thread when the test says so.
#pragma once

#include <deque>
#include <functional>
#include <utility>

namespace damask {

class FakeAsyncRunner
{
public:
    std::function<bool(std::function<void()>)> hook()
    {
        return [this](std::function<void()> task) {
            if (!threadAvailable) {
                return false;
            }
            m_tasks.push_back(std::move(task));
            return true;
        };
    }
    void run() // all queued tasks, and those that they queue
    {
        while (!m_tasks.empty()) {
            const auto task = std::move(m_tasks.front());
            m_tasks.pop_front();
            task();
        }
    }
    void runOne()
    {
        const auto task = std::move(m_tasks.front());
        m_tasks.pop_front();
        task();
    }
    void drop() // like a pool that is closed with tasks in its queue
    {
        m_tasks.clear();
    }
    size_t queuedTasks() const
    {
        return m_tasks.size();
    }

    bool threadAvailable = true; // if false, tasks are rejected

private:
    std::deque<std::function<void()>> m_tasks;
};

} // namespace damask
