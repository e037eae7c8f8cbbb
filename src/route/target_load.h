/// What one entry knows of the load of one target: its own calls exactly, all others' from aged reports.
///
/// Pure: the caller passes the time and holds any lock.
#pragma once

#include "base/time.h"
#include "call/message.h"

#include <cstdint>
#include <vector>

namespace damask {

/// One call of ours that the target has not answered yet.
struct CallInFlight {
    uint64_t  id = 0;     // of its permit
    uint32_t  caller = 0; // bucket of CallerShares
    TimePoint sentAt;
};

/// How the reports of a service's targets lose weight.
struct ReportAging {
    Duration halfLife = std::chrono::milliseconds(10);
    double   fleetOthers = 0;                                   // others' calls on a target of which nothing is known
    double   trust = 1;                                         // 0 to 1: weight of a fresh report
    Duration slowdownHalfLife = std::chrono::milliseconds(250); // of what a report tells of slow work
    float    fleetSlowdown = 1;                                 // of a target of which nothing is known
};

class TargetLoad
{
public:
    TargetLoad();

    void         sent(const CallInFlight &call);
    CallInFlight ended(uint64_t permit); // asserts that the permit was out
    void         reported(const LoadReport &report, TimePoint takenAt, double fleetOthers);
    void         answered(Duration time); // a good answer; its time without the link
    void         refused(int slots);      // the target had no room: lowers the limit
    void         succeeded(int slots);    // the target had room: raises the limit slowly
    void         reset();                 // another process stands at the address now

    double   estimate(TimePoint now, const ReportAging &aging) const; // calls of all entries in flight there
    double   others() const;                                          // of the last report: calls not ours
    double   meanOthers() const;                                      // of its reports, smoothed over about a second
    Duration oldestCall(TimePoint now) const;                         // 0 when none is in flight
    float    slowdown(TimePoint now, const ReportAging &aging) const; // times as long as usual that work takes
    float    limit(int slots) const;                                  // 1 to slots and a small queue

    int inFlight() const
    {
        return static_cast<int>(m_calls.size());
    }
    int lastReport() const // -1: never
    {
        return m_lastReport;
    }
    TimePoint reportedAt() const
    {
        return m_reportedAt;
    }
    float lastSlowdown() const // as last told, 1 where never
    {
        return m_slowdown > 0 ? m_slowdown : 1;
    }
    float typicalTime() const // ms, 0: no answer yet
    {
        return m_typicalTime;
    }

private:
    std::vector<CallInFlight> m_calls; // in the order of sending
    TimePoint                 m_reportedAt{};
    int                       m_lastReport = -1;
    double                    m_others = 0;
    double                    m_meanOthers = 0;
    float                     m_typicalTime = 0;
    float                     m_slowdown = 0;     // of the last report that told; 0: none did
    float                     m_queueAllowed = 0; // calls beyond the slots; negative after refusals
};

} // namespace damask
