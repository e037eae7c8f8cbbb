#include "tail/driver.h"

#include "base/check.h"
#include "base/clock.h"
#include "base/metrics.h"
#include "measure/prober.h"
#include "route/balancer.h"
#include "tail/fake_target.h"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <queue>
#include <random>

namespace damask::bench {

namespace {

constexpr int MaxAttempts = 3;
constexpr Duration Deadline = std::chrono::seconds(2);
constexpr Duration RefusalTime = std::chrono::microseconds(200); // time until a target refuses
constexpr double QuietMeanMs = 40;                               // mean quiet period of a neighbour
constexpr double NoisyMeanMs = 20;                               // mean noisy period
constexpr double NoisySpeed = 0.25;                              // speed of a target with a noisy neighbour

enum class Kind {
    Arrival,       // a: service
    Delivery,      // a: call
    Done,          // a: target, b: generation
    Speed,         // a: target
    Response,      // a: call
    Timeout,       // a: call
    QueueCheck,    // a: entry * Services + service
    Probe,         // a: entry * Services + service
    ProbeResponse, // a: entry, b: probe
    FaultStart     // a and b unused
};

struct Event {
    TimePoint at;
    uint64_t order;
    Kind kind;
    uint64_t a;
    uint64_t b;

    bool operator>(const Event &other) const
    {
        return at != other.at ? at > other.at : order > other.order;
    }
};

struct TargetState {
    FakeTarget target;
    std::string name;
    size_t service;
    size_t dataCentre;
    uint64_t generation = 0;
    int committed = 0; // calls sent and not yet answered; the oracle sees this without delay
    bool noisy = false;
    std::mt19937_64 random;
};

struct Call {
    size_t entry;
    size_t service;
    TimePoint arrivedAt;
    Duration work;
    int attempts = 0;
    size_t targetIndex = 0;
    Permit permit;
    PermitReport report;
    std::string avoid;
    bool sent = false;     // a permit is held
    bool onTarget = false; // the target has not answered yet
    bool ended = false;
};

struct Entry {
    Metrics metrics;
    Balancer balancer;
    std::array<TimePoint, Services> nextCheck;
    std::vector<Prober> probers; // one for each service, or none

    Entry(Clock &runClock, const BalancerOptions &options, BalancerHooks hooks)
        : balancer(runClock, metrics, options, std::move(hooks))
    {
        nextCheck.fill(Never);
    }
};

class Run
{
public:
    explicit Run(const RunOptions &options)
        : m_options(options)
        , m_arrivals(options.seed)
        , m_noisy(options.scenario != "quiet")
    {
        m_clock.pause();
        m_start = m_clock.now();
        m_measureFrom = m_start + options.warmUp;
        m_end = m_measureFrom + options.length;
        makeTargets();
        makeEntries();
        for (size_t n = 0; n < Services; ++n) {
            push(m_start, Kind::Arrival, n);
        }
        push(m_start + options.warmUp / 2, Kind::FaultStart);
    }

    RunResult go()
    {
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            m_clock.advance(event.at - now());
            handle(event);
        }
        for (const auto &it : m_entries) {
            DAMASK_ASSERT(it->balancer.inFlight() == 0, "all permits must be finished at the end of a run");
        }
        std::sort(m_result.latencies.begin(), m_result.latencies.end());
        return std::move(m_result);
    }

private:
    TimePoint now() const
    {
        return m_clock.now();
    }

    void push(TimePoint at, Kind kind, uint64_t a = 0, uint64_t b = 0)
    {
        m_events.push({at, m_order++, kind, a, b});
    }

    void makeTargets()
    {
        for (size_t service = 0; service < Services; ++service) {
            for (int n = 0; n < m_options.deployment.targets[service]; ++n) {
                FakeTargetOptions options;
                options.slots = m_options.deployment.slots;
                options.queueLimit = 8 * options.slots;
                if (m_options.scenario == "stale") {
                    options.reports = Reports::Lagging;
                }
                if (m_options.scenario == "lying" && n % 4 == 0) {
                    options.reports = n % 8 == 0 ? Reports::AlwaysIdle : Reports::AlwaysLoaded;
                }
                const std::string name = targetName(service, n);
                TargetState state{FakeTarget(options), name, service, static_cast<size_t>(n) % DataCentres};
                state.random.seed(m_options.seed * 1000 + m_targets.size());
                m_byName[name] = m_targets.size();
                m_targets.push_back(std::move(state));
                if (m_noisy) {
                    push(m_start, Kind::Speed, m_targets.size() - 1);
                }
            }
        }
    }

    void makeEntries()
    {
        const auto shared = std::make_shared<const Configuration>(configurationOf(m_options.deployment));
        for (size_t n = 0; n < Entries; ++n) {
            BalancerHooks hooks;
            hooks.pick = policyByName(m_options.policy);
            hooks.random = seededRandom(m_options.seed * 100 + n);
            if (m_options.policy == "oracle") {
                hooks.fillTrueLoad = [this](std::string_view name, TargetView &view) {
                    const TargetState &state = m_targets[m_byName.find(name)->second];
                    view.trueInFlight = state.committed;
                    view.trueSpeed = static_cast<float>(state.target.speed());
                };
            }
            BalancerOptions options;
            options.dataCentre = DataCentreNames[n % DataCentres];
            m_entries.push_back(std::make_unique<Entry>(m_clock, options, std::move(hooks)));
            m_entries.back()->balancer.apply(shared);
            makeProbers(n);
        }
    }

    void makeProbers(size_t entry)
    {
        if (m_options.probesPerSecond <= 0) {
            return;
        }
        for (size_t service = 0; service < Services; ++service) {
            ProberOptions options;
            options.region = RegionNames[entry % DataCentres];
            options.service = {m_options.probeBytesPerSecond, m_options.probesPerSecond};
            options.regionPair = {m_options.probeBytesPerSecond / 4, m_options.probesPerSecond / 4};
            ProberHooks hooks{[this, entry](std::string_view target) {
                sendProbe(entry, target);
            }};
            m_entries[entry]->probers.emplace_back(options, std::move(hooks), m_start);
            push(m_start, Kind::Probe, entry * Services + service);
        }
    }

    void probe(size_t entry, size_t service)
    {
        if (now() >= m_end) {
            return;
        }
        push(now() + fromMilliseconds(1000 / m_options.probesPerSecond), Kind::Probe, entry * Services + service);
        std::vector<ProbeCandidate> candidates;
        const std::vector<TargetStatus> known = m_entries[entry]->balancer.status(ServiceNames[service]);
        for (const TargetStatus &it : known) {
            const size_t there = m_targets[m_byName.find(it.name)->second].dataCentre;
            const Duration age = it.reported ? it.reportAge : Duration::max();
            candidates.push_back({it.name, RegionNames[there], 2 * oneWayDelay(entry % DataCentres, there), age,
                                  it.inFlight, it.oldestCall});
        }
        Prober &prober = m_entries[entry]->probers[service];
        prober.run(candidates, now());
        m_result.overBudget = std::max(m_result.overBudget, prober.overBudget(now()));
    }

    void sendProbe(size_t entry, std::string_view name)
    {
        TargetState &state = m_targets[m_byName.find(name)->second];
        const Duration delay = oneWayDelay(entry % DataCentres, state.dataCentre);
        m_probeUpdates.push_back({std::string(name), state.target.report(now()), delay, false});
        push(now() + 2 * delay, Kind::ProbeResponse, entry, m_probeUpdates.size() - 1);
        ++m_result.probes;
        m_result.probeBytes += ProberOptions().probeBytes;
    }

    double callsPerMs(size_t service) const
    {
        const double speed = m_noisy ? (QuietMeanMs + NoisyMeanMs * NoisySpeed) / (QuietMeanMs + NoisyMeanMs) : 1;
        const double slots = m_options.deployment.slots * m_options.deployment.targets[service];
        return slots * speed / m_options.deployment.meanWork * m_options.load / 100;
    }

    void handle(const Event &event)
    {
        switch (event.kind) {
        case Kind::Arrival:
            arrive(event.a);
            break;
        case Kind::Delivery:
            deliver(event.a);
            break;
        case Kind::Done:
            done(event.a, event.b);
            break;
        case Kind::Speed:
            changeSpeed(event.a);
            break;
        case Kind::Response:
            handleResponse(event.a);
            break;
        case Kind::Timeout:
            timeOut(event.a);
            break;
        case Kind::QueueCheck:
            processWaitQueue(event.a / Services, event.a % Services, true);
            break;
        case Kind::Probe:
            probe(event.a / Services, event.a % Services);
            break;
        case Kind::ProbeResponse:
            m_entries[event.a]->balancer.updateLoad({&m_probeUpdates[event.b], 1});
            break;
        case Kind::FaultStart:
            startFaults();
            break;
        }
    }

    void arrive(size_t service)
    {
        if (now() >= m_end) {
            return;
        }
        push(now() + fromMilliseconds(exponential(m_arrivals, 1 / callsPerMs(service))), Kind::Arrival, service);
        Call call{m_arrivals() % Entries, service, now(),
                  fromMilliseconds(drawWork(m_arrivals, m_options.deployment.meanWork))};
        m_calls.push_back(std::move(call));
        m_result.calls += now() >= m_measureFrom ? 1 : 0;
        push(now() + Deadline, Kind::Timeout, m_calls.size() - 1);
        attempt(m_calls.size() - 1);
    }

    void attempt(uint64_t id)
    {
        Call &call = m_calls[id];
        ++call.attempts;
        AcquireRequest request;
        request.service = ServiceNames[call.service];
        request.deadline = call.arrivedAt + Deadline;
        request.idempotent = call.service == 0;
        request.avoid = call.avoid;
        Entry &entry = *m_entries[call.entry];
        const uint64_t waiting =
            entry.balancer.acquireLater(request, [this, id](Result<Permit> result) { granted(id, std::move(result)); });
        if (waiting != 0) {
            processWaitQueue(call.entry, call.service, false);
        }
    }

    void processWaitQueue(size_t entryIndex, size_t service, bool due)
    {
        Entry &entry = *m_entries[entryIndex];
        TimePoint &nextCheck = entry.nextCheck[service];
        if (due && nextCheck > now()) {
            return;
        }
        const TimePoint next = entry.balancer.processQueue(ServiceNames[service]);
        if (next != Never && (due || next < nextCheck || nextCheck <= now())) {
            nextCheck = next;
            push(next, Kind::QueueCheck, entryIndex * Services + service);
        } else if (next == Never) {
            nextCheck = Never;
        }
    }

    void granted(uint64_t id, Result<Permit> result)
    {
        Call &call = m_calls[id];
        if (!result) {
            end(id, false);
            m_result.refused += call.arrivedAt >= m_measureFrom ? 1 : 0;
            return;
        }
        call.permit = std::move(*result);
        call.sent = true;
        call.onTarget = true;
        call.targetIndex = m_byName.find(call.permit.address->name)->second;
        TargetState &state = m_targets[call.targetIndex];
        ++state.committed;
        m_result.attempts += call.arrivedAt >= m_measureFrom ? 1 : 0;
        push(now() + oneWayDelay(call.entry % DataCentres, state.dataCentre), Kind::Delivery, id);
    }

    void deliver(uint64_t id)
    {
        Call &call = m_calls[id];
        if (!call.sent) {
            return; // timed out in transit
        }
        TargetState &state = m_targets[call.targetIndex];
        if (state.target.arrive(id, call.work, now())) {
            reschedule(call.targetIndex);
            return;
        }
        call.report = {AttemptEnd::Refused, Code::TargetRefused, state.target.report(now()), 503};
        answer(id, RefusalTime);
    }

    void done(size_t index, uint64_t generation)
    {
        TargetState &state = m_targets[index];
        if (generation != state.generation) {
            return;
        }
        const uint64_t id = state.target.takeDone(now());
        m_calls[id].report = {AttemptEnd::Answered, Code::Ok, state.target.report(now()), 200};
        answer(id, Duration(0));
        reschedule(index);
    }

    void answer(uint64_t id, Duration after)
    {
        Call &call = m_calls[id];
        TargetState &state = m_targets[call.targetIndex];
        call.onTarget = false;
        --state.committed;
        push(now() + after + oneWayDelay(call.entry % DataCentres, state.dataCentre), Kind::Response, id);
    }

    void reschedule(size_t index)
    {
        TargetState &state = m_targets[index];
        ++state.generation;
        const TimePoint next = state.target.nextDone();
        if (next != Never) {
            push(std::max(next, now()), Kind::Done, index, state.generation);
        }
    }

    void changeSpeed(size_t index)
    {
        TargetState &state = m_targets[index];
        if (now() >= m_end + Deadline) {
            return;
        }
        const bool first = now() == m_start;
        state.noisy = first ? exponential(state.random, 1) < NoisyMeanMs / (NoisyMeanMs + QuietMeanMs) : !state.noisy;
        state.target.setSpeed(state.noisy ? NoisySpeed : 1, now());
        push(now() + fromMilliseconds(exponential(state.random, state.noisy ? NoisyMeanMs : QuietMeanMs)), Kind::Speed,
             index);
        reschedule(index);
    }

    void handleResponse(uint64_t id)
    {
        Call &call = m_calls[id];
        if (!call.sent) {
            return;
        }
        call.sent = false;
        const Permit permit = std::move(call.permit);
        const PermitReport report = call.report;
        m_entries[call.entry]->balancer.finish(permit, report);
        if (report.end == AttemptEnd::Answered) {
            end(id, true);
        } else if (call.attempts < MaxAttempts) {
            call.avoid = permit.address->name;
            attempt(id);
        } else {
            end(id, false);
        }
    }

    void timeOut(uint64_t id)
    {
        Call &call = m_calls[id];
        if (call.ended || !call.sent) {
            return; // the balancer itself refuses queued calls past their deadline
        }
        call.sent = false;
        if (call.onTarget) {
            TargetState &state = m_targets[call.targetIndex];
            --state.committed;
            state.target.cancel(id, now());
            reschedule(call.targetIndex);
        }
        m_entries[call.entry]->balancer.finish(call.permit, {AttemptEnd::Lost, Code::AnswerTimeout, {}, 0});
        end(id, false);
    }

    void end(uint64_t id, bool answered)
    {
        Call &call = m_calls[id];
        call.ended = true;
        if (call.arrivedAt < m_measureFrom) {
            return;
        }
        m_result.useful += answered ? 1 : 0;
        m_result.latencies.push_back(toMilliseconds(answered ? now() - call.arrivedAt : Deadline));
    }

    void startFaults()
    {
        const auto fault = [&](size_t index, Fault kind) {
            m_targets[index].target.setFault(kind, now());
            reschedule(index);
        };
        if (m_options.scenario == "slow10") {
            fault(1, Fault::Slow);
        } else if (m_options.scenario == "failfast") {
            fault(1, Fault::FailFast);
        } else if (m_options.scenario == "draining") {
            fault(1, Fault::Draining);
            fault(2, Fault::Draining);
        }
    }

    RunOptions m_options;
    Clock m_clock;
    std::mt19937_64 m_arrivals;
    bool m_noisy;
    TimePoint m_start{};
    TimePoint m_measureFrom{};
    TimePoint m_end{};
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    uint64_t m_order = 0;
    std::vector<TargetState> m_targets;
    std::map<std::string, size_t, std::less<>> m_byName;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::deque<Call> m_calls;
    std::deque<LoadUpdate> m_probeUpdates; // indexed by the probe number of a ProbeResponse
    RunResult m_result;
};

} // namespace

RunResult run(const RunOptions &options)
{
    return Run(options).go();
}

double percentile(std::span<const double> sorted, double share)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto n = static_cast<size_t>(share * static_cast<double>(sorted.size() - 1));
    return sorted[n];
}

} // namespace damask::bench
