/// Probes of targets' load endpoints, within each service's budget: measure/ decides, a hook sends.
///
/// Use: `Probing probing(clock, metrics, options, hooks); probing.apply(configuration); probing.start();`
/// Pitfall: a probe tells of a target's load only; an answer that never comes is no sign against it.
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
    Duration    interval = std::chrono::milliseconds(100);   // between two looks at what is known
    Duration    worthAfter = std::chrono::milliseconds(250); // age of a report from which a probe is worth it
    Duration    timeout = std::chrono::milliseconds(250);    // of a probe
    size_t      threads = 2;                                 // probes sent at once
    double      probeBytes = 512;                            // of a probe on the wire: request, answer, TCP and IP
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

    void apply(std::shared_ptr<const Configuration> configuration); // budgets and targets from now on
    void start();
    void stop();
    void runOnce(); // one look at what is known; start() does it on a thread

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace damask
