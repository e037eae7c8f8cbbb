/// Outlier detection for one target: share of failures, ejection with half-open trials, and slow start.
///
/// Not thread-safe: the caller holds any lock, passes the time and bounds how many targets are ejected at once.
/// Pitfall: record only failures that a healthy target would not cause. A refusal because all slots are in use is none.
#pragma once

#include "base/time.h"

namespace damask {

class TargetHealth
{
public:
    /// Which calls the target may get.
    enum class State {
        Active,   // all calls
        Ejected,  // none
        HalfOpen, // trials: one idempotent call at a time
    };

    void  recordSuccess(TimePoint now);  // an answer with a status below 500
    bool  recordFailure();               // returns whether the target should be ejected
    void  eject(TimePoint now);          // only if recordFailure() is true and the bound allows
    void  trialSent();                   // the trial call was sent
    void  trialEnded();                  // the trial ended without a result (cancelled, not sent)
    void  beginSlowStart(TimePoint now); // after a cold start: a new process at the address
    void  reinstate();                   // active again, with cleared failure statistics
    State state(TimePoint now) const;
    float slowStartShare(TimePoint now) const; // usable share of its slots, above 0 to 1

    float failureShare() const // 0 to 1: share of its recent answers that failed
    {
        return m_failureShare;
    }
    bool ejected() const
    {
        return m_ejected;
    }

private:
    float     m_failureShare = 0;
    int       m_samples = 0;        // answers since it became active, up to MinSamples
    int       m_trialSuccesses = 0; // consecutive
    int       m_ejections = 0;      // consecutive
    bool      m_ejected = false;
    bool      m_trialInFlight = false;
    TimePoint m_ejectedUntil{};
    TimePoint m_slowStartBegan{};
    bool      m_inSlowStart = false;
};

} // namespace damask
