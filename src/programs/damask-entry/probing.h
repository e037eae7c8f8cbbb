/// Probes targets' load endpoints within each service's budget. A Prober (measure/) decides, a hook sends the probe.
///
/// Use: `Probing probing(clock, metrics, options, hooks); probing.apply(configuration); probing.start();`
/// Pitfall: a probe reports a target's load only; a failed probe does not count against the target.
#pragma once

#include "base/clock.h"
#include "base/metrics.h"
#include "base/result.h"
#include "call/message.h"
#include "config/model.h"
#include "route/balancer.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

struct ProbingOptions {
    std::string dataCentre;                                  // of this entry
    Duration    interval = std::chrono::milliseconds(100);   // between two runs of the probers
    Duration    worthAfter = std::chrono::milliseconds(250); // minimum age of a report for a probe
    Duration    timeout = std::chrono::milliseconds(250);    // of a probe
    size_t      threads = 2;                                 // probes in flight at most
    double      probeBytes = 512; // per probe on the wire: request, answer, TCP and IP headers
};

struct ProbingHooks {
    std::function<std::vector<TargetStatus>(std::string_view service)>                           status;
    std::function<Result<LoadReport>(std::string_view address, uint16_t port, Duration timeout)> probe;
    std::function<void(std::span<const LoadUpdate>)>                                             updateLoad;
};

class Probing
{
public:
    Probing(Clock &clock, Metrics &metrics, const ProbingOptions &options, ProbingHooks hooks);
    ~Probing(); // stops

    void apply(std::shared_ptr<const Configuration> configuration); // replaces the budgets and targets
    void start();
    void stop();
    void runOnce(); // runs each service's prober once; start() repeats it on a thread

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
