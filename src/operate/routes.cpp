#include "operate/routes.h"

#include "base/log.h"

#include <utility>

namespace damask {

void addStandardRoutes(OperateServer &server, Metrics &metrics, StandardHooks hooks)
{
    constexpr bool Open = true;
    server.route(
        "GET", "/healthz",
        [](const OperateRequest &) {
            return OperateResponse{200, "text/plain", "ok\n"};
        },
        Open);
    server.route(
        "GET", "/ready",
        [ready = std::move(hooks.ready)](const OperateRequest &) {
            const auto result = ready ? ready() : Result<void>();
            return result ? OperateResponse{200, "text/plain", "ready\n"} : operateError(503, result.error());
        },
        Open);
    server.route(
        "GET", "/metrics",
        [&metrics](const OperateRequest &) {
            metrics.gauge("damask_log_lines_lost").Set(static_cast<double>(droppedLogLines()));
            return OperateResponse{200, "text/plain; version=0.0.4", metrics.text()};
        },
        Open);
    if (hooks.status) {
        server.route("GET", "/status", [status = std::move(hooks.status)](const OperateRequest &) {
            return OperateResponse{200, "application/json", status()};
        });
    }
}

} // namespace damask
