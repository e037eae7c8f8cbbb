/// The load of one target as this instance knows it: its own calls exactly, those of other instances from aged reports.
///
/// Not thread-safe: the caller holds any lock and passes the time.
#pragma once

#include "base/time.h"
#include "call/message.h"

#include <cstdint>
#include <vector>

namespace damask {

/// One call of this instance that has not ended yet.
struct CallInFlight {
    uint64_t  id = 0;     // of its permit
    uint32_t  caller = 0; // bucket of CallerShares
    TimePoint sentAt;
};

/// How the weight of reports decays, and the values that they decay to.
struct ReportAging {
    Duration halfLife = std::chrono::milliseconds(10);
    double   fleetOthers = 0;                                   // calls of other instances, where no report is known
    double   trust = 1;                                         // 0 to 1: weight of a fresh report
    Duration slowdownHalfLife = std::chrono::milliseconds(250); // of a reported slowdown
    float    fleetSlowdown = 1;                                 // slowdown where no report is known
};

class TargetLoad
{
public:
    TargetLoad();

    void         sent(const CallInFlight &call);
    CallInFlight ended(uint64_t permit); // asserts that the call was in flight
    void         reported(const LoadReport &report, TimePoint takenAt, double fleetOthers);
    void         answered(Duration time);             // a successful answer; its time without link delay
    void overtaken(TimePoint sentAt, TimePoint now);  // a call that was cancelled because another target was faster
    void progressed(TimePoint sentAt, TimePoint now); // a call was answered
    void refused(int slots, TimePoint now);           // no free slot: lowers the limit
    void succeeded(int slots, TimePoint now);         // a slot was free: raises the limit slowly
    void setLimitHalfLife(Duration halfLife); // of what refusals took from the limit; 0: only responses restore it
    void reset();                             // the target was replaced by another process

    double   estimate(TimePoint now, const ReportAging &aging) const; // calls in flight from all instances
    double   others() const;                                          // calls of other instances in the last report
    double   meanOthers() const;                                      // others() smoothed over about 1 s
    Duration oldestCall(TimePoint now) const;                         // 0 when none is in flight or overtaken
    float    slowdown(TimePoint now, const ReportAging &aging) const; // service time relative to normal
    float    limit(int slots, TimePoint now) const;                   // at least 1, at most slots plus a small queue

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
    float lastSlowdown() const // as last reported, 1: never
    {
        return m_slowdown > 0 ? m_slowdown : 1;
    }
    float typicalTime() const // ms, 0: no answer yet
    {
        return m_typicalTime;
    }

private:
    float queueAllowed(TimePoint now) const;

    std::vector<CallInFlight> m_calls; // ordered by sentAt
    TimePoint                 m_reportedAt{};
    int                       m_lastReport = -1;
    double                    m_others = 0;
    double                    m_meanOthers = 0;
    float                     m_typicalTime = 0;
    float                     m_slowdown = 0;     // last reported; 0: never
    float                     m_queueAllowed = 0; // calls beyond the slots; negative after refusals
    Duration                  m_limitHalfLife{0};
    TimePoint                 m_queueAllowedAt{};  // when it was set
    TimePoint                 m_overtakenSentAt{}; // of the overtaken call that oldestCall() still counts
    TimePoint                 m_overtakenAt{};     // its cancellation
    TimePoint                 m_overtakenUntil{};  // counted until then
};

} // namespace damask
