#include "base/lock.h"

#include "base/check.h"
#include "base/clock.h"

#include <algorithm>
#include <array>
#include <ctime>

namespace damask {

namespace {

constexpr size_t MaxHeldLocks = 16;                                    // locks one thread may hold at once
constexpr Duration PausedPollInterval = std::chrono::milliseconds(20); // longest delay of a missed wake-up

struct HeldLocks {
    std::array<LockRank, MaxHeldLocks> ranks{};
    size_t count = 0;
};

thread_local HeldLocks held;

void pushRank(LockRank rank)
{
    DAMASK_ASSERT(held.count == 0 || held.ranks[held.count - 1] < rank,
                  "take locks in ascending rank: see the table of ranks in docs/DESIGN.md");
    DAMASK_ASSERT(held.count < MaxHeldLocks, "hold fewer locks at the same time");
    held.ranks[held.count] = rank;
    ++held.count;
}

void popRank(LockRank rank)
{
    DAMASK_ASSERT(held.count > 0 && held.ranks[held.count - 1] == rank,
                  "release locks in the reverse order of taking them");
    --held.count;
}

timespec toTimespec(Duration duration)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
    timespec n{};
    n.tv_sec = seconds.count();
    n.tv_nsec = (duration - seconds).count();
    return n;
}

timespec monotonicAfter(Duration duration)
{
    timespec n{};
    clock_gettime(CLOCK_MONOTONIC, &n);
    return toTimespec(std::chrono::seconds(n.tv_sec) + Duration(n.tv_nsec) + duration);
}

} // namespace

RankedMutex::RankedMutex(LockRank rank)
    : m_mutex(PTHREAD_MUTEX_INITIALIZER)
    , m_rank(rank)
{
}

RankedMutex::~RankedMutex()
{
    pthread_mutex_destroy(&m_mutex);
}

void RankedMutex::lock()
{
    pushRank(m_rank);
    pthread_mutex_lock(&m_mutex);
}

void RankedMutex::unlock()
{
    popRank(m_rank); // before the unlock: after it, another thread may destroy this mutex
    pthread_mutex_unlock(&m_mutex);
}

LockGuard::LockGuard(RankedMutex &mutex)
    : m_mutex(mutex)
{
    m_mutex.lock();
}

LockGuard::~LockGuard()
{
    m_mutex.unlock();
}

Condition::Condition(Clock &clock)
    : m_clock(clock)
    , m_condition()
{
    pthread_cond_init(&m_condition, nullptr);
}

Condition::~Condition()
{
    pthread_cond_destroy(&m_condition);
}

void Condition::wait(LockGuard &lock)
{
    pthread_cond_wait(&m_condition, &lock.mutex().m_mutex);
}

bool Condition::waitUntil(LockGuard &lock, TimePoint deadline)
{
    const TimePoint now = m_clock.now();
    if (now >= deadline) {
        return false;
    }
    pthread_mutex_t *mutex = &lock.mutex().m_mutex;
    if (deadline == Never) {
        pthread_cond_wait(&m_condition, mutex);
        return true;
    }
    if (!m_clock.paused()) {
        const timespec until = monotonicAfter(std::min(deadline - now, Duration(std::chrono::hours(1))));
        pthread_cond_clockwait(&m_condition, mutex, CLOCK_MONOTONIC, &until);
        return m_clock.now() < deadline;
    }
    m_clock.addWaiter(&m_condition);
    const timespec until = monotonicAfter(PausedPollInterval);
    pthread_cond_clockwait(&m_condition, mutex, CLOCK_MONOTONIC, &until);
    m_clock.removeWaiter(&m_condition);
    return m_clock.now() < deadline;
}

void Condition::notifyOne()
{
    pthread_cond_signal(&m_condition);
}

void Condition::notifyAll()
{
    pthread_cond_broadcast(&m_condition);
}

} // namespace damask
