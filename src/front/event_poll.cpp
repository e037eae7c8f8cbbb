#include "front/event_poll.h"

#include "base/check.h"

#include <sys/eventfd.h>
#include <unistd.h>

namespace damask {

EventPoll::EventPoll()
    : m_epoll(::epoll_create1(EPOLL_CLOEXEC))
    , m_wake(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    DAMASK_ASSERT(m_epoll.valid() && m_wake.valid(),
                  "raise the limit of open files: epoll or eventfd could not be created");
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u64 = WakeId;
    ::epoll_ctl(m_epoll.get(), EPOLL_CTL_ADD, m_wake.get(), &event);
}

bool EventPoll::add(int fd, uint64_t id, uint32_t events)
{
    epoll_event event{};
    event.events = events | EPOLLONESHOT;
    event.data.u64 = id;
    return ::epoll_ctl(m_epoll.get(), EPOLL_CTL_ADD, fd, &event) == 0;
}

void EventPoll::arm(int fd, uint64_t id, uint32_t events)
{
    epoll_event event{};
    event.events = events | EPOLLONESHOT;
    event.data.u64 = id;
    ::epoll_ctl(m_epoll.get(), EPOLL_CTL_MOD, fd, &event);
}

void EventPoll::remove(int fd)
{
    ::epoll_ctl(m_epoll.get(), EPOLL_CTL_DEL, fd, nullptr);
}

void EventPoll::wake()
{
    constexpr uint64_t One = 1;
    [[maybe_unused]] const ssize_t n = ::write(m_wake.get(), &One, sizeof One);
}

std::span<epoll_event> EventPoll::wait(std::span<epoll_event> events)
{
    const int n = ::epoll_wait(m_epoll.get(), events.data(), static_cast<int>(events.size()), -1);
    const auto ready = events.first(n > 0 ? static_cast<size_t>(n) : 0);
    for (const epoll_event &it : ready) {
        if (it.data.u64 == WakeId) {
            uint64_t count = 0;
            [[maybe_unused]] const ssize_t read = ::read(m_wake.get(), &count, sizeof count);
        }
    }
    return ready;
}

} // namespace damask
