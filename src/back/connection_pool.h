/// The connections of one entry to its targets: kept, counted against each target's share, retired when suspect.
///
/// Use: `auto lease = table.acquire(key, share, use);` open a connection when it has none, then release() or discard().
#pragma once

#include "back/connection.h"
#include "base/clock.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace damask {

struct ConnectionPoolOptions {
    Duration idleLimit{0};  // an older idle connection is closed, not used
    Duration freshLimit{0}; // age of the last answer that proves a connection alive
};

/// Leave to use one connection of a target's share.
struct ConnectionLease {
    std::string                 key;                           // of the target
    std::shared_ptr<Connection> connection;                    // empty: open a new one
    bool                        reused = false;                // it carried an answer before
    Duration                    maxIdleTime = Duration::max(); // while idle, as the target said
};

class ConnectionPool
{
public:
    ConnectionPool(Clock &clock, const ConnectionPoolOptions &options);

    /// TargetShares when all of the share is in use. With provenAliveOnly, a kept connection is one that carried an
    /// answer less than freshLimit ago.
    Result<ConnectionLease> acquire(std::string_view key, int share, bool provenAliveOnly);

    void release(ConnectionLease lease);                          // after a whole answer: keeps the connection
    void discard(ConnectionLease lease);                          // closes the connection and frees its place
    void closeIdleBefore(std::string_view key, TimePoint before); // closes idle ones whose last answer is older
    void closeExpired();                                          // closes idle ones beyond idleLimit
    int  open(std::string_view key) const;                        // in use and idle
    int  idle(std::string_view key) const;

private:
    struct IdleConnection {
        std::shared_ptr<Connection> connection;
        TimePoint                   answeredAt;
        TimePoint                   expiresAt; // the target may close it from then on
    };
    struct TargetConnections {
        std::vector<IdleConnection> idle; // in the order of answeredAt
        int                         inUse = 0;
    };
    struct ViewHash {
        using is_transparent = void;
        size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view>()(text);
        }
    };
    using Retired = std::vector<IdleConnection>; // closed when it goes, after the lock

    TargetConnections &connectionsOf(std::string_view key);

    Clock                                                                        &m_clock;
    ConnectionPoolOptions                                                         m_options;
    mutable RankedMutex                                                           m_mutex{LockRank::Pool};
    std::unordered_map<std::string, TargetConnections, ViewHash, std::equal_to<>> m_targets;
};

} // namespace damask
