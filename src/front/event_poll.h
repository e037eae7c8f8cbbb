/// RAII round epoll with one-shot events, and a way to wake its thread.
#pragma once

#include "base/scope.h"

#include <cstdint>
#include <span>
#include <sys/epoll.h>

namespace damask {

/// One thread waits; all threads may add, arm, remove and wake. An event disarms its descriptor until arm().
class EventPoll
{
public:
    EventPoll(); // asserts that the system gives the descriptors

    bool                   add(int fd, uint64_t id, uint32_t events); // armed; false when the system refuses
    void                   arm(int fd, uint64_t id, uint32_t events);
    void                   remove(int fd);
    void                   wake();                              // gives an event with id WakeId
    std::span<epoll_event> wait(std::span<epoll_event> events); // without a time limit

    static constexpr uint64_t WakeId = 0;

private:
    FileDescriptor m_epoll;
    FileDescriptor m_wake;
};

} // namespace damask
