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

/// Takes the complete request from the reader and returns the task that serves it. Returns null if the request was
/// refused; the refusal is then ready to send.
WorkerPool::Task FrontServer::State::startCall(const CallerPtr &it)
{
    CompleteRequest complete = it->reader.take();
    updateBufferedBytes(*it);
    setDeadline(*it, Never);
    requests.Increment();
    ++it->requests;
    it->head = {};
    it->head.line = complete.head.line;
    it->head.close = complete.head.close;
    it->head.keepAlive = complete.head.keepAlive;
    const TimePoint arrivedAt = it->firstByteAt == Never ? clock.now() : it->firstByteAt;
    it->firstByteAt = it->reader.idle() ? Never : clock.now();
    auto call = toCallRequest(std::move(complete),
                              {it->peer, arrivedAt,
                               [this] {
                                   return makeRequestId(random);
                               }},
                              protocol);
    if (!call) {
        respondWithError(*it, {}, call.error());
        return nullptr;
    }
    if (!admission.tryAcquire(call->depth)) {
        respondWithError(*it, call->requestId,
                         {Code::EntryBusy, "all workers available to calls of this depth are in use"});
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
            const Error error{Code::BadRequest, "the method or the form of the request target is not supported"};
            countRefusal(error.code);
            return errorResponse(error);
        }
        call.method = method;
        call.path = path;
        return handleCall(call, cancel);
    };
    EncodedResponse response = exchange.run(it->head, call.requestId, hook);
    admission.release();
    it->out = std::move(response.bytes);
    it->close = response.close || cancel.cancelled();
    WorkerPool::Task next = drive(it);
    if (next) {
        submit(std::move(next));
    }
}

CallResponse FrontServer::State::handleCall(const CallRequest &call, CancelToken &cancel)
{
    CallResponse response = handler(call, cancel);
    if (response.code != Code::Ok && response.body.empty()) {
        CallResponse detailed = errorResponse({response.code, "see docs/CODES.md"});
        response.headers = std::move(detailed.headers);
        response.body = std::move(detailed.body);
    }
    return response;
}

/// Answers a well-formed request with an error response; the connection can stay open.
void FrontServer::State::respondWithError(CallerConnection &it, std::string_view requestId, const Error &error)
{
    countRefusal(error.code);
    CallResponse response = errorResponse(error);
    if (error.code == Code::EntryBusy) {
        response.retryAfter = options.retryAfter;
    }
    const auto hook = [&response](std::string_view, std::string_view) {
        return response;
    };
    EncodedResponse encoded = exchange.run(it.head, requestId, hook);
    it.out = std::move(encoded.bytes);
    it.close = encoded.close;
}

/// Answers bytes that could not be parsed as a request, then closes the connection, since the start of the next request
/// is unknown.
void FrontServer::State::refuseAndClose(CallerConnection &it, const Error &error)
{
    countRefusal(error.code);
    if (mayLog()) {
        logEvent(Severity::Info, "request-refused",
                 {{"code", codeNumber(error.code)}, {"peer", it.peer}, {"detail", error.detail}});
    }
    CallResponse response = errorResponse(error);
    if (response.status == 503) {
        response.retryAfter = options.retryAfter;
    }
    it.out = exchange.encodeRefusal(response);
    it.sent = 0;
    it.close = true;
    setDeadline(it, Never);
}

/// Limits the rate of log lines, so that a flood of bad requests does not flood the log.
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
