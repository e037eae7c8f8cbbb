/// The stand-in's keys, leases and history of changes, in memory. Decisions only: no HTTP, no JSON.
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
    uint64_t    createRevision = 0; // that made the key
    uint64_t    modRevision = 0;    // that wrote it last
    uint64_t    version = 0;        // writes since it was made
    uint64_t    lease = 0;          // 0: none
    bool        deleted = false;    // in an event
};

/// Whether a key stands at a revision; 0: does not exist.
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

/// Safe from all threads.
class KeyValues
{
public:
    explicit KeyValues(Clock &clock);

    uint64_t              revision() const;
    std::vector<KeyValue> range(std::string_view first, std::string_view end) const;         // end empty: one key
    Result<TxnOutcome>    txn(std::span<const Compare> compares, std::span<const Put> puts); // NotFound: no such lease
    uint64_t              remove(std::string_view key);                                      // keys deleted

    uint64_t         grant(Duration timeToLive, uint64_t wantedId);
    Result<Duration> keepAlive(uint64_t lease); // NotFound
    Result<void>     revoke(uint64_t lease);    // NotFound

    /// Waits for changes of the key from the revision on, until the deadline; NotFound when they are compacted.
    Result<std::vector<KeyValue>> changes(std::string_view key, uint64_t from, TimePoint deadline);
    void                          wakeAll();      // ends each wait early
    void                          expireLeases(); // of now
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
    uint64_t                                     m_compacted = 0; // events up to here are gone
    uint64_t                                     m_wakes = 0;
    uint64_t                                     m_nextLease = 7001;
    std::map<std::string, KeyValue, std::less<>> m_keys;
    std::map<uint64_t, Lease>                    m_leases;
    std::deque<KeyValue>                         m_events;
};

} // namespace damask::standin
