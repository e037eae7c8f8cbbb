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

constexpr size_t StreamReadBytes = 16UL * 1024; // of a streamed body, received at a time

bool isServable(std::string_view method, std::string_view path)
{
    return method != "CONNECT" && (path.starts_with('/') || (path == "*" && method == "OPTIONS"));
}

/// Sets method and path; false if the library could read the line differently or refuse it.
bool readRequestLine(std::string_view line, CallRequest &call)
{
    const size_t path = line.find(' ') + 1;
    const size_t end = line.find(' ', path);
    if (path == 0 || end == std::string_view::npos || line.find(' ', end + 1) != std::string_view::npos) {
        return false;
    }
    call.method = line.substr(0, path - 1);
    call.path = line.substr(path, end - path);
    return isServable(call.method, call.path) && isKnownMethod(call.method);
}

} // namespace

void FrontServer::State::takeRequest(CallerConnection &it)
{
    it.next = prepare(it, it.reader.take());
    updateBufferedBytes(it);
}

/// As takeRequest(), for a request whose body is passed on while it arrives. A refusal leaves the rest of the body
/// unread and therefore closes.
void FrontServer::State::takeStreaming(const CallerPtr &it)
{
    const auto stream = std::make_shared<BodyStream>();
    stream->length = it->reader.bodyLength();
    stream->descriptor = it->socket.get();
    stream->read = [this, it](std::span<char> to) {
        return readBody(*it, to);
    };
    CompleteRequest request{it->reader.head(), {}};
    it->bodyBytes = 0;
    it->bodyBegan = it->firstByteAt + it->unread;
    it->reader.startBody();
    it->next = prepare(*it, std::move(request));
    it->next->call.stream = stream;
    it->next->repeatable = false;
    updateBufferedBytes(*it);
}

NextRequest FrontServer::State::prepare(CallerConnection &it, CompleteRequest request)
{
    NextRequest next;
    next.head.line = request.head.line;
    next.head.close = request.head.close;
    next.head.keepAlive = request.head.keepAlive;
    const bool isHttp10 = !next.head.line.ends_with(" HTTP/1.1");
    next.closes = next.head.close || (isHttp10 && !next.head.keepAlive);
    next.bodyBytes = request.body.size();
    const TimePoint arrivedAt = it.firstByteAt == Never ? clock.now() : it.firstByteAt;
    it.firstByteAt = it.reader.idle() ? Never : clock.now();
    it.unread = Duration::zero();
    it.gathers = false;
    auto call = toCallRequest(std::move(request),
                              {it.peer, arrivedAt,
                               [this] {
                                   return makeRequestId(random);
                               }},
                              protocol);
    if (!call) {
        next.valid = tl::make_unexpected(call.error());
        next.repeatable = true; // nothing will run
        return next;
    }
    next.call = std::move(*call);
    if (options.pipelineLimit > 1 && repeats && !isHttp10 && readRequestLine(next.head.line, next.call)) {
        next.repeatable = repeats(next.call);
    }
    return next;
}

/// Asks the hook once for each request with a large body.
bool FrontServer::State::mayStream(CallerConnection &it)
{
    if (!streams || it.gathers || !it.reader.bodyExceeds(options.gatherBytes)) {
        return false;
    }
    const RequestHead &head = it.reader.head();
    const auto call = toCallRequest({head, {}},
                                    {it.peer, it.firstByteAt,
                                     [] {
                                         return std::string();
                                     }},
                                    protocol);
    if (call) {
        CallRequest asked = *call;
        const size_t path = head.line.find(' ') + 1;
        asked.method = head.line.substr(0, head.line.find(' '));
        asked.path = head.line.substr(path, head.line.find(' ', path) - path);
        it.gathers = !streams(asked);
    }
    return !it.gathers; // a malformed request is refused without its body
}

/// Reads what has arrived of a streamed body; on the thread that serves the call. A trickle is given up like that of a
/// gathered body.
BodyRead FrontServer::State::readBody(CallerConnection &it, std::span<char> to)
{
    while (true) {
        it.reader.setLimits(limitsFor(it).size);
        const auto n = it.reader.readBody(to);
        updateBufferedBytes(it);
        if (!n) {
            return {.state = BodyState::Failed, .code = n.error().code};
        }
        if (*n > 0) {
            return {.state = BodyState::Data, .bytes = *n};
        }
        if (it.reader.bodyEnded()) {
            return {.state = BodyState::Ended};
        }
        std::array<char, StreamReadBytes> buf;
        const Transfer received = receive(it, buf);
        if (received.end == TransferEnd::Closed) {
            return {.state = BodyState::Failed, .code = Code::Cancelled};
        }
        if (received.end == TransferEnd::WouldBlock) {
            const TimePoint until = readDeadline(it, it.bodyBegan, it.bodyBytes);
            return clock.now() < until ? BodyRead{.state = BodyState::Waiting, .until = until}
                                       : BodyRead{.state = BodyState::Failed, .code = Code::SlowSender};
        }
        it.bodyBytes += received.bytes;
        it.reader.append({buf.data(), received.bytes});
    }
}

void FrontServer::State::serve(const CallerPtr &it, const SlotPtr &slot, CallRequest &call)
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
        return handleCall(call, *slot->cancel);
    };
    // The rest of a body that was not read to its end must not be taken for a request.
    EncodedResponse response = exchange.run(slot->head, call.requestId, hook, [&] {
        return (draining || (call.stream && !it->reader.bodyEnded())) && isLast(*it, slot);
    });
    admission.release();
    if (call.stream) {
        it->firstByteAt = it->reader.idle() ? Never : clock.now();
    }
    call = {}; // its body is no longer counted from here on
    finish(it, slot, std::move(response));
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
void FrontServer::State::respondWithError(const CallerPtr &it, const SlotPtr &slot, std::string_view requestId,
                                          const Error &error)
{
    countRefusal(error.code);
    CallResponse response = errorResponse(error);
    if (error.code == Code::EntryBusy) {
        response.retryAfter = options.retryAfter;
    }
    const auto hook = [&response](std::string_view, std::string_view) {
        return response;
    };
    finish(it, slot, exchange.run(slot->head, requestId, hook, [&] { return draining && isLast(*it, slot); }));
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
