#include "front/pipeline.h"

namespace damask {

namespace {

/// Above this share, requests behind a first one would compete with first requests, which are refused when no worker or
/// buffer is left.
constexpr size_t ShareNumerator = 3;
constexpr size_t ShareDenominator = 4;

bool exceedsShare(size_t used, size_t whole)
{
    return used
           > whole / ShareDenominator * ShareNumerator + whole % ShareDenominator * ShareNumerator / ShareDenominator;
}

} // namespace

std::string_view holdName(PipelineHold hold)
{
    switch (hold) {
    case PipelineHold::None:
        return "";
    case PipelineHold::Closing:
        return "closing";
    case PipelineHold::Limit:
        return "limit";
    case PipelineHold::RunsOnce:
        return "runs-once";
    case PipelineHold::Bytes:
        return "bytes";
    case PipelineHold::Workers:
        return "workers";
    }
    return "";
}

PipelineHold holdFor(const PipelineLimits &limits, const PipelineState &state, bool repeatable)
{
    if (state.inFlight == 0) {
        return PipelineHold::None;
    }
    if (state.closing) {
        return PipelineHold::Closing;
    }
    if (state.inFlight >= limits.requests) {
        return PipelineHold::Limit;
    }
    if (!repeatable || !state.repeatable) {
        return PipelineHold::RunsOnce;
    }
    if (state.connectionBytes >= limits.connectionBytes || exceedsShare(state.frontBytes, limits.frontBytes)) {
        return PipelineHold::Bytes;
    }
    if (exceedsShare(state.busyWorkers, limits.workers)) {
        return PipelineHold::Workers;
    }
    return PipelineHold::None;
}

bool readsAhead(const PipelineLimits &limits, const PipelineState &state)
{
    return holdFor(limits, state, true) == PipelineHold::None;
}

} // namespace damask
