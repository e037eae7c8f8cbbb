/// A small configuration and a paused clock for tests of the balancer.
#pragma once

#include "base/clock.h"
#include "base/metrics.h"
#include "route/balancer.h"

#include <memory>
#include <string>

namespace damask::fakes {

/// A configuration with two regions, "north" (n1, n2) and "south" (s1), and one service "listings".
inline Configuration fleetOf(int targets, int slots = 2)
{
    Configuration configuration;
    configuration.revision = 1;
    configuration.dataCentres = {{"n1", 1, "north"}, {"n2", 1, "north"}, {"s1", 1, "south"}};
    configuration.links = {{"north--south", 1, std::chrono::milliseconds(8)}};
    Service service;
    service.name = "listings";
    service.pool = "pages";
    service.queueLimit = 4;
    configuration.services.push_back(service);
    Pool pool{"pages", 1, {}};
    for (int n = 0; n < targets; ++n) {
        pool.targets.push_back({"t" + std::to_string(n), "127.0.0.1", static_cast<uint16_t>(9000 + n), "n1", slots});
    }
    configuration.pools.push_back(pool);
    return configuration;
}

/// A balancer under a paused clock.
struct PausedBalancer {
    Clock    clock;
    Metrics  metrics;
    Balancer balancer;

    explicit PausedBalancer(const Configuration &configuration, BalancerHooks hooks = {.random = seededRandom(1)},
                            BalancerOptions options = {.dataCentre = "n1"})
        : balancer(clock, metrics, options, std::move(hooks))
    {
        clock.pause();
        apply(configuration);
    }
    void apply(const Configuration &configuration)
    {
        balancer.apply(std::make_shared<const Configuration>(configuration));
    }
    Result<Permit> tryAcquire(AcquireRequest request = {})
    {
        request.service = request.service.empty() ? "listings" : request.service;
        request.mayWait = false;
        return balancer.acquire(request);
    }
    void answer(const Permit &permit, int inFlight, int status = 200)
    {
        PermitReport report;
        report.end = AttemptEnd::Answered;
        report.status = status;
        report.load = LoadReport{inFlight, 2, false};
        balancer.finish(permit, report);
    }
    void answerPlain(const Permit &permit, int status)
    {
        PermitReport report;
        report.end = AttemptEnd::Answered;
        report.status = status;
        balancer.finish(permit, report);
    }
};

} // namespace damask::fakes
