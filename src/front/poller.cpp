#include "front/state.h"

#include "base/check.h"
#include "base/log.h"
#include "front/translate.h"

#include <algorithm>
#include <array>
#include <utility>

namespace damask {

namespace {

constexpr uint64_t ListenerId = 1;           // event id of the listening socket
constexpr size_t MaxEventsPerWait = 256;     // of one epoll_wait()
constexpr size_t MaxRefusedConnections = 64; // above maxConnections, answered with an error instead of just closed
constexpr Duration FirstRequestGracePeriod = std::chrono::seconds(1); // for new connections at a stop
constexpr Duration AcceptRetryDelay = std::chrono::seconds(1);        // after running out of descriptors

} // namespace

/// Polls until a call arrives, then hands polling over to another worker and serves the call itself (leader/followers).
/// A call that arrives alone, as most do, therefore needs no hand-over between threads.
void FrontServer::State::poll()
{
    std::array<epoll_event, MaxEventsPerWait> buf{};
    while (!done && startedCalls.empty()) {
        pollFrom(buf);
    }
    if (startedCalls.empty()) {
        return;
    }
    const WorkerPool::Task own = std::move(startedCalls.back());
    startedCalls.pop_back();
    for (WorkerPool::Task &it : startedCalls) {
        submit(std::move(it));
    }
    startedCalls.clear();
    submit([this] { poll(); });
    own();
}

void FrontServer::State::pollFrom(std::span<epoll_event> buf)
{
    const auto ready = events.wait(buf);
    wakeUps.Increment();
    ++wakeUpCount;
    for (const epoll_event &it : ready) {
        onEvent(it);
    }
}

/// Advances a connection. Calls that this starts are served after all events of the current wait have been handled.
void FrontServer::State::advance(const CallerPtr &it)
{
    drive(it, startedCalls);
}

void FrontServer::State::submit(WorkerPool::Task task)
{
    const auto submitted = workers.submit(std::move(task));
    DAMASK_ASSERT(submitted.has_value(), "the worker pool must have room for every admitted call and the poller");
}

void FrontServer::State::onEvent(const epoll_event &event)
{
    if (event.data.u64 == EventPoll::WakeId) {
        onWake();
        return;
    }
    if (event.data.u64 == ListenerId) {
        acceptAll();
        return;
    }
    Phase phase = Phase::Reading;
    const CallerPtr it = take(event, phase);
    if (!it) {
        return;
    }
    if (phase == Phase::Lingering) {
        onLingering(it);
    } else if (phase == Phase::Writing) {
        advance(it);
    } else {
        onReadable(it);
    }
}

void FrontServer::State::onWake()
{
    for (const uint64_t id : timer.takeExpired()) {
        onExpired(id);
    }
    if (idleTimeoutChanged.exchange(false)) {
        updateIdleEnds();
    }
    bool stop = false;
    {
        LockGuard lock(mutex);
        stop = stopping;
    }
    if (!stop) {
        return;
    }
    if (listener.valid()) {
        acceptAll();
        events.remove(listener.get());
        listener.reset();
        timer.set(ListenerId, Never);
        closeIdle();
        limitReading();
        LockGuard lock(mutex);
        listening = false;
        changed.notifyAll();
    }
}

void FrontServer::State::onExpired(uint64_t id)
{
    if (id == ListenerId) {
        acceptAll();
        return;
    }
    CallerPtr it;
    Phase phase = Phase::Serving;
    {
        LockGuard lock(mutex);
        const auto found = connections.find(id);
        if (found == connections.end()) {
            return;
        }
        it = found->second;
        phase = it->phase;
    }
    if (phase == Phase::Driven || phase == Phase::Serving || it->deadline > clock.now()) {
        return;
    }
    it->deadline = Never;
    if (phase == Phase::Reading && !it->reader.idle()) {
        const TimePoint until = readDeadline(*it, it->firstByteAt + it->unread, it->bufferedBytes);
        if (until > clock.now()) {
            setDeadline(*it, until); // the request timeout has been raised since
            return;
        }
        refuseAndClose(*it, clock.now() < lastAnswerAt.load()
                                ? Error{Code::SlowSender, "the request was not received completely before its deadline"}
                                : Error{Code::EntryLeaving, "the instance ends before the request is complete"});
        advance(it);
    } else if (phase == Phase::Reading && idleEnd(*it) != Never && idleEnd(*it) > clock.now()) {
        setDeadline(*it, idleEnd(*it)); // the idle timeout has been raised since
    } else if (phase == Phase::Reading) {
        if (!hasInput(it->socket.get())) {
            linger(it);
        }
    } else {
        close(it);
    }
}

void FrontServer::State::onReadable(const CallerPtr &it)
{
    const Transfer received = receive(*it, readBuffer);
    if (received.end == TransferEnd::Closed) {
        close(it);
        return;
    }
    if (received.end == TransferEnd::Moved) {
        if (it->firstByteAt == Never) {
            it->firstByteAt = clock.now();
        }
        it->reader.append(std::string_view(readBuffer.data(), received.bytes));
    }
    advance(it);
}

void FrontServer::State::onLingering(const CallerPtr &it)
{
    const Transfer received = receiveInto(it->socket.get(), readBuffer);
    if (received.end == TransferEnd::Closed) {
        close(it);
        return;
    }
    park(it, Phase::Lingering, EPOLLIN | EPOLLRDHUP, it->deadline);
}

void FrontServer::State::acceptAll()
{
    if (!listener.valid()) {
        return;
    }
    while (true) {
        AcceptResult accepted = acceptFrom(listener.get());
        if (accepted.end == AcceptEnd::Accepted) {
            addConnection(std::move(accepted));
            continue;
        }
        if (accepted.end == AcceptEnd::NonePending) {
            events.arm(listener.get(), ListenerId, EPOLLIN);
            return;
        }
        countRefusal(Code::TooManyConnections);
        logEvent(Severity::Error, "no-descriptors", {{"code", codeNumber(Code::SystemError)}});
        timer.set(ListenerId, clock.now() + AcceptRetryDelay);
        return;
    }
}

void FrontServer::State::addConnection(AcceptResult accepted)
{
    const uint64_t id = nextId++;
    CallerPtr it;
    size_t open = 0;
    {
        LockGuard lock(mutex);
        it = std::make_shared<CallerConnection>(id, std::move(accepted.socket), std::move(accepted.peer), limits);
        open = connections.size();
        if (open < options.maxConnections + MaxRefusedConnections) {
            connections.emplace(id, it);
            openConnections.Set(static_cast<double>(connections.size()));
        }
    }
    if (open >= options.maxConnections + MaxRefusedConnections || !events.add(it->socket.get(), id, 0)) {
        countRefusal(Code::TooManyConnections);
        close(it);
        return;
    }
    if (open >= options.maxConnections) {
        refuseAndClose(*it,
                       {Code::TooManyConnections, "too many open connections; retry later or use another instance"});
    }
    advance(it);
}

void FrontServer::State::closeIdle()
{
    std::vector<CallerPtr> idle;
    {
        LockGuard lock(mutex);
        for (const auto &[id, it] : connections) {
            if (it->phase == Phase::Reading && it->reader.idle()) {
                idle.push_back(it);
            }
        }
    }
    for (const CallerPtr &it : idle) {
        if (it->requests == 0) {
            setDeadline(*it, clock.now() + FirstRequestGracePeriod); // its first request may already be in transit
        } else if (!hasInput(it->socket.get())) {
            linger(it);
        }
    }
}

/// Applies an idle timeout to connections that have been parked under another one.
void FrontServer::State::updateIdleEnds()
{
    std::vector<CallerPtr> idle;
    {
        LockGuard lock(mutex);
        for (const auto &[id, it] : connections) {
            if (it->phase == Phase::Reading && it->reader.idle() && it->requests > 0) {
                idle.push_back(it);
            }
        }
    }
    for (const CallerPtr &it : idle) {
        setDeadline(*it, idleEnd(*it));
    }
}

/// Applies lastAnswerAt to requests of which a part had been read before.
void FrontServer::State::limitReading()
{
    std::vector<CallerPtr> incomplete;
    {
        LockGuard lock(mutex);
        for (const auto &[id, it] : connections) {
            if (it->phase == Phase::Reading && !it->reader.idle()) {
                incomplete.push_back(it);
            }
        }
    }
    for (const CallerPtr &it : incomplete) {
        setDeadline(*it, std::min(it->deadline, lastAnswerAt.load()));
    }
}

CallerPtr FrontServer::State::take(const epoll_event &event, Phase &phase)
{
    const bool hangsUp = (event.events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
    std::vector<SlotPtr> unanswered;
    CallerPtr it;
    {
        LockGuard lock(mutex);
        const auto found = connections.find(event.data.u64);
        if (found == connections.end() || found->second->phase == Phase::Driven) {
            return nullptr; // whoever drives it arms it again, and what has happened is then reported again
        }
        it = found->second;
        phase = it->phase;
        if (hangsUp && !it->slots.empty() && !it->hungUp) {
            it->hungUp = true;
            for (const SlotPtr &slot : it->slots) {
                if (!slot->done && !std::exchange(slot->cancelling, true)) {
                    unanswered.push_back(slot);
                }
            }
        }
        if (phase == Phase::Serving && (hangsUp || !it->readable)) {
            it = nullptr; // not readable: an event from before it was parked the last time
        } else if (phase != Phase::Lingering) {
            it->phase = Phase::Driven;
        }
    }
    cancelCalls(unanswered);
    return it;
}

} // namespace damask
