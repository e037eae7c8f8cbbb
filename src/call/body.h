/// A request body that is passed on while it arrives, because it is too large to keep.
///
/// Use: call read() until it returns Ended or Failed. After Waiting, wait until the descriptor is readable or `until`
/// has passed, then call it again. Pitfall: bytes can be read once, so a call whose stream has been started can't be
/// sent a second time.
#pragma once

#include "base/result.h"
#include "base/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>

namespace damask {

enum class BodyState {
    Data,    // bytes were read
    Waiting, // none have arrived yet
    Ended,   // all of the body has been read
    Failed,  // the rest will not arrive, or must not be used
};

/// Result of one read.
struct BodyRead {
    BodyState state = BodyState::Ended;
    size_t    bytes = 0;       // with Data
    TimePoint until = Never;   // with Waiting: it fails if nothing arrives by then
    Code      code = Code::Ok; // with Failed: Cancelled, SlowSender, BadRequest or BodyTooLarge
};

/// Used by the thread that serves the call.
struct BodyStream {
    std::optional<uint64_t>                     length;          // bytes of the whole body; none: unknown until its end
    int                                         descriptor = -1; // readable when more may have arrived
    std::function<BodyRead(std::span<char> to)> read;            // never blocks
    bool                                        started = false; // set by the first reader
};

} // namespace damask
