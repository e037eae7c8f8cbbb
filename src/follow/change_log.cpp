#include "follow/change_log.h"

#include <algorithm>

namespace damask {

namespace {

size_t bytesOf(const StoreChange &change)
{
    return change.key.size() + (change.value ? change.value->size() : 0);
}

} // namespace

ChangeLog::ChangeLog(const ChangeLogOptions &options)
    : m_options(options)
{
}

void ChangeLog::restart(uint64_t revision)
{
    m_heard.clear();
    m_bytes = 0;
    m_base = revision;
    m_revision = revision;
}

uint64_t ChangeLog::revision() const
{
    return m_revision;
}

void ChangeLog::record(std::span<const StoreChange> changes, uint64_t revision, TimePoint now)
{
    for (const StoreChange &it : changes) {
        if (it.revision <= m_revision) {
            continue; // heard before
        }
        forget(it.key);
        m_bytes += bytesOf(it);
        m_heard.push_back({it, now});
    }
    m_revision = std::max(m_revision, revision);
    while (!m_heard.empty() && (now - m_heard.front().at > m_options.keep || m_bytes > m_options.mostBytes)) {
        dropOldest();
    }
}

/// A later change of the key takes the place of the one before.
void ChangeLog::forget(std::string_view key)
{
    const auto it =
        std::find_if(m_heard.begin(), m_heard.end(), [key](const Heard &heard) { return heard.change.key == key; });
    if (it != m_heard.end()) {
        m_bytes -= bytesOf(it->change);
        m_heard.erase(it);
    }
}

void ChangeLog::dropOldest()
{
    m_bytes -= bytesOf(m_heard.front().change);
    m_base = std::max(m_base, m_heard.front().change.revision);
    m_heard.pop_front();
}

std::optional<std::vector<StoreChange>> ChangeLog::since(uint64_t after, size_t mostBytes) const
{
    if (after < m_base) {
        return std::nullopt;
    }
    std::vector<StoreChange> out;
    size_t bytes = 0;
    for (const Heard &it : m_heard) {
        if (it.change.revision <= after) {
            continue;
        }
        bytes += bytesOf(it.change);
        if (bytes > mostBytes) {
            return std::nullopt;
        }
        out.push_back(it.change);
    }
    return out;
}

} // namespace damask
