/// In-memory keys, leases and change history of the stand-in, independent of HTTP and JSON.
#pragma once

#include "base/clock.h"
#include "base/lock.h"
#include "base/result.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace damask::standin {

struct KeyValue {
    std::string key;
    std::string value;
    uint64_t    createRevision = 0; // revision that created the key
    uint64_t    modRevision = 0;    // revision of the last write
    uint64_t    version = 0;        // writes since creation
    uint64_t    lease = 0;          // 0: none
    bool        deleted = false;    // set in events only
};

/// Condition that a key was last written at a revision; 0: the key does not exist.
struct Compare {
    std::string key;
    uint64_t    modRevision = 0;
};

struct Put {
    std::string key;
    std::string value;
    uint64_t    lease = 0;
};

struct TxnOutcome {
    bool     succeeded = false;
    uint64_t revision = 0;
};

/// Thread-safe.
class KeyValues
{
public:
    explicit KeyValues(Clock &clock);

    uint64_t              revision() const;
    std::vector<KeyValue> range(std::string_view first, std::string_view end) const;         // end empty: one key
    Result<TxnOutcome>    txn(std::span<const Compare> compares, std::span<const Put> puts); // NotFound: no such lease
    uint64_t              remove(std::string_view key);                                      // number of keys deleted

    uint64_t         grant(Duration timeToLive, uint64_t wantedId);
    Result<Duration> keepAlive(uint64_t lease); // NotFound
    Result<void>     revoke(uint64_t lease);    // NotFound

    /// Waits until the deadline for changes of the key at or after a revision; NotFound if that revision is compacted.
    Result<std::vector<KeyValue>> changes(std::string_view key, uint64_t from, TimePoint deadline);
    void                          wakeAll();      // ends all waits early
    void                          expireLeases(); // removes leases that have expired
    TimePoint                     nextExpiry() const;

private:
    struct Lease {
        Duration  timeToLive{0};
        TimePoint endsAt;
    };
    void write(const Put &put, uint64_t revision);
    void removeAt(std::string_view key, uint64_t revision);
    void dropLease(uint64_t lease);

    Clock                                       &m_clock;
    mutable RankedMutex                          m_mutex{LockRank::Store};
    Condition                                    m_changed;
    uint64_t                                     m_revision = 1;
    uint64_t                                     m_compacted = 0; // events up to this revision are discarded
    uint64_t                                     m_wakes = 0;
    uint64_t                                     m_nextLease = 7001;
    std::map<std::string, KeyValue, std::less<>> m_keys;
    std::map<uint64_t, Lease>                    m_leases;
    std::deque<KeyValue>                         m_events;
};

} // namespace damask::standin
