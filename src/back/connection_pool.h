/// Pool of an instance's connections to its targets. Limits the number of connections to each target (the instance's
/// share of the target) and closes connections that may be dead.
///
/// Use: `auto lease = pool.acquire(key, share, {});` open a connection if it has none, then release() or discard().
#pragma once

#include "base/clock.h"
#include "http/connection.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace damask {

struct ConnectionPoolOptions {
    Duration idleLimit{0};  // an older idle connection is closed, not used
    Duration freshLimit{0}; // a response younger than this proves a connection alive
};

/// What a connection has carried that a copy of an earlier answer could be mistaken for.
struct ConnectionHistory {
    static constexpr size_t MaxRequests = 64; // the connection is closed rather than to keep more

    std::vector<uint64_t> requests; // hashes of the ids of requests that were answered, but may be sent again
    bool                  unnamedAnswer = false; // an answer has not named its request, e.g. that to a load probe

    bool carried(uint64_t request) const
    {
        return std::find(requests.begin(), requests.end(), request) != requests.end();
    }
};

/// The right to use one connection of a target's share.
struct ConnectionLease {
    std::string                 key;                           // of the target
    std::shared_ptr<Connection> connection;                    // empty: a new one must be opened
    bool                        reused = false;                // it has carried a response before
    Duration                    maxIdleTime = Duration::max(); // as announced by the target
    ConnectionHistory           history = {};
};

/// What a connection is needed for.
struct ConnectionUse {
    bool     provenAliveOnly = false; // only one that carried a response within freshLimit
    uint64_t request = 0;             // hash of the request's id; 0: none
};

class ConnectionPool
{
public:
    ConnectionPool(Clock &clock, const ConnectionPoolOptions &options);

    /// TargetShares if the whole share is in use. A connection that has carried the request before is not reused for
    /// it: the target may repeat its earlier answer, which bears the same id.
    Result<ConnectionLease> acquire(std::string_view key, int share, const ConnectionUse &use);

    void release(ConnectionLease lease);                     // after a complete response: keeps the connection
    void discard(ConnectionLease lease);                     // closes the connection and frees its slot
    void retireIdle(std::string_view key, TimePoint before); // closes idle ones whose last response is older
    void closeExpired();                                     // closes those idle for longer than idleLimit
    int  open(std::string_view key) const;                   // in use and idle
    int  idle(std::string_view key) const;

private:
    struct Idle {
        std::shared_ptr<Connection> connection;
        TimePoint                   answeredAt;
        TimePoint                   usableUntil; // the target may close it from then on
        ConnectionHistory           history = {};
    };
    struct TargetConnections {
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
    using Retired = std::vector<Idle>; // destroyed, and so closed, after the lock is released

    TargetConnections &connectionsOf(std::string_view key);

    Clock                                                                        &m_clock;
    ConnectionPoolOptions                                                         m_options;
    mutable RankedMutex                                                           m_mutex{LockRank::Pool};
    std::unordered_map<std::string, TargetConnections, ViewHash, std::equal_to<>> m_targets;
};

} // namespace damask
