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

void ChangeLog::restart(StorePosition at)
{
    m_changes.clear();
    m_bytes = 0;
    m_base = at.revision;
    m_position = at;
}

StorePosition ChangeLog::position() const
{
    return m_position;
}

void ChangeLog::record(std::span<const StoreChange> changes, uint64_t revision, TimePoint now)
{
    for (const StoreChange &it : changes) {
        if (it.revision <= m_position.revision) {
            continue; // already recorded
        }
        eraseKey(it.key);
        m_bytes += bytesOf(it);
        // since() ends a step at a revision, so a change logged behind later ones would be skipped by the next step.
        const auto later =
            std::upper_bound(m_changes.begin(), m_changes.end(), it.revision,
                             [](uint64_t at, const LoggedChange &logged) { return at < logged.change.revision; });
        m_changes.insert(later, {it, now});
    }
    m_position.revision = std::max(m_position.revision, revision);
    while (!m_changes.empty() && (now - m_changes.front().at > m_options.retention || m_bytes > m_options.maxBytes)) {
        dropOldest();
    }
}

/// Drops the earlier change of a key that has changed again.
void ChangeLog::eraseKey(std::string_view key)
{
    const auto it = std::find_if(m_changes.begin(), m_changes.end(),
                                 [key](const LoggedChange &logged) { return logged.change.key == key; });
    if (it != m_changes.end()) {
        m_bytes -= bytesOf(it->change);
        m_changes.erase(it);
    }
}

void ChangeLog::dropOldest()
{
    m_bytes -= bytesOf(m_changes.front().change);
    m_base = std::max(m_base, m_changes.front().change.revision);
    m_changes.pop_front();
}

std::optional<ChangeLog::Step> ChangeLog::since(uint64_t after, size_t maxBytes) const
{
    if (after < m_base) {
        return std::nullopt;
    }
    Step out;
    size_t bytes = 0;
    for (const LoggedChange &it : m_changes) {
        if (it.change.revision <= after) {
            continue;
        }
        bytes += bytesOf(it.change);
        const bool sameRevision = !out.changes.empty() && out.changes.back().revision == it.change.revision;
        if (bytes > maxBytes && !out.changes.empty() && !sameRevision) {
            out.more = true;
            break;
        }
        out.changes.push_back(it.change);
    }
    return out;
}

} // namespace damask
