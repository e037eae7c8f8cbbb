#include "route/cold_start.h"

#include <algorithm>

namespace damask {

std::string_view coldReasonName(ColdReason reason)
{
    switch (reason) {
    case ColdReason::Entry:
        return "entry";
    case ColdReason::Return:
        return "return";
    case ColdReason::HealthCheck:
        return "health-check";
    }
    return {};
}

bool isCold(const ColdState &state, TimePoint now)
{
    return now < state.until;
}

TimePoint coldAfterReturn(const ColdState &state, Duration coldStart, TimePoint now)
{
    return std::max(state.until, now + coldStart);
}

TimePoint coldAfterWrite(const ColdState &state, Duration coldLeft, TimePoint now)
{
    return std::max(state.until, now + coldLeft);
}

bool wantsColdToken(const ColdState &state, bool inThisDataCentre, bool nothingElseHasRoom, TimePoint now)
{
    const bool due = state.wantedAt == TimePoint() || now - state.wantedAt >= ColdWantInterval;
    return due && (inThisDataCentre || nothingElseHasRoom);
}

} // namespace damask
