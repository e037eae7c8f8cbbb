/// Decides how long a target is cold, and when a token for it is wanted.
///
/// Load pattern: targets that come back cold together, after a restart or the return of their data centre, and fail
/// well above a few requests a second over all instances, while each instance has far more calls for them.
///
/// Pure: the caller passes the time.
#pragma once

#include "base/time.h"

#include <string_view>

namespace damask {

/// Why a target counts as cold or warm.
enum class ColdReason {
    Entry,       // its entry says so
    Return,      // its data centre is taken back after an evacuation
    HealthCheck, // it has answered a health check of this instance
};

std::string_view coldReasonName(ColdReason reason); // "entry", "return" or "health-check"

/// What an instance knows of one target's cold start.
struct ColdState {
    TimePoint until{};           // cold until then
    TimePoint wantedAt{};        // when a token was last asked for
    bool      confirmed = false; // by a health check; an entry may have been written long ago
};

/// Between two requests for a token of one target: thousands of calls leave it out in that time, and one token serves
/// one of them.
constexpr Duration ColdWantInterval = std::chrono::milliseconds(200);

bool isCold(const ColdState &state, TimePoint now);

/// Until when a target is cold whose data centre is taken back now: it has been idle.
TimePoint coldAfterReturn(const ColdState &state, Duration coldStart, TimePoint now);

/// Until when a target is cold whose entry was written again by the same process. Only a health check shortens it, as
/// the entry may have been written a while ago.
TimePoint coldAfterWrite(const ColdState &state, Duration coldLeft, TimePoint now);

/// Whether to ask for a token of a target that was left out for lack of one.
bool wantsColdToken(const ColdState &state, bool inThisDataCentre, bool nothingElseHasRoom, TimePoint now);

} // namespace damask
