/// The members of the system, merged from three sources that may each be late or incomplete: the platform's instance
/// list, the records that instances write to the store at their start, and peers' reports.
///
/// Use: `membership.replaceListed(instances, now); membership.applyReport(report, now); membership.members(now);`
///
/// An instance is gone only when every source lacks it. Declared gone too early, an instance could miss a ticket that
/// is accepted without it; declared gone too late, it only delays a ticket, which operators can see.
#pragma once

#include "base/time.h"
#include "member/instance.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

struct MembershipOptions {
    Duration silenceLimit = std::chrono::seconds(6); // time without a heartbeat until an instance is silent
    Duration forgetAfter = std::chrono::minutes(10); // time for which status pages show an instance that is gone
};

enum class MemberState {
    Live,
    Leaving, // according to any source: no new requests, no duty
    Gone,    // neither listed nor recorded, and silent
};

/// The state of an instance, reported by itself or relayed by a peer.
struct MemberReport {
    Instance instance;
    uint64_t confirmed = 0; // effective revision that its entry has applied
    uint64_t version = 0;   // of the document its keeper holds
    Duration age{0};        // since the instance sent it
};

struct MemberView {
    Instance    instance;
    MemberState state = MemberState::Live;
    bool        listed = false;   // the instance list shows it
    bool        recorded = false; // its record is in the store
    bool        silent = false;   // no report for silenceLimit
    bool        delisted = false; // its current start was listed and no longer is
    Duration    silence{0};       // since the last report, or since it was first seen
    uint64_t    confirmed = 0;    // by its current incarnation
    uint64_t    version = 0;      // of the document its keeper holds
};

/// Pure; the caller passes the time and holds any lock.
class Membership
{
public:
    explicit Membership(const MembershipOptions &options = {});

    void replaceListed(std::span<const Instance> instances, TimePoint now);   // instances: the complete instance list
    void replaceRecorded(std::span<const Instance> instances, TimePoint now); // instances: all records in the store
    bool applyReport(const MemberReport &report, TimePoint now);              // true: the confirmed revision rose
    std::vector<MemberView> members(TimePoint now) const;                     // sorted by name

private:
    struct Entry {
        Instance  instance;
        bool      listed = false;
        bool      recorded = false;
        bool      reportedLeaving = false;
        bool      everListed = false; // since its current start
        TimePoint lastReportAt;
        uint64_t  confirmed = 0;
        uint64_t  version = 0;
    };
    Entry &findOrAddEntry(const Instance &instance, TimePoint now);
    void   removeForgotten(TimePoint now);
    bool   gone(const Entry &entry, TimePoint now) const;

    MembershipOptions                         m_options;
    std::map<std::string, Entry, std::less<>> m_entries;
};

} // namespace damask
