#include "programs/damask-entry/probing.h"

#include "base/check.h"
#include "base/thread.h"
#include "base/worker_pool.h"
#include "config/regions.h"
#include "measure/prober.h"

#include <algorithm>
#include <map>

namespace damask {

namespace {

constexpr size_t ProbeQueueLimit = 256; // queued probes; more are dropped

/// The destination of a probe.
struct ProbeTarget {
    std::string address;
    uint16_t port = 0;
    std::string region;
    Duration linkDelay{0}; // round trip
};

/// A service's prober and the budget that it was created with.
struct ServiceProber {
    ProbeBudgetOptions budget;
    std::unique_ptr<Prober> prober;
};

} // namespace

struct Probing::State {
    State(Clock &c, Metrics &m, const ProbingOptions &o, ProbingHooks h)
        : clock(c)
        , metrics(m)
        , options(o)
        , hooks(std::move(h))
        , wake(c)
        , pool(c, {.name = "probe", .threads = o.threads, .queueLimit = ProbeQueueLimit})
    {
    }

    void updateTargets(std::string_view region)
    {
        targets.clear();
        for (const Pool &from : configuration->pools) {
            for (const Target &it : from.targets) {
                const std::string_view there = regionOf(*configuration, it.dataCentre);
                const Duration delay = region == there ? Duration(0) : roundTripBetween(*configuration, region, there);
                targets[from.name + "/" + it.name] = {it.address, it.port, std::string(there), delay};
            }
        }
    }

    void updateBudgets(std::string_view region)
    {
        std::erase_if(probers, [this](const auto &it) {
            const auto &all = configuration->services;
            return std::none_of(all.begin(), all.end(), [&it](const Service &n) { return n.name == it.first; });
        });
        for (const Service &it : configuration->services) {
            ServiceProber &serviceProber = probers[it.name];
            const bool same = serviceProber.prober && serviceProber.budget.bytesPerSecond == it.measureBytesPerSecond
                              && serviceProber.budget.probesPerSecond == it.measureProbesPerSecond;
            if (same) {
                continue;
            }
            serviceProber.budget = {it.measureBytesPerSecond, it.measureProbesPerSecond};
            ProberOptions prober;
            prober.region = region;
            prober.service = serviceProber.budget;
            prober.probeBytes = options.probeBytes;
            prober.worthAfter = options.worthAfter;
            prober.minProbeInterval = options.worthAfter;
            serviceProber.prober =
                std::make_unique<Prober>(prober, ProberHooks{[this, name = it.name](std::string_view target) {
                                             send(name, target);
                                         }},
                                         clock.now());
        }
    }

    /// Called by a prober under the lock; queues the probe in the pool.
    void send(std::string_view service, std::string_view target)
    {
        const auto it = targets.find(target);
        if (it == targets.end()) {
            return;
        }
        metrics.count("damask_probes_total", {{"service", service}});
        metrics.counter("damask_probe_bytes_total", {{"service", service}}).Increment(options.probeBytes);
        const auto queued = pool.submit([this, name = it->first, to = it->second] { probe(name, to); });
        if (!queued) {
            metrics.countCode("damask_probe_failures_total", queued.error().code);
        }
    }

    void probe(std::string_view name, const ProbeTarget &to)
    {
        const auto report = hooks.probe(to.address, to.port, options.timeout);
        if (!report) {
            metrics.countCode("damask_probe_failures_total", report.error().code);
            return;
        }
        const LoadUpdate update{std::string(name), *report, to.linkDelay / 2, false};
        hooks.updateLoad({&update, 1});
    }

    void runProber(std::string_view service, Prober &prober)
    {
        const std::vector<TargetStatus> known = hooks.status(service);
        std::vector<ProbeCandidate> candidates;
        for (const TargetStatus &it : known) {
            const auto target = targets.find(it.name);
            if (target != targets.end() && !it.draining) {
                candidates.push_back({it.name, target->second.region, target->second.linkDelay,
                                      it.reported ? it.reportAge : Duration::max(), it.inFlight, it.oldestCall});
            }
        }
        const TimePoint now = clock.now();
        prober.run(candidates, now);
        DAMASK_ASSERT(prober.overBudget(now) <= 0, "a probe is charged to its budget before it is sent");
    }

    Clock &clock;
    Metrics &metrics;
    ProbingOptions options;
    ProbingHooks hooks;
    RankedMutex mutex{LockRank::Configuration};
    Condition wake;
    bool stopping = true;                                      // under mutex
    std::shared_ptr<const Configuration> configuration;        // under mutex
    std::map<std::string, ProbeTarget, std::less<>> targets;   // under mutex, by "pool/target"
    std::map<std::string, ServiceProber, std::less<>> probers; // under mutex, by service
    WorkerPool pool;
    Thread thread;
};

Probing::Probing(Clock &clock, Metrics &metrics, const ProbingOptions &options, ProbingHooks hooks)
    : m_state(std::make_unique<State>(clock, metrics, options, std::move(hooks)))
{
}

Probing::~Probing()
{
    stop();
}

void Probing::apply(std::shared_ptr<const Configuration> configuration)
{
    LockGuard lock(m_state->mutex);
    m_state->configuration = std::move(configuration);
    const std::string_view region = regionOf(*m_state->configuration, m_state->options.dataCentre);
    m_state->updateTargets(region);
    m_state->updateBudgets(region);
}

void Probing::start()
{
    State &state = *m_state;
    state.stopping = false;
    state.thread = Thread("probing", [this, &state] {
        while (true) {
            runOnce();
            LockGuard lock(state.mutex);
            const TimePoint next = state.clock.now() + state.options.interval;
            while (!state.stopping && state.wake.waitUntil(lock, next)) { }
            if (state.stopping) {
                return;
            }
        }
    });
}

void Probing::stop()
{
    {
        LockGuard lock(m_state->mutex);
        m_state->stopping = true;
        m_state->wake.notifyAll();
    }
    m_state->thread.join();
    m_state->pool.drain();
}

void Probing::runOnce()
{
    LockGuard lock(m_state->mutex);
    for (auto &[service, serviceProber] : m_state->probers) {
        m_state->runProber(service, *serviceProber.prober);
    }
}

} // namespace damask
