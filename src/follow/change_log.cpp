#include "follow/change_log.h"

#include <algorithm>
#include <utility>

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
    m_gaps.clear();
    m_bytes = 0;
    m_base = at.revision;
    m_position = at;
}

StorePosition ChangeLog::position() const
{
    return m_position;
}

void ChangeLog::record(std::span<const StoreChange> changes, uint64_t revision, TimePoint now,
                       std::span<const HistoryGap> gaps)
{
    for (const HistoryGap &it : gaps) {
        const bool hasRevisions = it.upTo > it.after + 1;
        if (hasRevisions && it.after >= m_position.revision) {
            m_gaps.push_back({it, now});
        }
    }
    for (const StoreChange &it : changes) {
        if (it.revision <= m_position.revision) {
            continue; // already recorded
        }
        eraseKey(it.key);
        m_bytes += bytesOf(it);
        const uint64_t step = stepRevision(it.revision);
        // since() ends a step at a revision, so a change logged behind later ones would be skipped by the next step.
        const auto later = std::upper_bound(m_changes.begin(), m_changes.end(), std::pair(step, it.revision),
                                            [](const std::pair<uint64_t, uint64_t> &at, const LoggedChange &logged) {
                                                return at < std::pair(logged.stepRevision, logged.change.revision);
                                            });
        m_changes.insert(later, {it, step, now});
    }
    m_position.revision = std::max(m_position.revision, revision);
    while (!m_changes.empty() && (now - m_changes.front().at > m_options.retention || m_bytes > m_options.maxBytes)) {
        dropOldest();
    }
    dropOldGaps(now);
}

uint64_t ChangeLog::stepRevision(uint64_t revision) const
{
    const auto it = std::find_if(m_gaps.rbegin(), m_gaps.rend(),
                                 [revision](const LoggedGap &logged) { return logged.gap.contains(revision); });
    return it == m_gaps.rend() ? revision : it->gap.upTo;
}

/// A gap without differences is not dropped with its changes.
void ChangeLog::dropOldGaps(TimePoint now)
{
    while (!m_gaps.empty() && (m_gaps.front().gap.upTo <= m_base || now - m_gaps.front().at > m_options.retention)) {
        m_base = std::max(m_base, m_gaps.front().gap.upTo);
        m_gaps.pop_front();
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
    m_base = std::max(m_base, m_changes.front().stepRevision);
    m_changes.pop_front();
}

std::optional<ChangeLog::Step> ChangeLog::since(uint64_t after, size_t maxBytes) const
{
    const bool inGap = std::any_of(m_gaps.begin(), m_gaps.end(),
                                   [after](const LoggedGap &logged) { return logged.gap.contains(after); });
    if (after < m_base || inGap) {
        return std::nullopt;
    }
    Step out{.revision = m_position.revision};
    size_t bytes = 0;
    uint64_t last = 0; // step of the last change
    for (const LoggedChange &it : m_changes) {
        if (it.stepRevision <= after) {
            continue;
        }
        bytes += bytesOf(it.change);
        if (bytes > maxBytes && last != 0 && last != it.stepRevision) {
            out.more = true;
            out.revision = last;
            break;
        }
        last = it.stepRevision;
        out.changes.push_back(it.change);
    }
    for (const LoggedGap &it : m_gaps) {
        if (it.gap.after >= after && it.gap.upTo <= out.revision) {
            out.gaps.push_back(it.gap);
        }
    }
    return out;
}

} // namespace damask
