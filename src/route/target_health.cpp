#include "route/target_health.h"

#include <algorithm>

namespace damask {

namespace {

constexpr float FailureWeight = 0.2F;                              // of one answer in the share of failures
constexpr float EjectAboveShare = 0.5F;                            // share of failures
constexpr int MinSamples = 5;                                      // answers before a target may be ejected
constexpr int TrialSuccessesToReinstate = 3;                       // consecutive
constexpr Duration FirstEjection = std::chrono::milliseconds(500); // doubles with each consecutive ejection
constexpr Duration MaxEjection = std::chrono::seconds(16);         // of one ejection
constexpr int MaxDoublings = 5;                                    // from FirstEjection to MaxEjection
constexpr Duration SlowStartTime = std::chrono::seconds(2);        // from a cold start to full use
constexpr float SlowStartFirstShare = 0.34F;                       // of its slots right after a cold start

} // namespace

void TargetHealth::recordSuccess(TimePoint now)
{
    m_failureShare -= FailureWeight * m_failureShare;
    m_samples = std::min(m_samples + 1, MinSamples);
    if (!m_ejected) {
        m_ejections = m_samples == MinSamples && m_failureShare < FailureWeight ? 0 : m_ejections;
        return;
    }
    m_trialInFlight = false;
    ++m_trialSuccesses;
    if (m_trialSuccesses >= TrialSuccessesToReinstate) {
        reinstate();
        beginSlowStart(now);
    }
}

bool TargetHealth::recordFailure()
{
    m_failureShare += FailureWeight * (1 - m_failureShare);
    m_samples = std::min(m_samples + 1, MinSamples);
    m_trialInFlight = false;
    m_trialSuccesses = 0;
    return m_ejected || (m_samples >= MinSamples && m_failureShare > EjectAboveShare);
}

void TargetHealth::eject(TimePoint now)
{
    const int doublings = std::min(m_ejections, MaxDoublings);
    m_ejectedUntil = now + std::min(FirstEjection * (1 << doublings), MaxEjection);
    ++m_ejections;
    m_ejected = true;
    m_trialSuccesses = 0;
}

void TargetHealth::trialSent()
{
    m_trialInFlight = true;
}

void TargetHealth::trialEnded()
{
    m_trialInFlight = false;
}

void TargetHealth::beginSlowStart(TimePoint now)
{
    m_slowStartBegan = now;
    m_inSlowStart = true;
}

void TargetHealth::reinstate()
{
    m_ejected = false;
    m_trialInFlight = false;
    m_trialSuccesses = 0;
    m_failureShare = 0;
    m_samples = 0;
}

TargetHealth::State TargetHealth::state(TimePoint now) const
{
    if (!m_ejected) {
        return State::Active;
    }
    return now < m_ejectedUntil || m_trialInFlight ? State::Ejected : State::HalfOpen;
}

float TargetHealth::slowStartShare(TimePoint now) const
{
    if (!m_inSlowStart || now >= m_slowStartBegan + SlowStartTime) {
        return 1;
    }
    const double done = toSeconds(now - m_slowStartBegan) / toSeconds(SlowStartTime);
    return SlowStartFirstShare + (1 - SlowStartFirstShare) * static_cast<float>(std::max(0.0, done));
}

} // namespace damask
