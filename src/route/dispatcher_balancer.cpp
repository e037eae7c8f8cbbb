#include "route/dispatcher.h"

namespace damask {

namespace {

/// Sets empty hooks to the balancer's functions.
DispatcherHooks withBalancer(DispatcherHooks hooks, Balancer &balancer)
{
    if (!hooks.acquire) {
        hooks.acquire = [&balancer](const AcquireRequest &it) {
            return balancer.acquire(it);
        };
    }
    if (!hooks.finish) {
        hooks.finish = [&balancer](const Permit &permit, const PermitReport &it) {
            balancer.finish(permit, it);
        };
    }
    if (!hooks.status) {
        hooks.status = [&balancer](std::string_view service) {
            return balancer.status(service);
        };
    }
    if (!hooks.pushBackLeft) {
        hooks.pushBackLeft = [&balancer](std::string_view service) {
            return balancer.pushBackLeft(service);
        };
    }
    if (!hooks.preview) {
        hooks.preview = [&balancer](const AcquireRequest &it) {
            return balancer.preview(it);
        };
    }
    if (!hooks.checkPlacement) {
        hooks.checkPlacement = [&balancer](const AcquireRequest &it) {
            return balancer.checkPlacement(it);
        };
    }
    if (!hooks.permitHolds) {
        hooks.permitHolds = [&balancer](const Permit &it) {
            return balancer.permitHolds(it);
        };
    }
    return hooks;
}

} // namespace

Dispatcher::Dispatcher(Clock &clock, Metrics &metrics, Balancer &balancer, const DispatcherOptions &options,
                       DispatcherHooks hooks)
    : Dispatcher(clock, metrics, options, withBalancer(std::move(hooks), balancer))
{
}

} // namespace damask
