/// Whether a target gets work: share of failures, ejection with trials, and slow start.
///
/// Pure: the caller passes the time, holds any lock and bounds how many targets are out at once.
/// Pitfall: a refusal for want of room is no failure; report only what a healthy target would not do.
#pragma once

#include "base/time.h"

namespace damask {

class TargetHealth
{
public:
    /// What the target may be given now.
    enum class State {
        Active,   // any call
        Ejected,  // nothing
        HalfOpen, // one idempotent call at a time
    };

    void  recordSuccess(TimePoint now);  // an answer below 500
    bool  recordFailure();               // a failure; true when the target should be ejected
    void  eject(TimePoint now);          // only when recordFailure() said so and the bound allows it
    void  trialSent();                   // the one call of a trial is out
    void  trialEnded();                  // it ended without a verdict (cancelled, not sent)
    void  beginSlowStart(TimePoint now); // a cold start: a new process at the address
    void  reinstate();                   // in again without a trial
    State state(TimePoint now) const;
    float slowStartShare(TimePoint now) const; // share of its slots it may use, above 0 to 1

    float failureShare() const // 0 to 1: share of its last answers that failed
    {
        return m_failureShare;
    }
    bool ejected() const
    {
        return m_ejected;
    }

private:
    float     m_failureShare = 0;
    int       m_samples = 0;        // answers seen since it came in
    int       m_trialSuccesses = 0; // one after another
    int       m_ejections = 0;      // ejections one after another
    bool      m_ejected = false;
    bool      m_trialInFlight = false;
    TimePoint m_ejectedUntil{};
    TimePoint m_slowStartBegan{};
    bool      m_inSlowStart = false;
};

} // namespace damask
