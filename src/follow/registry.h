/// The targets that have registered themselves, as derived from their entries in the store.
///
/// A removed entry removes its target, except around a store outage: entries that expired meanwhile are written again
/// once their targets reach the store, so targets that were not draining are held for a short time. No hold lasts
/// longer than removalBound after the entry was last known to exist, or than outageBound after the end of a proven
/// outage.
///
/// Of two writes under one id, the one with the higher store revision is the newer. The start of a process is its
/// target's own wall clock, which may step back: it tells processes apart and orders nothing.
///
/// Pure: the caller passes the time. Not safe to share between threads.
#pragma once

#include "base/time.h"
#include "follow/watched.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

struct RegistryOptions {
    Duration lapseHold = std::chrono::seconds(2);       // after an outage, for expired entries to be written again
    Duration massRemovalHold = std::chrono::seconds(1); // when most entries of a service go at once, without an outage
    Duration removalBound = std::chrono::hours(1); // from the last time at which a removed entry was known to exist
    Duration outageBound =
        std::chrono::hours(1); // after a proven outage, from the last call that failed; for its expiries
};

/// The effect of one change to an entry.
enum class RegistryOutcome {
    Added,
    Changed,
    Same,     // no change of the target
    Stale,    // older than the last known write, or written before its process began to drain
    Draining, // takes no new requests from now on
    Held,     // its entry was removed but may be written again
    Gone,
};

std::string_view registryOutcomeName(RegistryOutcome outcome); // "added", "draining", ...

class Registry
{
public:
    using Report = std::function<void(std::string_view id, RegistryOutcome outcome, std::string_view detail)>;

    explicit Registry(const RegistryOptions &options, Report report = {});

    void put(const RegisteredTarget &target);
    void remove(std::string_view id, uint64_t revision, TimePoint now); // its entry was removed, or can't be decoded
    void replace(std::span<const RegisteredTarget> targets, uint64_t revision, TimePoint now); // after a full read
    void storeLost(TimePoint now);      // a call to the store has failed
    void storeRecovered(TimePoint now); // the store answers again
    void forgetRevisions();             // the store has returned with lower revisions; its next list is the newest
    void verified(TimePoint at);        // every change until then has been passed to put(), remove() or replace()
    bool expire(TimePoint now);         // ends due holds; true: a target was removed
    TimePoint nextExpiry() const;       // Never when nothing is held

    std::vector<RegisteredTarget> targets() const; // sorted by id

private:
    struct Entry {
        RegisteredTarget target;
        TimePoint        heldUntil = Never; // its entry was removed; Never: it exists
        TimePoint        holdLimit = Never; // latest value of heldUntil once it was removed
        bool             massHeld = false;  // held because most of its service was removed
    };
    /// What tells a delayed older write under an id apart.
    struct LastWrite {
        uint64_t revision = 0;         // of the last write or removal
        int64_t  drainingProcess = 0;  // startedAt of the last process that announced draining; 0: none or unknown
        int64_t  drainingSequence = 0; // of its announcement
    };

    std::string_view staleReason(const RegisteredTarget &target) const;
    void             forgetOldestFormerWrite();

    TimePoint holdUntil(const Entry &entry, TimePoint now) const;
    TimePoint holdLimit() const;
    bool      mostAreRemoved(std::string_view service) const;
    void      report(std::string_view id, RegistryOutcome outcome, std::string_view detail = {}) const;

    RegistryOptions                               m_options;
    Report                                        m_report;
    std::map<std::string, Entry, std::less<>>     m_entries;
    std::map<std::string, LastWrite, std::less<>> m_lastWrites;
    bool                                          m_storeLost = false;
    TimePoint                                     m_storeRecoveredAt{};
    bool                                          m_storeEverLost = false;
    int                                           m_failures = 0; // calls to the store in a row
    TimePoint                                     m_lastFailureAt{};
    TimePoint                                     m_verifiedAt{};
};

} // namespace damask
