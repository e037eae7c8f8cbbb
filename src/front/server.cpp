#include "front/server.h"

#include "front/state.h"

#include "base/check.h"
#include "base/log.h"

#include <algorithm>
#include <utility>

namespace damask {

namespace {

constexpr size_t ReadBufferBytes = 64 * 1024; // maximum received by one read
constexpr size_t SpareDescriptors = 1000;     // beyond callers: for targets, the control plane and operators
constexpr double LogLinesPerSecond = 5;       // for refused requests; the metrics count all of them
constexpr double LogBurst = 20;               // maximum number of such lines in a burst
constexpr uint64_t ListenerId = 1;            // event id of the listening socket

} // namespace

FrontServer::State::State(Clock &c, Metrics &m, const FrontOptions &o, CallHandler h, CallerProtocol p, StreamHook s,
                          RepeatHook r)
    : clock(c)
    , metrics(m)
    , options(o)
    , handler(std::move(h))
    , protocol(std::move(p))
    , streams(std::move(s))
    , repeats(std::move(r))
    , exchange(protocol)
    , admission(o.admission)
    , random(systemRandom())
    , requests(m.counter("damask_front_requests_total"))
    , wakeUps(m.counter("damask_front_poller_wakeups_total"))
    , cancelled(m.counter("damask_front_cancelled_total"))
    , pipelined(m.counter("damask_front_pipelined_total"))
    , openConnections(m.gauge("damask_front_connections"))
    , readBuffer(ReadBufferBytes)
    , nextId(ListenerId + 1)
    , logBudget({.perSecond = LogLinesPerSecond, .burst = LogBurst}, c.now())
    , changed(c)
    , limits{.size = o.limits, .requestTimeout = o.requestTimeout}
    , timer(c, [this] { events.wake(); })
    , workers(c, {.name = "front-worker", .threads = o.admission.workers + 1, .queueLimit = o.admission.workers + 1})
{
}

FrontServer::FrontServer(Clock &clock, Metrics &metrics, const FrontOptions &options, CallHandler handler,
                         CallerProtocol protocol, StreamHook streams, RepeatHook repeats)
    : m_state(std::make_unique<State>(clock, metrics, options, std::move(handler), std::move(protocol),
                                      std::move(streams), std::move(repeats)))
{
}

FrontServer::~FrontServer()
{
    stop();
}

Result<void> FrontServer::start()
{
    State &state = *m_state;
    auto listener = listenOn(state.options.address, state.options.port, state.options.backlog);
    if (!listener) {
        return tl::make_unexpected(listener.error());
    }
    const size_t descriptors = raiseDescriptorLimit();
    if (descriptors < state.options.maxConnections + SpareDescriptors) {
        logEvent(Severity::Warning, "few-descriptors",
                 {{"limit", static_cast<uint64_t>(descriptors)},
                  {"maxConnections", static_cast<uint64_t>(state.options.maxConnections)},
                  {"advice", "raise the limit of open files, or lower max-connections"}});
    }
    state.port = boundPort(listener->get());
    state.listener = std::move(*listener);
    state.listening = true;
    const bool added = state.events.add(state.listener.get(), ListenerId, EPOLLIN);
    DAMASK_ASSERT(added, "raise the limit of open files: the listening socket could not be added to epoll");
    state.running = true;
    state.submit([&state] { state.poll(); });
    return {};
}

void FrontServer::setLimits(const RequestLimits &limits, Duration idleTimeout, Duration requestTimeout)
{
    State &state = *m_state;
    if (state.idleTimeout.exchange(idleTimeout.count()) != idleTimeout.count()) {
        state.idleTimeoutChanged = true;
        state.events.wake();
    }
    const ArrivalLimits newest{.size = limits, .requestTimeout = requestTimeout};
    std::vector<CallerPtr> open;
    {
        LockGuard lock(state.mutex);
        if (state.limits == newest) {
            return;
        }
        state.limits = newest;
        open.reserve(state.connections.size());
        for (const auto &[id, it] : state.connections) {
            open.push_back(it);
        }
    }
    for (const CallerPtr &it : open) {
        LockGuard lock(it->arrivalMutex);
        it->limits.change(newest, it->received + pendingInput(it->socket.get()));
    }
}

void FrontServer::startDraining(TimePoint lastAnswerAt)
{
    m_state->lastAnswerAt = std::min(m_state->lastAnswerAt.load(), lastAnswerAt);
    m_state->draining = true;
}

void FrontServer::stop()
{
    State &state = *m_state;
    if (!std::exchange(state.running, false)) {
        return;
    }
    startDraining();
    {
        LockGuard lock(state.mutex);
        state.stopping = true;
    }
    state.events.wake();
    {
        LockGuard lock(state.mutex);
        while (state.listening || !state.connections.empty()) {
            state.changed.wait(lock);
        }
    }
    state.done = true;
    state.events.wake();
    state.workers.drain();
}

uint16_t FrontServer::port() const
{
    return m_state->port;
}

FrontStatus FrontServer::status() const
{
    FrontStatus out;
    {
        LockGuard lock(m_state->mutex);
        out.connections = m_state->connections.size();
    }
    out.callsInFlight = m_state->admission.busy();
    out.bufferedBytes = m_state->bufferedBytes;
    out.pollerWakeUps = m_state->wakeUpCount;
    out.workerTasks = m_state->taskCount;
    return out;
}

} // namespace damask
