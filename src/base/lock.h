/// POSIX mutexes with lock ranks, and condition variables. docs/DESIGN.md lists the ranks.
///
/// Use: `LockGuard lock(m_mutex);` A thread takes locks in ascending rank only; any other order fails an assertion.
/// Pitfall: never call a hook, send or log while holding a lock of rank Leaf or above.
#pragma once

#include "base/time.h"

#include <pthread.h>

namespace damask {

class Clock;

/// The lock order: a thread may take a lock only if its rank is higher than those of all locks that it holds.
enum class LockRank : int {
    Program = 10,       // program start and stop
    Server = 20,        // connection tables (front, operate)
    Attempt = 25,       // cancelling one attempt of a call
    Timer = 27,         // deadlines of connections (front)
    Control = 30,       // tickets, membership, traffic between keepers
    Configuration = 40, // the configuration in force
    Route = 50,         // load tables, queues, budgets
    Quota = 55,         // tokens of shared limits
    Pool = 60,          // connections to targets
    Wire = 70,          // peers of the inner protocol
    Store = 80,         // the store client
    WorkQueue = 90,     // the queue of a worker pool
    ClockWaiters = 95,  // waiters registered with a Clock
    Leaf = 100,         // ring buffers, counters: no other lock is taken under it
};

/// A mutex with a rank. Not recursive.
class RankedMutex
{
public:
    explicit RankedMutex(LockRank rank);
    ~RankedMutex();
    RankedMutex(const RankedMutex &) = delete;
    RankedMutex &operator=(const RankedMutex &) = delete;

    void lock();   // asserts the rank order, then blocks until it is free
    void unlock(); // only in the thread that holds it

private:
    friend class Condition;
    pthread_mutex_t m_mutex;
    LockRank        m_rank;
};

/// Holds a RankedMutex for its scope.
class LockGuard
{
public:
    explicit LockGuard(RankedMutex &mutex);
    ~LockGuard();
    LockGuard(const LockGuard &) = delete;
    LockGuard &operator=(const LockGuard &) = delete;

    RankedMutex &mutex() const
    {
        return m_mutex;
    }

private:
    RankedMutex &m_mutex;
};

/// A condition variable that times out by the given Clock, so that tests control when a wait times out.
class Condition
{
public:
    explicit Condition(Clock &clock);
    ~Condition();
    Condition(const Condition &) = delete;
    Condition &operator=(const Condition &) = delete;

    void wait(LockGuard &lock);                          // until notified; may wake spuriously: call it in a loop
    bool waitUntil(LockGuard &lock, TimePoint deadline); // false: the deadline has passed; may wake spuriously
    void notifyOne();
    void notifyAll();

private:
    Clock         &m_clock;
    pthread_cond_t m_condition;
};

} // namespace damask
