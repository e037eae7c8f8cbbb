/// The targets that have registered themselves, as far as their entries in the store tell.
///
/// An entry that goes is the end of its target, except around an outage of the store: entries that lapsed meanwhile
/// come back once their targets reach it again, so those that were not draining stay for a moment.
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
    Duration lapseHold = std::chrono::seconds(2); // after the store's return, for entries that lapsed to come back
    Duration massRemovalHold =
        std::chrono::seconds(1); // for most of a service's entries going at once, without any outage seen
};

/// What one change of an entry came to.
enum class RegistryOutcome {
    Added,
    Changed,
    Same,     // nothing that matters here
    Stale,    // written by a process, or at a time, before what is known
    Draining, // takes no new work from now on
    Held,     // its entry went, and may come back
    Gone,
};

std::string_view registryOutcomeName(RegistryOutcome end); // "added", "draining", ...

class Registry
{
public:
    using Report = std::function<void(std::string_view id, RegistryOutcome end, std::string_view detail)>;

    explicit Registry(const RegistryOptions &options, Report report = {});

    void put(const RegisteredTarget &target);
    void remove(std::string_view id, uint64_t revision, TimePoint now); // its entry went, or can't be read
    void replace(std::span<const RegisteredTarget> targets, uint64_t revision, TimePoint now); // a whole list was read
    void storeLost();                                                                          // calls fail from now on
    void storeRecovered(TimePoint now);                                                        // it answers again
    bool expire(TimePoint now);   // ends holds; true: something changed
    TimePoint nextExpiry() const; // Never when nothing is held

    std::vector<RegisteredTarget> targets() const; // in the order of their ids

private:
    struct Entry {
        RegisteredTarget target;
        TimePoint        heldUntil = Never; // its entry went; Never: it is there
        bool             massHeld = false;  // held because most of its service went
    };
    /// What the last process under an id wrote last, so that a late write of before is known as such.
    struct LastWrite {
        int64_t  startedAt = 0;
        int64_t  sequence = 0;
        uint64_t revision = 0;
    };

    bool      stale(const RegisteredTarget &target) const;
    TimePoint holdUntil(const Entry &entry, TimePoint now) const;
    bool      mostAreRemoved(std::string_view service) const;
    void      report(std::string_view id, RegistryOutcome end, std::string_view detail = {}) const;

    RegistryOptions                               m_options;
    Report                                        m_report;
    std::map<std::string, Entry, std::less<>>     m_entries;
    std::map<std::string, LastWrite, std::less<>> m_lastWrites;
    bool                                          m_storeLost = false;
    TimePoint                                     m_storeRecoveredAt{};
    bool                                          m_storeEverLost = false;
};

} // namespace damask
