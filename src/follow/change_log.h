/// A bounded log of recent store changes, from which a node serves its followers.
///
/// Only the last change of each key is kept, so a burst of changes to one key costs as much as one change. Where the
/// changes of a span are unknown, the log has the differences between its ends, as one step, and no answer to a
/// revision within it. All revisions are of one era of the store; restart() begins another.
///
/// Pure: the caller passes the time. Not safe to share between threads.
#pragma once

#include "base/time.h"
#include "store/position.h"
#include "store/protocol.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace damask {

struct ChangeLogOptions {
    Duration retention = std::chrono::seconds(5); // longer than a follower may go without an update
    size_t   maxBytes = 1024 * 1024;              // of keys and values, in all
};

class ChangeLog
{
public:
    explicit ChangeLog(const ChangeLogOptions &options);

    void          restart(StorePosition at); // after a full read: clears the log
    void          record(std::span<const StoreChange> changes, uint64_t revision, TimePoint now,
                         std::span<const HistoryGap> gaps = {}); // all up to `revision`, in any order
    StorePosition position() const;                              // of the last record() or restart()

    /// The first changes after a revision, complete up to `revision`.
    struct Step {
        std::vector<StoreChange> changes;
        std::vector<HistoryGap>  gaps;         // whose differences are among the changes, ascending
        uint64_t                 revision = 0; // a follower that has applied them continues after it
        bool                     more = false; // the log has further changes
    };

    /// Up to `maxBytes` of keys and values, but at least the changes of one revision or gap; nullopt when the log does
    /// not hold all changes after `after`.
    std::optional<Step> since(uint64_t after, size_t maxBytes) const;

private:
    struct LoggedChange {
        StoreChange change;
        uint64_t    stepRevision = 0; // of the change, or the end of the gap that it is in: a step ends there
        TimePoint   at{};
    };
    struct LoggedGap {
        HistoryGap gap;
        TimePoint  at{};
    };

    uint64_t stepRevision(uint64_t revision) const;
    void     dropOldGaps(TimePoint now);
    void     eraseKey(std::string_view key);
    void     dropOldest();

    ChangeLogOptions         m_options;
    std::deque<LoggedChange> m_changes;  // by ascending revision of the step
    std::deque<LoggedGap>    m_gaps;     // ascending, without overlap; none ends at or before m_base
    uint64_t                 m_base = 0; // all changes after it are in the log
    StorePosition            m_position;
    size_t                   m_bytes = 0;
};

} // namespace damask
