/// RAII wrapper of epoll with one-shot events and an eventfd to wake the waiting thread.
#pragma once

#include "base/scope.h"

#include <cstdint>
#include <span>
#include <sys/epoll.h>

namespace damask {

/// One thread calls wait(); all threads may call add(), arm(), remove() and wake(). An event disarms its descriptor
/// until the next arm().
class EventPoll
{
public:
    EventPoll(); // asserts that the descriptors can be created

    bool                   add(int fd, uint64_t id, uint32_t events); // adds it armed; false if epoll_ctl() fails
    void                   arm(int fd, uint64_t id, uint32_t events);
    void                   remove(int fd);
    void                   wake();                              // makes wait() return an event with id WakeId
    std::span<epoll_event> wait(std::span<epoll_event> events); // without a timeout

    static constexpr uint64_t WakeId = 0;

private:
    FileDescriptor m_epoll;
    FileDescriptor m_wake;
};

} // namespace damask
