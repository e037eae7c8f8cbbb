/// A caller's wish to stop: set by whoever sees the caller go, heard by whoever works for it.
#pragma once

#include "base/lock.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace damask {

/// Shared by the threads that serve one call. Safe from all threads.
/// Pitfall: a callback runs on the thread that cancels, without any lock held; keep it short.
class CancelToken
{
public:
    /// A token that is cancelled from another's callback needs a rank above that one's: LockRank::Attempt.
    explicit CancelToken(LockRank rank = LockRank::Server)
        : m_callbackMutex(rank)
    {
    }
    CancelToken(const CancelToken &) = delete;
    CancelToken &operator=(const CancelToken &) = delete;

    void cancel(); // runs the callbacks once; later calls do nothing
    bool cancelled() const;

    uint64_t onCancel(std::function<void()> callback); // runs at once when already cancelled; returns its id
    void     removeCallback(uint64_t id);              // returns only after a running callback has ended

private:
    struct Entry {
        uint64_t              id;
        std::function<void()> callback;
    };

    mutable RankedMutex m_mutex{LockRank::Route};
    RankedMutex         m_callbackMutex; // held while callbacks run, so that removeCallback() can wait for them
    std::vector<Entry>  m_entries;
    uint64_t            m_nextId = 1;
    bool                m_cancelled = false;
};

} // namespace damask
