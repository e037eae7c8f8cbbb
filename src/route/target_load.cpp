#include "route/target_load.h"

#include "base/check.h"

#include <algorithm>

namespace damask {

namespace {

constexpr size_t ReservedCalls = 64;                           // calls in flight without a reallocation
constexpr float TimeWeight = 0.05F;                            // of one answer in the typical time
constexpr Duration MeanReportWindow = std::chrono::seconds(1); // smoothing window of a target's reports
constexpr double MaxReportShare = 0.3;                         // weight of one report in this window
constexpr double MeanWeight = 0.5;           // weight of a lasting difference between its reports and the fleet mean
constexpr double OthersPerOwnCall = 0.2;     // relative rise of the assumed calls of others per own call at the target
constexpr float MaxQueueShareOfSlots = 0.5F; // queue limit of a target, as a share of its slots
constexpr float RaiseOnSuccess = 0.05F;      // calls added to the limit by one answer
constexpr float RecoveryShare = 0.25F;       // of the slots lost to refusals, restored by one answer
constexpr float LowerOnRefusal = 0.3F;       // share of the limit removed by one refusal

/// Approximates 2^-halfLives without a call of the math library. Exact at 0 and strictly decreasing.
double decay(double halfLives)
{
    const double x = halfLives * 0.6931471805599453;
    return 1 / (1 + x + x * x / 2 + x * x * x / 6);
}

} // namespace

TargetLoad::TargetLoad()
{
    m_calls.reserve(ReservedCalls);
}

void TargetLoad::sent(const CallInFlight &call)
{
    m_calls.push_back(call);
}

CallInFlight TargetLoad::ended(uint64_t permit)
{
    const auto it = std::find_if(m_calls.begin(), m_calls.end(), [&](const CallInFlight &n) { return n.id == permit; });
    DAMASK_ASSERT(it != m_calls.end(), "finish each permit exactly once");
    const CallInFlight call = *it;
    m_calls.erase(it);
    return call;
}

void TargetLoad::reported(const LoadReport &report, TimePoint takenAt, double fleetOthers)
{
    if (m_lastReport >= 0 && takenAt < m_reportedAt) {
        return;
    }
    const auto sentBefore =
        std::count_if(m_calls.begin(), m_calls.end(), [&](const CallInFlight &n) { return n.sentAt <= takenAt; });
    m_others = std::max(0.0, static_cast<double>(report.inFlight - sentBefore));
    const bool first = m_lastReport < 0;
    m_meanOthers = first ? fleetOthers : m_meanOthers;
    const double share = first ? 0 : toSeconds(takenAt - m_reportedAt) / toSeconds(MeanReportWindow);
    m_meanOthers += std::min(share, MaxReportShare) * (m_others - m_meanOthers);
    m_lastReport = std::max(0, report.inFlight);
    m_slowdown = report.slowdown > 0 ? static_cast<float>(report.slowdown) : m_slowdown;
    m_reportedAt = takenAt;
}

void TargetLoad::answered(Duration time)
{
    const auto sample = static_cast<float>(std::max(0.0, toMilliseconds(time)));
    m_typicalTime = m_typicalTime == 0 ? sample : m_typicalTime + TimeWeight * (sample - m_typicalTime);
}

void TargetLoad::refused(int slots, TimePoint now)
{
    const float lowered = limit(slots, now) * (1 - LowerOnRefusal);
    m_queueAllowed = std::max(lowered, 1.0F) - static_cast<float>(slots);
    m_queueAllowedAt = now;
}

void TargetLoad::succeeded(int slots, TimePoint now)
{
    const float allowed = queueAllowed(now);
    const float missing = std::max(0.0F, -allowed); // slots lost to refusals
    m_queueAllowedAt = now;
    m_queueAllowed =
        std::min(allowed + RaiseOnSuccess + RecoveryShare * missing, MaxQueueShareOfSlots * static_cast<float>(slots));
}

void TargetLoad::reset()
{
    m_lastReport = -1;
    m_others = 0;
    m_meanOthers = 0;
    m_typicalTime = 0;
    m_slowdown = 0;
    m_queueAllowed = 0;
    m_overtakenUntil = {};
}

/// Cancelling the call frees its slot and ends its age, so the target would look as good as new, and get the next calls
/// although it is still slow: in a replay, hedges raised p99 by two thirds. The call therefore keeps its age for as
/// long again as it took, or until a later call is answered sooner.
void TargetLoad::overtaken(TimePoint sentAt, TimePoint now)
{
    m_overtakenSentAt = now < m_overtakenUntil ? std::min(m_overtakenSentAt, sentAt) : sentAt;
    m_overtakenAt = now;
    m_overtakenUntil = std::max(m_overtakenUntil, now + (now - sentAt));
}

void TargetLoad::progressed(TimePoint sentAt, TimePoint now)
{
    if (sentAt >= m_overtakenSentAt && now - sentAt < m_overtakenAt - m_overtakenSentAt) {
        m_overtakenUntil = {};
    }
}

double TargetLoad::estimate(TimePoint now, const ReportAging &aging) const
{
    const auto own = static_cast<double>(m_calls.size());
    const double halfLives = toSeconds(std::max(now - m_reportedAt, Duration(0))) / toSeconds(aging.halfLife);
    const double weight = m_lastReport < 0 ? 0 : aging.trust * decay(halfLives);
    const double assumed = aging.fleetOthers * (1 + OthersPerOwnCall * own);
    const double corrected = m_others - (1 - MeanWeight) * (m_meanOthers - aging.fleetOthers);
    return own + std::max(0.0, assumed + weight * (corrected - assumed));
}

/// The last reported slowdown, decaying to the mean of the fleet: an old report says nothing about this target.
float TargetLoad::slowdown(TimePoint now, const ReportAging &aging) const
{
    if (m_slowdown <= 0) {
        return aging.fleetSlowdown;
    }
    const double halfLives = toSeconds(std::max(now - m_reportedAt, Duration(0))) / toSeconds(aging.slowdownHalfLife);
    return aging.fleetSlowdown + static_cast<float>(decay(halfLives)) * (m_slowdown - aging.fleetSlowdown);
}

double TargetLoad::meanOthers() const
{
    return m_meanOthers;
}

double TargetLoad::others() const
{
    return m_others;
}

Duration TargetLoad::oldestCall(TimePoint now) const
{
    const Duration inFlight = m_calls.empty() ? Duration(0) : now - m_calls.front().sentAt;
    return now < m_overtakenUntil ? std::max(inFlight, now - m_overtakenSentAt) : inFlight;
}

/// Of a lowered limit. 0: only responses raise it.
void TargetLoad::setLimitHalfLife(Duration halfLife)
{
    m_limitHalfLife = halfLife;
}

float TargetLoad::queueAllowed(TimePoint now) const
{
    if (m_queueAllowed >= 0 || m_limitHalfLife <= Duration(0)) {
        return m_queueAllowed;
    }
    const Duration age = std::max(now - m_queueAllowedAt, Duration(0));
    return m_queueAllowed * static_cast<float>(decay(toSeconds(age) / toSeconds(m_limitHalfLife)));
}

float TargetLoad::limit(int slots, TimePoint now) const
{
    return std::max(1.0F, static_cast<float>(slots) + queueAllowed(now));
}

} // namespace damask
