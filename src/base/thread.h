/// RAII wrapper for a POSIX thread.
#pragma once

#include <functional>
#include <memory>
#include <pthread.h>
#include <string_view>

namespace damask {

/// Starts a named thread and joins it when destroyed. The body must return by itself (closed queue, stop flag).
class Thread
{
public:
    Thread() = default;
    Thread(std::string_view name, std::function<void()> body); // name: at most 15 bytes, shown by `top -H`
    ~Thread();
    Thread(Thread &&other) noexcept;
    Thread &operator=(Thread &&other) noexcept;

    bool running() const
    {
        return m_started;
    }
    void join(); // no effect when not started

private:
    pthread_t m_thread = {};
    bool      m_started = false;
};

} // namespace damask
