/// The standard pages on the operators' port of every program.
///
/// /healthz is the liveness check, /ready the readiness check (whether callers should be sent here), /metrics returns
/// the metrics in the Prometheus text format, and /status returns a JSON object supplied by the program.
#pragma once

#include "base/metrics.h"
#include "operate/server.h"

#include <functional>
#include <string>

namespace damask {

/// What the program supplies for its standard pages.
struct StandardHooks {
    std::function<Result<void>()> ready = {};  // error: why it is not ready; empty: always ready
    std::function<std::string()>  status = {}; // JSON; empty: no /status page
};

/// Adds the pages. Call before OperateServer::start(). Only /status requires the token.
void addStandardRoutes(OperateServer &server, Metrics &metrics, StandardHooks hooks);

} // namespace damask
