/// RAII round a POSIX thread.
#pragma once

#include <functional>
#include <memory>
#include <pthread.h>
#include <string_view>

namespace damask {

/// Starts a named thread; joins it when destroyed. The body must end by itself (closed queue, stop flag).
class Thread
{
public:
    Thread() = default;
    Thread(std::string_view name, std::function<void()> body); // name: at most 15 bytes, seen in `top -H`
    ~Thread();
    Thread(Thread &&other) noexcept;
    Thread &operator=(Thread &&other) noexcept;

    bool running() const
    {
        return m_started;
    }
    void join(); // does nothing when not started

private:
    pthread_t m_thread = {};
    bool      m_started = false;
};

} // namespace damask
