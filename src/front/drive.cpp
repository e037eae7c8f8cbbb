#include "front/state.h"

#include "base/check.h"

#include <sys/socket.h>

namespace damask {

namespace {

constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr Duration LingerTimeout = std::chrono::seconds(1); // for a caller to close after our last answer

} // namespace

WorkerPool::Task FrontServer::State::drive(const CallerPtr &it)
{
    while (flush(it)) {
        if (it->close) {
            linger(it);
            return nullptr;
        }
        const auto whole = it->reader.advance();
        account(*it);
        if (!whole) {
            refuseAndClose(*it, whole.error());
        } else if (*whole) {
            WorkerPool::Task call = startCall(it);
            if (call) {
                return call;
            }
        } else if (heldBytes > options.maxHeldBytes && !it->reader.idle()) {
            refuseAndClose(*it, {Code::EntryBusy, "too many large requests are coming in at once"});
        } else if (it->reader.takeContinueDue()) {
            it->out = Continue;
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
        const Transfer given = sendFrom(it->socket.get(), std::string_view(it->out).substr(it->sent));
        if (given.end == TransferEnd::Closed) {
            close(it);
            return false;
        }
        it->sent += given.bytes;
        moved = moved || given.bytes > 0;
        if (given.end == TransferEnd::WouldBlock) {
            if (moved || it->deadline == Never) {
                setDeadline(*it, clock.now() + options.takeTimeout);
            }
            account(*it);
            park(it, Phase::Writing, EPOLLOUT);
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
    setDeadline(*it, clock.now() + LingerTimeout);
    park(it, Phase::Lingering, EPOLLIN | EPOLLRDHUP);
}

void FrontServer::State::parkForReading(const CallerPtr &it)
{
    if (it->reader.idle()) {
        it->firstByteAt = Never;
        it->idleSince = clock.now();
        setDeadline(*it, idleEnd(*it));
    } else {
        setDeadline(*it, readDeadline(*it));
    }
    if (!park(it, Phase::Reading, EPOLLIN | EPOLLRDHUP)) {
        linger(it);
    }
}

/// Gives the connection up until one of the events. False when it is idle while the front stops.
bool FrontServer::State::park(const CallerPtr &it, Phase phase, uint32_t wanted)
{
    LockGuard lock(mutex);
    const bool idle = phase == Phase::Reading && it->reader.idle();
    if (stopping && idle && it->requests > 0 && !hasInput(it->socket.get())) {
        return false;
    }
    it->phase = phase;
    it->cancel = nullptr;
    events.arm(it->socket.get(), it->id, wanted);
    return true;
}

void FrontServer::State::close(const CallerPtr &it)
{
    setDeadline(*it, Never);
    heldBytes -= it->heldBytes;
    it->heldBytes = 0;
    LockGuard lock(mutex);
    events.remove(it->socket.get());
    connections.erase(it->id);
    openConnections.Set(static_cast<double>(connections.size()));
    changed.notifyAll();
}

/// Each byte that has come buys some time, so that a large body on a slow line is taken and a trickle is not.
TimePoint FrontServer::State::readDeadline(const CallerConnection &it) const
{
    const double bought = static_cast<double>(it.heldBytes) / static_cast<double>(options.leastBytesPerSecond);
    return it.firstByteAt + Duration(sendTimeout.load()) + fromMilliseconds(bought * 1000);
}

/// When an idle connection closes, by the time-out in force now.
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

/// Counts what the connection holds of an incomplete request and of an answer not yet taken.
void FrontServer::State::account(CallerConnection &it)
{
    const size_t now = it.reader.heldBytes() + it.out.size();
    heldBytes += now - it.heldBytes; // wraps round when it shrank, and so subtracts
    it.heldBytes = now;
}

} // namespace damask
