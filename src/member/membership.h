/// Who belongs to the system now, merged from three sources that each lag or miss something: the instance list of the
/// platform, the records that instances leave in the store when they start, and what peers say.
///
/// Use: `membership.replaceListed(instances, now); membership.applyReport(report, now); for (auto &it :
/// membership.members(now)) ...` An instance is gone only when every source is without it: a wrong "gone" would let a
/// ticket be accepted that it has never heard of, a late one only makes a ticket wait in plain sight.
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
    Duration silenceLimit = std::chrono::seconds(6); // without a heartbeat, an instance counts as silent
    Duration forgetAfter = std::chrono::minutes(10); // an instance that is gone is kept for status pages
};

enum class MemberState {
    Live,
    Leaving, // by any source: no new work, no duty
    Gone,    // neither listed nor recorded, and silent
};

/// What an instance says of itself, or another says of it.
struct MemberReport {
    Instance instance;
    uint64_t confirmed = 0; // effective revision that its entry has in force
    uint64_t version = 0;   // of the document its keeper holds
    Duration age{0};        // since it was heard
};

struct MemberView {
    Instance    instance;
    MemberState state = MemberState::Live;
    bool        listed = false;   // the instance list shows it
    bool        recorded = false; // its record stands in the store
    bool        silent = false;   // not heard for long
    bool        delisted = false; // the instance list showed this start once, and no longer does
    Duration    silence{0};       // since it was heard, or first seen
    uint64_t    confirmed = 0;    // by its current incarnation
    uint64_t    version = 0;      // of the document its keeper holds
};

/// Pure; the caller passes the time and holds any lock.
class Membership
{
public:
    explicit Membership(const MembershipOptions &options = {});

    void replaceListed(std::span<const Instance> instances, TimePoint now);   // the whole instance list
    void replaceRecorded(std::span<const Instance> instances, TimePoint now); // all records in the store
    bool applyReport(const MemberReport &report, TimePoint now);              // true: it has confirmed more than before
    std::vector<MemberView> members(TimePoint now) const;                     // in the order of names

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
