#include "base/hash.h"
#include "base/log.h"
#include "route/dispatcher_state.h"

#include <utility>

namespace damask {

namespace {

float toFloatMs(Duration duration)
{
    return static_cast<float>(toMilliseconds(duration));
}

void fillTargetSnapshot(TargetSnapshot &out, const TargetStatus &status)
{
    out.name.assign(status.name);
    out.inFlight = static_cast<uint16_t>(status.inFlight);
    out.estimate = static_cast<float>(status.estimate);
    out.reportAge = status.reported ? toFloatMs(status.reportAge) : -1;
    out.oldestCall = toFloatMs(status.oldestCall);
    out.typicalTime = toFloatMs(status.typicalTime);
    out.draining = status.draining;
    out.ejected = status.ejected;
    out.evacuated = status.evacuated;
    out.coldLeft = toFloatMs(status.coldLeft);
}

/// Whether a call is always logged: it was not answered, returned an error status, exceeded its objective or needed
/// more than one attempt.
bool isNotable(const CallTrace &trace)
{
    const bool late = trace.objective > 0 && trace.totalTime > trace.objective;
    return trace.outcome != Outcome::Answered || trace.status >= FirstErrorStatus || trace.attemptCount > 1 || late;
}

} // namespace

void Dispatcher::State::saveTrace(CallState &call, const CallResponse &response)
{
    const TimePoint now = clock.now();
    CallTrace &trace = call.trace;
    trace.requestId.assign(call.request.requestId);
    trace.idHash = hashBytes(call.request.requestId);
    trace.endedAt = now;
    trace.idempotent = call.idempotent;
    trace.depth = static_cast<uint16_t>(call.request.depth);
    trace.ahead = static_cast<uint16_t>(call.request.pipeline.ahead);
    trace.heldBy.assign(call.request.pipeline.heldBy);
    trace.held = toFloatMs(call.request.pipeline.heldFor);
    trace.status = static_cast<uint16_t>(response.status);
    trace.outcome = response.outcome;
    trace.code = response.code;
    trace.totalTime = toFloatMs(now - call.request.arrivedAt);
    bool snapshot = false;
    if (response.outcome != Outcome::Answered) {
        LockGuard lock(snapshotMutex);
        snapshot = snapshotLimiter.take(1, now);
    }
    if (snapshot && call.route.service != nullptr) {
        for (const TargetStatus &it : hooks.status(call.route.service->name)) {
            if (trace.targetCount < trace.targets.size()) {
                fillTargetSnapshot(trace.targets[trace.targetCount], it);
                ++trace.targetCount;
            }
        }
    }
    logCall(trace);
    traces.add(trace);
}

/// Logs every notable call and a sample of the others. A rate limit applies to both; each line reports how many lines
/// were dropped since the previous one.
void Dispatcher::State::logCall(const CallTrace &trace)
{
    const bool notable = isNotable(trace);
    uint64_t dropped = 0;
    {
        LockGuard lock(snapshotMutex);
        const bool sampled = options.logSampleInterval > 0 && ++logSampleCounter % options.logSampleInterval == 0;
        if (!notable && !sampled) {
            return;
        }
        if (!logLineLimiter.take(1, clock.now())) {
            ++droppedLogLines;
            counters.logLineDropped();
            return;
        }
        dropped = std::exchange(droppedLogLines, 0);
    }
    const std::string call = toJson(trace, clock.now());
    logEvent(notable ? Severity::Warning : Severity::Info, "call",
             {{"call", LogField::Json{call}}, {"linesLeftOut", dropped}});
}

} // namespace damask
