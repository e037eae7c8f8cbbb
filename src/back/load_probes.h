/// Probes the load of several targets in parallel, on the pooled connections that calls use.
///
/// A probe that succeeds proves its connection alive, so within freshLimit even non-idempotent calls can reuse it.
/// Pitfall: blocks the calling thread until all targets have answered or the timeout has expired.
#pragma once

#include "back/connection_pool.h"
#include "back/target_protocol.h"
#include "base/clock.h"

#include <memory>
#include <span>
#include <vector>

namespace damask {

/// Result of probing one target; results are in the order of the targets given.
struct ProbeResult {
    Result<LoadReport> report;            // AnswerTimeout, ConnectionLost, ConnectFailed, BadAnswer, TargetShares
    TargetNotice       notice;            // from any complete answer
    Duration           elapsed{0};        // until the probe ended
    bool               connected = false; // a new connection was made for it
};

std::vector<ProbeResult> probeAll(const Clock &clock, ConnectionPool &pool, const TargetProtocol &protocol,
                                  std::span<const std::shared_ptr<const TargetAddress>> targets, Duration timeout);

} // namespace damask
