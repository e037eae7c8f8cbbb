/// Asking several targets at once how they are, on the connections that calls use.
///
/// A target that answers has proved its connection alive, so a call that follows at once finds it fresh.
/// Pitfall: blocks the calling thread until all have answered or timeout is over.
#pragma once

#include "back/connection_pool.h"
#include "back/target_protocol.h"
#include "base/clock.h"

#include <memory>
#include <span>
#include <vector>

namespace damask {

/// What came of asking one target, in the order in which they were given.
struct ProbeResult {
    Result<LoadReport> report;            // AnswerTimeout, ConnectionLost, ConnectFailed, BadAnswer, TargetShares
    Duration           elapsed{0};        // until the answer
    bool               connected = false; // a new connection was made for it
};

std::vector<ProbeResult> probeAll(const Clock &clock, ConnectionPool &pool, const TargetProtocol &protocol,
                                  std::span<const std::shared_ptr<const TargetAddress>> targets, Duration timeout);

} // namespace damask
