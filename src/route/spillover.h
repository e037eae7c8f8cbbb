/// Decides whether the calls of a data centre may use the targets of others as if they were near, and of which.
///
/// Load pattern: for minutes, the data centre with the most callers sends three times the load of the one with the
/// fewest. Its own targets are full, and its calls are rejected while targets in other data centres have free slots:
/// an instance assumes that targets of which it has no report are as busy as those that it knows, which are full, and
/// a target in another region has to save more time than a call takes.
/// (Without this, refusals lower the limits of near targets until half of all calls go to other regions:
/// docs/design/overload.md has the figures. The balancer also lets such limits recover while this is on.)
///
/// The decision is made for the data centre as a whole: from the load that its targets report to all of its instances,
/// on answers and probes, smoothed over seconds. It does not depend on the calls of this instance or on chance, and it
/// has no threshold: the cost of another region falls evenly while the own data centre gets short of slots.
/// Without reports from other data centres, nothing changes.
///
/// Pure and not thread-safe: the caller holds any lock and passes the time.
#pragma once

#include "base/time.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace damask {

/// The targets of one data centre of a service, by their reports.
struct CentreLoad {
    double    fullShare = 0;   // 0 to 1: share of the reports that showed no free slot
    double    inFlight = 0;    // calls in flight at a target, mean
    TimePoint lastReportAt{};  // when the latest report was taken
    TimePoint probeWantedAt{}; // when a probe was last asked for
};

/// The data centre of this instance has become short of slots, or has room again. For the log: decisions use share().
struct SpilloverChange {
    std::string_view service; // name
    bool             begins = false;
    CentreLoad       own;          // of the data centre of this instance
    size_t           withRoom = 0; // other data centres that are known to have room
};

class Spillover
{
public:
    static constexpr size_t MaxCentres = 64; // and the own one; reports from further ones are ignored

    explicit Spillover(std::string_view ownCentre); // name of a data centre; empty: share() is always 0

    /// A report of a target there. full: it had no free slot before the answer that carries the report. Returns whether
    /// isShort() has changed.
    bool   record(std::string_view centre, int inFlight, bool full, TimePoint takenAt);
    bool   isShort() const;                // begins when it has no room at all for more calls, ends when it has plenty
    double shortness(TimePoint now) const; // of the own data centre; 0: it has room, 1: it is short of slots
    double share(std::string_view centre, TimePoint now) const; // of the cost of another region that is waived there
    size_t countWithRoom(TimePoint now) const;                  // data centres with a share above 0
    bool   wantsProbe(std::string_view centre, TimePoint now);  // true: probe one of its targets now
    const CentreLoad *find(std::string_view centre, TimePoint now) const; // null: no recent report

private:
    CentreLoad *entryOf(std::string_view centre);

    std::string                                    m_own;
    std::map<std::string, CentreLoad, std::less<>> m_centres;
    bool                                           m_short = false;
};

} // namespace damask
