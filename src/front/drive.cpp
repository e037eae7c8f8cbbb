#include "front/state.h"

#include "base/check.h"

#include <algorithm>
#include <sys/socket.h>
#include <utility>

namespace damask {

namespace {

constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr Duration LingerTimeout = std::chrono::seconds(1); // for the caller to close after the last response

} // namespace

void FrontServer::State::drive(const CallerPtr &it, Calls &started)
{
    noteUnread(*it);
    bool driving = true;
    while (driving) {
        takeResponses(*it);
        if (!flush(it)) {
            return;
        }
        if (it->close) {
            linger(it);
            return;
        }
        driving = it->slots.empty() ? readFirst(it, started) : readAhead(it, started);
    }
}

bool FrontServer::State::readFirst(const CallerPtr &it, Calls &started)
{
    if (it->malformed && it->malformed->code != Code::HeaderTooLarge && it->malformed->code != Code::BodyTooLarge) {
        refuseAndClose(*it, *it->malformed);
        return true;
    }
    if (!it->next) {
        it->malformed.reset(); // a size limit may have been raised since
        const auto complete = advanceReader(*it);
        updateBufferedBytes(*it);
        if (!complete) {
            refuseAndClose(*it, complete.error());
        } else if (*complete) {
            takeRequest(*it);
        } else if (bufferedBytes > options.maxBufferedBytes && !it->reader.idle()) {
            refuseAndClose(*it, {Code::EntryBusy, "too many bytes of requests and responses are buffered"});
        } else if (it->reader.takeContinueDue()) {
            it->out = Continue;
        } else if (mayStream(*it)) {
            takeStreaming(it);
        } else {
            parkForReading(it);
            return false;
        }
    }
    if (it->next) {
        startNext(it, started);
    }
    return true;
}

/// Bodies that are streamed and those for which the caller waits to be told to continue are read once nothing is in
/// flight: both use the connection in a way that pending responses would interrupt.
bool FrontServer::State::readAhead(const CallerPtr &it, Calls &started)
{
    if (it->next) {
        return startNext(it, started) || !parkForServing(it, false);
    }
    const PipelineHold hold = readHold(*it);
    if (it->malformed || hold != PipelineHold::None) {
        if (!it->reader.idle()) {
            recordHold(*it, hold);
        }
        return !parkForServing(it, false);
    }
    const auto complete = advanceReader(*it);
    updateBufferedBytes(*it);
    if (!complete) {
        it->malformed = complete.error();
        return true;
    }
    if (*complete) {
        takeRequest(*it);
        return true;
    }
    return !parkForServing(it, readHold(*it) == PipelineHold::None && !mayStream(*it));
}

bool FrontServer::State::flush(const CallerPtr &it)
{
    bool moved = false;
    while (it->sent < it->out.size()) {
        const Transfer transfer = sendFrom(it->socket.get(), std::string_view(it->out).substr(it->sent));
        if (transfer.end == TransferEnd::Closed) {
            close(it);
            return false;
        }
        it->sent += transfer.bytes;
        moved = moved || transfer.bytes > 0;
        if (transfer.end == TransferEnd::WouldBlock) {
            const bool restart = moved || it->deadline == Never;
            updateBufferedBytes(*it);
            park(it, Phase::Writing, EPOLLOUT, restart ? clock.now() + options.writeTimeout : it->deadline);
            return false;
        }
    }
    if (!it->out.empty()) {
        it->out.clear();
        it->sent = 0;
        updateBufferedBytes(*it);
        setDeadline(*it, Never); // of a response that had to wait for the caller
    }
    return true;
}

void FrontServer::State::linger(const CallerPtr &it)
{
    std::vector<SlotPtr> dropped;
    {
        LockGuard lock(mutex);
        dropped = dropSlots(*it);
    }
    cancelCalls(dropped);
    it->next.reset();
    updateBufferedBytes(*it);
    ::shutdown(it->socket.get(), SHUT_WR);
    // A caller may read the response only after it has sent the rest of its body, which is discarded.
    const Duration rest = it->reader.bodyEnded() ? Duration::zero() : limitsFor(*it).requestTimeout;
    park(it, Phase::Lingering, EPOLLIN | EPOLLRDHUP, clock.now() + std::max(LingerTimeout, rest));
}

void FrontServer::State::parkForReading(const CallerPtr &it)
{
    const bool idle = it->reader.idle();
    if (idle) {
        it->firstByteAt = Never;
        it->idleSince = clock.now();
    }
    if (!park(it, Phase::Reading, EPOLLIN | EPOLLRDHUP,
              idle ? Never : readDeadline(*it, it->firstByteAt + it->unread, it->bufferedBytes))) {
        linger(it);
    }
}

/// Hands the connection to the poller until one of the events occurs or the deadline passes, which for an idle one is
/// that of its idle timeout. False if it is idle while
/// the front is stopping. Phase and deadline change under one lock: the poller ignores the expiry of a connection that
/// is Driven or Serving, so a deadline that was set earlier could expire unnoticed.
bool FrontServer::State::park(const CallerPtr &it, Phase phase, uint32_t interest, TimePoint deadline)
{
    LockGuard lock(mutex);
    const bool idle = phase == Phase::Reading && it->reader.idle();
    if (stopping && idle && it->requests > 0 && !hasInput(it->socket.get())) {
        return false;
    }
    it->phase = phase;
    it->unreadSince = phase == Phase::Writing ? clock.now() : Never;
    setDeadline(*it, idle ? idleEnd(*it) : deadline); // under the lock, so that updateIdleEnds() misses none
    const bool cancels = phase == Phase::Writing && !it->slots.empty() && !it->hungUp;
    events.arm(it->socket.get(), it->id, interest | (cancels ? uint32_t{EPOLLRDHUP} : 0));
    return true;
}

/// Parks a connection with calls in flight. A response that became ready since the last look must not be left behind,
/// as its thread saw that the connection was being driven.
bool FrontServer::State::parkForServing(const CallerPtr &it, bool readable)
{
    LockGuard lock(mutex);
    if (it->slots.front()->done) {
        return false;
    }
    it->phase = Phase::Serving;
    it->readable = readable && !it->hungUp;
    it->unreadSince = it->readable ? Never : clock.now();
    setDeadline(*it, Never);
    if (!it->hungUp) { // it would be reported again at once
        events.arm(it->socket.get(), it->id, EPOLLRDHUP | (it->readable ? uint32_t{EPOLLIN} : 0));
    }
    return true;
}

void FrontServer::State::close(const CallerPtr &it)
{
    setDeadline(*it, Never);
    bufferedBytes -= it->bufferedBytes;
    it->bufferedBytes = 0;
    std::vector<SlotPtr> dropped;
    {
        LockGuard lock(mutex);
        it->phase = Phase::Closed;
        dropped = dropSlots(*it);
        events.remove(it->socket.get());
        connections.erase(it->id);
        openConnections.Set(static_cast<double>(connections.size()));
        changed.notifyAll();
    }
    cancelCalls(dropped);
}

/// Every byte received extends the deadline, so that a large body on a slow link is accepted but a trickle is not. A
/// request that is incomplete at the last answer of the process can't be answered any more.
TimePoint FrontServer::State::readDeadline(CallerConnection &it, TimePoint began, size_t received) const
{
    const double earnedSeconds = static_cast<double>(received) / static_cast<double>(options.minBytesPerSecond);
    return std::min(began + limitsFor(it).requestTimeout + fromMilliseconds(earnedSeconds * 1000), lastAnswerAt.load());
}

ArrivalLimits FrontServer::State::limitsFor(CallerConnection &it) const
{
    LockGuard lock(it.arrivalMutex);
    return it.limits.forRequestAt(it.reader.offset());
}

Transfer FrontServer::State::receive(CallerConnection &it, std::span<char> buf) const
{
    LockGuard lock(it.arrivalMutex);
    const Transfer out = receiveInto(it.socket.get(), buf);
    it.received += out.bytes;
    return out;
}

Result<bool> FrontServer::State::advanceReader(CallerConnection &it)
{
    it.reader.setLimits(limitsFor(it).size);
    return it.reader.advance();
}

/// Time at which an idle connection is closed, by the idle timeout currently in force.
TimePoint FrontServer::State::idleEnd(const CallerConnection &it) const
{
    const Duration timeout(idleTimeout.load());
    return timeout > Duration::zero() && it.requests > 0 ? it.idleSince + timeout : Never;
}

void FrontServer::State::setDeadline(CallerConnection &it, TimePoint deadline)
{
    if (it.deadline != deadline) {
        it.deadline = deadline;
        timer.set(it.id, deadline);
    }
}

/// A request that arrives slowly because the front does not read it is not the caller's fault.
void FrontServer::State::noteUnread(CallerConnection &it)
{
    const TimePoint since = std::exchange(it.unreadSince, Never);
    if (since != Never && it.firstByteAt != Never) {
        it.unread += clock.now() - std::max(since, it.firstByteAt);
    }
}

/// Updates the total of buffered bytes with the incomplete and the waiting request and the responses being sent. Bytes
/// of requests in flight are counted with their slots.
void FrontServer::State::updateBufferedBytes(CallerConnection &it)
{
    const size_t now = it.reader.bufferedBytes() + it.out.size() + (it.next ? it.next->bodyBytes : 0);
    bufferedBytes += now - it.bufferedBytes; // unsigned wrap-around subtracts when the amount shrank
    it.bufferedBytes = now;
}

} // namespace damask
