#include "programs/damask-entry/entry.h"

#include "base/log.h"
#include "base/worker_pool.h"
#include "operate/routes.h"
#include "programs/damask-entry/probing.h"
#include "programs/damask-entry/status_json.h"

#include <atomic>

namespace damask {

namespace {

constexpr Duration IdleCloseInterval = std::chrono::seconds(5); // between sweeps of idle connections to targets
constexpr size_t MaxExplainedCalls = 20;                        // calls of a service returned by /why

} // namespace

struct Entry::State {
    State(Clock &c, Metrics &m, const EntryOptions &o);

    AttemptResult send(const Attempt &attempt);
    bool mayAct();
    void apply(std::shared_ptr<const Configuration> next);
    Result<void> ready();
    std::string status();
    OperateResponse explainCall(const OperateRequest &request) const;
    std::shared_ptr<const Configuration> inForce();
    void closeIdleLoop();
    void waitShutdownDelay();
    void logStart();

    Clock &clock;
    Metrics &metrics;
    EntryOptions options;
    std::atomic<bool> leaving{false};

    RankedMutex mutex{LockRank::Configuration};
    std::shared_ptr<const Configuration> configuration; // under mutex

    RankedMutex stopMutex{LockRank::Program};
    Condition stopChanged; // wakes the idle closer
    bool stopped = false;  // under stopMutex

    Sender sender;
    WorkerPool hedges;
    Balancer balancer;
    Dispatcher dispatcher;
    Probing probing;
    FrontServer front;
    KeeperLink keeper;
    OperateServer operate;
    Thread idleCloser;
};

namespace {

OperateOptions withRefusalMetric(OperateOptions options, Metrics &metrics)
{
    options.refused = [&metrics](Code code) {
        metrics.countCode("damask_operate_refusals_total", code);
    };
    return options;
}

} // namespace

Entry::State::State(Clock &c, Metrics &m, const EntryOptions &o)
    : clock(c)
    , metrics(m)
    , options(o)
    , stopChanged(c)
    , sender(c, m, o.sender)
    , hedges(c, {.name = "hedge", .threads = o.hedgeWorkers, .queueLimit = o.hedgeWorkers})
    , balancer(c, m, o.balancer)
    , dispatcher(c, m, balancer, o.dispatcher,
                 {.send = [this](const Attempt &attempt) { return send(attempt); },
                  .runAsync =
                      [this](std::function<void()> work) {
                          return hedges.submit(std::move(work)).has_value();
                      }})
    , probing(c, m, o.probing,
              {.status = [this](std::string_view service) { return balancer.status(service); },
               .probe = [this](std::string_view address, uint16_t port,
                               Duration timeout) { return sender.probe(address, port, timeout); },
               .updateLoad =
                   [this](std::span<const LoadUpdate> updates) {
                       balancer.updateLoad(updates);
                   }})
    , front(c, m, o.front,
            [this](const CallRequest &call, CancelToken &cancel) { return dispatcher.dispatch(call, cancel); })
    , keeper(c, m, o.keeper,
             {.apply = [this](std::shared_ptr<const Configuration> next) { apply(std::move(next)); },
              .updateLoad = [this](std::span<const LoadUpdate> updates) { balancer.updateLoad(updates); },
              .loadSnapshot =
                  [this] {
                      return balancer.loadSnapshot();
                  }})
    , operate(withRefusalMetric(o.operate, m))
{
}

/// An entry without a keeper, as in tests, controls itself and may always act.
bool Entry::State::mayAct()
{
    return options.keeper.keeper.empty() || keeper.mayAct();
}

/// Checks mayAct() right before each attempt, since after a pause the local configuration may no longer be in force.
AttemptResult Entry::State::send(const Attempt &attempt)
{
    if (mayAct()) {
        return sender.send(attempt);
    }
    AttemptResult refusal;
    refusal.end = AttemptEnd::NotSent;
    refusal.code = Code::EntryPaused;
    return refusal;
}

void Entry::State::apply(std::shared_ptr<const Configuration> next)
{
    balancer.apply(next);
    dispatcher.apply(next);
    probing.apply(next);
    logEvent(Severity::Info, "configuration-applied", {{"revision", next->revision}});
    LockGuard lock(mutex);
    configuration = std::move(next);
}

std::shared_ptr<const Configuration> Entry::State::inForce()
{
    LockGuard lock(mutex);
    return configuration;
}

Result<void> Entry::State::ready()
{
    if (leaving) {
        return fail(Code::EntryLeaving, "the entry is stopping");
    }
    if (!mayAct()) {
        return fail(Code::EntryPaused,
                    "the entry was paused and waits for the keeper to confirm the configuration in force");
    }
    if (!inForce()) {
        return fail(Code::NoConfiguration, "no configuration received from the keeper yet");
    }
    return {};
}

std::string Entry::State::status()
{
    EntryStatus out;
    out.instance = options.instance;
    out.dataCentre = options.balancer.dataCentre;
    out.leaving = leaving;
    out.keeperSilence = keeper.silence();
    out.attempts = balancer.inFlight();
    out.front = front.status();
    if (const auto now = inForce()) {
        out.revision = now->revision;
        for (const Service &it : now->services) {
            out.services.push_back({it.name, balancer.status(it.name)});
        }
    }
    return toJson(out);
}

OperateResponse Entry::State::explainCall(const OperateRequest &request) const
{
    const auto id = request.query.find("request");
    const auto service = request.query.find("service");
    if ((id == request.query.end()) == (service == request.query.end())) {
        return operateError(400, {Code::BadRequest, "the query needs either request=ID or service=NAME"});
    }
    if (service != request.query.end()) {
        return {200, "application/json", dispatcher.recentCalls(service->second, MaxExplainedCalls) + "\n"};
    }
    const std::string trace = dispatcher.explainCall(id->second);
    if (trace.empty()) {
        return operateError(404,
                            {Code::NotFound, "this entry did not serve the request, or no longer keeps its trace"});
    }
    return {200, "application/json", trace + "\n"};
}

/// Closes idle connections to targets at a fixed interval until the entry stops.
void Entry::State::closeIdleLoop()
{
    LockGuard lock(stopMutex);
    while (!stopped) {
        const TimePoint next = clock.now() + IdleCloseInterval;
        while (!stopped && stopChanged.waitUntil(lock, next)) { }
        sender.closeIdle();
    }
}

/// Keeps the port open after readiness has failed, so that whoever routes callers here notices first.
void Entry::State::waitShutdownDelay()
{
    RankedMutex waitMutex{LockRank::Program};
    Condition waitCondition(clock);
    LockGuard lock(waitMutex);
    const TimePoint until = clock.now() + options.shutdownDelay;
    while (waitCondition.waitUntil(lock, until)) { }
}

void Entry::State::logStart()
{
    logEvent(Severity::Info, "entry-started",
             {{"instance", options.instance},
              {"dataCentre", options.balancer.dataCentre},
              {"callerPort", static_cast<int>(front.port())},
              {"operatorPort", static_cast<int>(operate.port())}});
}

Entry::Entry(Clock &clock, Metrics &metrics, const EntryOptions &options)
    : m_state(std::make_unique<State>(clock, metrics, options))
{
}

Entry::~Entry()
{
    stop();
}

Result<void> Entry::start()
{
    State &state = *m_state;
    addStandardRoutes(state.operate, state.metrics,
                      {.ready = [&state] { return state.ready(); },
                       .status =
                           [&state] {
                               return state.status();
                           }});
    state.operate.route("GET", "/why", [&state](const OperateRequest &request) { return state.explainCall(request); });
    auto started = state.operate.start();
    if (started) {
        started = state.front.start();
    }
    if (!started) {
        return started;
    }
    if (!state.options.keeper.keeper.empty()) {
        state.keeper.start();
    }
    state.probing.start();
    state.idleCloser = Thread("entry-tidy", [&state] { state.closeIdleLoop(); });
    state.logStart();
    return {};
}

void Entry::stop()
{
    State &state = *m_state;
    if (!state.idleCloser.running()) {
        return;
    }
    logEvent(Severity::Info, "entry-leaving",
             {{"callsInFlight", static_cast<uint64_t>(state.front.status().callsInFlight)}});
    state.leaving = true;
    state.front.startDraining();
    state.waitShutdownDelay();
    state.front.stop();
    state.keeper.stop();
    state.probing.stop();
    {
        LockGuard lock(state.stopMutex);
        state.stopped = true;
        state.stopChanged.notifyAll();
    }
    state.idleCloser.join();
    state.operate.stop();
    logEvent(Severity::Info, "entry-stopped");
}

void Entry::apply(std::shared_ptr<const Configuration> configuration)
{
    m_state->apply(std::move(configuration));
}

uint16_t Entry::callerPort() const
{
    return m_state->front.port();
}

uint16_t Entry::operatorPort() const
{
    return m_state->operate.port();
}

} // namespace damask
