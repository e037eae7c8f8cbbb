#include "front/state.h"

#include "base/log.h"
#include "front/translate.h"

#include <array>
#include <cstdio>

namespace damask {

namespace {

std::string makeRequestId(const RandomSource &random)
{
    std::array<char, 40> buf{};
    std::snprintf(buf.data(), buf.size(), "%016llx%016llx", static_cast<unsigned long long>(random()),
                  static_cast<unsigned long long>(random()));
    return buf.data();
}

bool isServable(std::string_view method, std::string_view path)
{
    return method != "CONNECT" && (path.starts_with('/') || (path == "*" && method == "OPTIONS"));
}

} // namespace

/// Takes the request that the reader has ready and gives the call that serves it. None when it was answered here,
/// with a refusal.
WorkerPool::Task FrontServer::State::startCall(const CallerPtr &it)
{
    WholeRequest whole = it->reader.take();
    account(*it);
    setDeadline(*it, Never);
    requests.Increment();
    ++it->requests;
    it->head = {};
    it->head.line = whole.head.line;
    it->head.close = whole.head.close;
    it->head.keepAlive = whole.head.keepAlive;
    const TimePoint arrivedAt = it->firstByteAt == Never ? clock.now() : it->firstByteAt;
    it->firstByteAt = it->reader.idle() ? Never : clock.now();
    auto call = toCall(std::move(whole),
                       {it->peer, arrivedAt,
                        [this] {
                            return makeRequestId(random);
                        }},
                       form);
    if (!call) {
        answerHere(*it, {}, call.error());
        return nullptr;
    }
    if (!admission.enter(call->depth)) {
        answerHere(*it, call->requestId, {Code::EntryBusy, "all workers for this depth are in use"});
        return nullptr;
    }
    const auto cancel = std::make_shared<CancelToken>();
    {
        LockGuard lock(mutex);
        it->phase = Phase::Serving;
        it->cancel = cancel;
        events.arm(it->socket.get(), it->id, EPOLLRDHUP);
    }
    return [this, it, cancel, request = std::move(*call)]() mutable {
        serve(it, request, *cancel);
    };
}

void FrontServer::State::serve(const CallerPtr &it, CallRequest &call, CancelToken &cancel)
{
    ++taskCount;
    const auto hook = [&](std::string_view method, std::string_view path) {
        if (!isServable(method, path)) {
            const Error error{Code::BadRequest, "the method or the form of the target is not served"};
            countRefusal(error.code);
            return refusal(error);
        }
        call.method = method;
        call.path = path;
        return answerCall(call, cancel);
    };
    EncodedAnswer answer = exchange.run(it->head, call.requestId, hook);
    admission.leave();
    it->out = std::move(answer.bytes);
    it->close = answer.close || cancel.cancelled();
    WorkerPool::Task next = drive(it);
    if (next) {
        submit(std::move(next));
    }
}

CallResponse FrontServer::State::answerCall(const CallRequest &call, CancelToken &cancel)
{
    CallResponse answer = handler(call, cancel);
    if (answer.code != Code::Ok && answer.body.empty()) {
        CallResponse said = refusal({answer.code, "see docs/CODES.md"});
        answer.headers = std::move(said.headers);
        answer.body = std::move(said.body);
    }
    return answer;
}

/// Answers a well-formed request with a refusal on its open connection.
void FrontServer::State::answerHere(CallerConnection &it, std::string_view requestId, const Error &error)
{
    countRefusal(error.code);
    CallResponse answer = refusal(error);
    if (error.code == Code::EntryBusy) {
        answer.retryAfter = options.retryAfter;
    }
    const auto hook = [&answer](std::string_view, std::string_view) {
        return answer;
    };
    EncodedAnswer encoded = exchange.run(it.head, requestId, hook);
    it.out = std::move(encoded.bytes);
    it.close = encoded.close;
}

/// Answers what could not be read as a request; the connection closes, for nobody knows where the next one begins.
void FrontServer::State::refuseAndClose(CallerConnection &it, const Error &error)
{
    countRefusal(error.code);
    if (mayLog()) {
        logEvent(Severity::Info, "request-refused",
                 {{"code", codeNumber(error.code)}, {"peer", it.peer}, {"detail", error.detail}});
    }
    CallResponse answer = refusal(error);
    if (answer.status == 503) {
        answer.retryAfter = options.retryAfter;
    }
    it.out = exchange.refuse(answer);
    it.sent = 0;
    it.close = true;
    setDeadline(it, Never);
}

/// A flood of bad requests must not become a flood of log lines.
bool FrontServer::State::mayLog()
{
    LockGuard lock(logMutex);
    return logBudget.take(1, clock.now());
}

void FrontServer::State::countRefusal(Code code)
{
    metrics.countCode("damask_front_refusals_total", code);
}

} // namespace damask
