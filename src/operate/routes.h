/// The pages that every program's operators' port has.
///
/// /healthz says that the process runs, /ready whether callers should be sent to it, /metrics gives the
/// counters in the Prometheus format, /status a JSON object that the program writes.
#pragma once

#include "base/metrics.h"
#include "operate/server.h"

#include <functional>
#include <string>

namespace damask {

/// What a program tells of itself.
struct StandardHooks {
    std::function<Result<void>()> ready = {};  // a failure names why callers should stay away; empty: always ready
    std::function<std::string()>  status = {}; // JSON; empty: no /status page
};

/// Adds the pages; before OperateServer::start(). The first three are open, /status asks for the token.
void addStandardRoutes(OperateServer &server, Metrics &metrics, StandardHooks hooks);

} // namespace damask
