#include "call/cancel.h"

#include <algorithm>
#include <utility>

namespace damask {

void CancelToken::cancel()
{
    LockGuard callbackLock(m_callbackMutex);
    std::vector<Entry> entries;
    {
        LockGuard lock(m_mutex);
        if (std::exchange(m_cancelled, true)) {
            return;
        }
        entries.swap(m_entries);
    }
    for (const Entry &it : entries) {
        it.callback();
    }
}

bool CancelToken::cancelled() const
{
    LockGuard lock(m_mutex);
    return m_cancelled;
}

uint64_t CancelToken::onCancel(std::function<void()> callback)
{
    {
        LockGuard lock(m_mutex);
        if (!m_cancelled) {
            m_entries.push_back({m_nextId, std::move(callback)});
            return m_nextId++;
        }
    }
    callback();
    return 0;
}

void CancelToken::removeCallback(uint64_t id)
{
    LockGuard callbackLock(m_callbackMutex);
    LockGuard lock(m_mutex);
    std::erase_if(m_entries, [id](const Entry &n) { return n.id == id; });
}

} // namespace damask
