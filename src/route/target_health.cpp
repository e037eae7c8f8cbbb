#include "route/target_health.h"

#include <algorithm>

namespace damask {

namespace {

constexpr float FailureWeight = 0.2F;                         // of a new answer in the share of failures
constexpr float EjectAbove = 0.5F;                            // share of failures
constexpr int LeastSamples = 5;                               // answers before a target can be ejected
constexpr int GoodTrialsToReturn = 3;                         // one after another
constexpr Duration FirstOut = std::chrono::milliseconds(500); // doubles with each ejection
constexpr Duration LongestOut = std::chrono::seconds(16);     // of one ejection
constexpr int MostDoublings = 5;                              // from FirstOut to LongestOut
constexpr Duration WarmUpTime = std::chrono::seconds(2);      // from a cold start to full use
constexpr float ColdShare = 0.34F;                            // of its slots right after a cold start

} // namespace

void TargetHealth::good(TimePoint now)
{
    m_failing -= FailureWeight * m_failing;
    m_samples = std::min(m_samples + 1, LeastSamples);
    if (!m_ejected) {
        m_timesOut = m_samples == LeastSamples && m_failing < FailureWeight ? 0 : m_timesOut;
        return;
    }
    m_trialOut = false;
    ++m_goodTrials;
    if (m_goodTrials >= GoodTrialsToReturn) {
        comeBack();
        warmUp(now);
    }
}

bool TargetHealth::bad()
{
    m_failing += FailureWeight * (1 - m_failing);
    m_samples = std::min(m_samples + 1, LeastSamples);
    m_trialOut = false;
    m_goodTrials = 0;
    return m_ejected || (m_samples >= LeastSamples && m_failing > EjectAbove);
}

void TargetHealth::eject(TimePoint now)
{
    const int doublings = std::min(m_timesOut, MostDoublings);
    m_outUntil = now + std::min(FirstOut * (1 << doublings), LongestOut);
    ++m_timesOut;
    m_ejected = true;
    m_goodTrials = 0;
}

void TargetHealth::trialSent()
{
    m_trialOut = true;
}

void TargetHealth::trialEnded()
{
    m_trialOut = false;
}

void TargetHealth::warmUp(TimePoint now)
{
    m_warmFrom = now;
    m_warming = true;
}

void TargetHealth::comeBack()
{
    m_ejected = false;
    m_trialOut = false;
    m_goodTrials = 0;
    m_failing = 0;
    m_samples = 0;
}

TargetHealth::State TargetHealth::state(TimePoint now) const
{
    if (!m_ejected) {
        return State::In;
    }
    return now < m_outUntil || m_trialOut ? State::Out : State::Trial;
}

float TargetHealth::warmth(TimePoint now) const
{
    if (!m_warming || now >= m_warmFrom + WarmUpTime) {
        return 1;
    }
    const double done = toSeconds(now - m_warmFrom) / toSeconds(WarmUpTime);
    return ColdShare + (1 - ColdShare) * static_cast<float>(std::max(0.0, done));
}

} // namespace damask
