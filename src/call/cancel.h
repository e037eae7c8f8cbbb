/// Cancellation of a call. The thread that detects that the caller has gone sets the token; the threads that serve the
/// call poll it or register callbacks.
#pragma once

#include "base/lock.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace damask {

/// Shared by the threads that serve one call. Thread-safe.
/// Pitfall: a callback runs on the thread that cancels, without the token's state lock held. Keep it short, because
/// removeCallback() waits for it.
class CancelToken
{
public:
    /// A token that is cancelled from the callback of another token needs a higher rank: LockRank::Attempt.
    explicit CancelToken(LockRank rank = LockRank::Server)
        : m_callbackMutex(rank)
    {
    }
    CancelToken(const CancelToken &) = delete;
    CancelToken &operator=(const CancelToken &) = delete;

    void cancel(); // runs the callbacks once; later calls do nothing
    bool cancelled() const;

    uint64_t onCancel(std::function<void()> callback); // its id; 0: was already cancelled, ran at once
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
