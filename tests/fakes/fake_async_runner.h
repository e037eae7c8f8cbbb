/// Runs beside the caller's thread when the test says so.
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
    void run() // all that was handed over, and what that hands over
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
    void drop() // as a pool that closes with tasks in its queue
    {
        m_tasks.clear();
    }
    size_t queuedTasks() const
    {
        return m_tasks.size();
    }

    bool threadAvailable = true; // whether a thread is free

private:
    std::deque<std::function<void()>> m_tasks;
};

} // namespace damask
