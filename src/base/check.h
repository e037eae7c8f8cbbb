/// Assertions that are enabled in every build. Each checks an invariant and carries advice on how to keep it.
///
/// Use: `DAMASK_ASSERT(inFlight >= 0, "release each permit exactly once");`
/// A failing assertion logs one JSON line and aborts the process; the supervisor restarts it.
#pragma once

#include <string_view>

namespace damask {

/// Logs the violated invariant with its advice, then aborts. Called by DAMASK_ASSERT only.
[[noreturn]] void assertionFailed(std::string_view condition, std::string_view advice, const char *file, int line);

} // namespace damask

#define DAMASK_ASSERT(condition, advice) \
    do { \
        if (!(condition)) { \
            ::damask::assertionFailed(#condition, advice, __FILE__, __LINE__); \
        } \
    } while (false)
