/// The connections of one entry to its targets: kept, counted against each target's share, retired when suspect.
///
/// Use: `auto lease = table.take(key, share, use);` open a connection when it has none, then give() or drop().
#pragma once

#include "back/connection.h"
#include "base/clock.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace damask {

struct ConnectionTableOptions {
    Duration idleLimit{0};  // an older idle connection is closed, not used
    Duration freshLimit{0}; // age of the last answer that proves a connection alive
};

/// Leave to use one connection of a target's share.
struct ConnectionLease {
    std::string                 key;                       // of the target
    std::shared_ptr<Connection> connection;                // empty: open a new one
    bool                        kept = false;              // it carried an answer before
    Duration                    keepFor = Duration::max(); // while idle, as the target said
};

class ConnectionTable
{
public:
    ConnectionTable(Clock &clock, const ConnectionTableOptions &options);

    /// TargetShares when all of the share is in use. With provenOnly, a kept connection is one that carried an
    /// answer less than freshLimit ago.
    Result<ConnectionLease> take(std::string_view key, int share, bool provenOnly);

    void give(ConnectionLease lease);                        // after a whole answer: keeps the connection
    void drop(ConnectionLease lease);                        // closes the connection and frees its place
    void retireIdle(std::string_view key, TimePoint before); // closes idle ones whose last answer is older
    void closeOld();                                         // closes idle ones beyond idleLimit
    int  open(std::string_view key) const;                   // in use and idle
    int  idle(std::string_view key) const;

private:
    struct Idle {
        std::shared_ptr<Connection> connection;
        TimePoint                   answeredAt;
        TimePoint                   usableUntil; // the target may close it from then on
    };
    struct Place {
        std::vector<Idle> idle; // in the order of answeredAt
        int               inUse = 0;
    };
    struct ViewHash {
        using is_transparent = void;
        size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view>()(text);
        }
    };
    using Retired = std::vector<Idle>; // closed when it goes, after the lock

    Place &place(std::string_view key);

    Clock                                                            &m_clock;
    ConnectionTableOptions                                            m_options;
    mutable RankedMutex                                               m_mutex{LockRank::Pool};
    std::unordered_map<std::string, Place, ViewHash, std::equal_to<>> m_places;
};

} // namespace damask
