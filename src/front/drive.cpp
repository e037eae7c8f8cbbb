#include "front/state.h"

#include "base/check.h"

#include <algorithm>
#include <sys/socket.h>

namespace damask {

namespace {

constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr Duration LingerTimeout = std::chrono::seconds(1); // for the caller to close after the last response

} // namespace

WorkerPool::Task FrontServer::State::drive(const CallerPtr &it)
{
    while (flush(it)) {
        if (it->close) {
            linger(it);
            return nullptr;
        }
        const auto complete = it->reader.advance();
        updateBufferedBytes(*it);
        if (!complete) {
            refuseAndClose(*it, complete.error());
        } else if (*complete) {
            WorkerPool::Task call = startCall(it);
            if (call) {
                return call;
            }
        } else if (bufferedBytes > options.maxBufferedBytes && !it->reader.idle()) {
            refuseAndClose(*it, {Code::EntryBusy, "too many bytes of requests and responses are buffered"});
        } else if (it->reader.takeContinueDue()) {
            it->out = Continue;
        } else if (mayStream(*it)) {
            WorkerPool::Task call = startStreaming(it);
            if (call) {
                return call;
            }
        } else {
            parkForReading(it);
            return nullptr;
        }
    }
    return nullptr;
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
    }
    return true;
}

void FrontServer::State::linger(const CallerPtr &it)
{
    ::shutdown(it->socket.get(), SHUT_WR);
    // A caller may read the response only after it has sent the rest of its body, which is discarded.
    const Duration rest = it->reader.bodyEnded() ? Duration::zero() : Duration(requestTimeout.load());
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
              idle ? idleEnd(*it) : readDeadline(it->firstByteAt, it->bufferedBytes))) {
        linger(it);
    }
}

/// Hands the connection to the poller until one of the events occurs or the deadline passes. False if it is idle while
/// the front is stopping. Phase and deadline change under one lock: the poller ignores the expiry of a connection in
/// phase Serving, so a deadline that was set earlier could expire unnoticed.
bool FrontServer::State::park(const CallerPtr &it, Phase phase, uint32_t interest, TimePoint deadline)
{
    LockGuard lock(mutex);
    const bool idle = phase == Phase::Reading && it->reader.idle();
    if (stopping && idle && it->requests > 0 && !hasInput(it->socket.get())) {
        return false;
    }
    it->phase = phase;
    it->cancel = nullptr;
    setDeadline(*it, deadline);
    events.arm(it->socket.get(), it->id, interest);
    return true;
}

void FrontServer::State::close(const CallerPtr &it)
{
    setDeadline(*it, Never);
    bufferedBytes -= it->bufferedBytes;
    it->bufferedBytes = 0;
    LockGuard lock(mutex);
    events.remove(it->socket.get());
    connections.erase(it->id);
    openConnections.Set(static_cast<double>(connections.size()));
    changed.notifyAll();
}

/// Every byte received extends the deadline, so that a large body on a slow link is accepted but a trickle is not. A
/// request that is incomplete at the last answer of the process can't be answered any more.
TimePoint FrontServer::State::readDeadline(TimePoint began, size_t received) const
{
    const double earnedSeconds = static_cast<double>(received) / static_cast<double>(options.minBytesPerSecond);
    return std::min(began + Duration(requestTimeout.load()) + fromMilliseconds(earnedSeconds * 1000),
                    lastAnswerAt.load());
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

/// Updates the total of buffered bytes with the incomplete request, the body of the call in progress and the unsent
/// response of this connection.
void FrontServer::State::updateBufferedBytes(CallerConnection &it)
{
    const size_t now = it.reader.bufferedBytes() + it.out.size() + it.callBytes;
    bufferedBytes += now - it.bufferedBytes; // unsigned wrap-around subtracts when the amount shrank
    it.bufferedBytes = now;
}

} // namespace damask
