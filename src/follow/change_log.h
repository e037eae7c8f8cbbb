/// The changes of the store that a node has heard lately, for those that follow it.
///
/// Of each key only the last change is kept, so a burst of changes of one key costs as much as one.
/// Pure: the caller passes the time. Not safe to share between threads.
#pragma once

#include "base/time.h"
#include "store/protocol.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace damask {

struct ChangeLogOptions {
    Duration keep = std::chrono::seconds(5); // longer than a follower may go without news
    size_t   mostBytes = 1024 * 1024;        // of keys and values
};

class ChangeLog
{
public:
    explicit ChangeLog(const ChangeLogOptions &options);

    void     restart(uint64_t revision); // everything up to the revision was read anew: changes before it are not known
    void     record(std::span<const StoreChange> changes, uint64_t revision, TimePoint now); // known up to the revision
    uint64_t revision() const;                                                               // known up to

    /// The changes after a revision; none when some of them are no longer known, or are more than `mostBytes`.
    std::optional<std::vector<StoreChange>> since(uint64_t after, size_t mostBytes) const;

private:
    struct Heard {
        StoreChange change;
        TimePoint   at;
    };

    void forget(std::string_view key);
    void dropOldest();

    ChangeLogOptions  m_options;
    std::deque<Heard> m_heard; // in the order of revisions
    uint64_t          m_base = 0;
    uint64_t          m_revision = 0;
    size_t            m_bytes = 0;
};

} // namespace damask
