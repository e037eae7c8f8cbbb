#include "back/sender.h"

#include "back/connection_pool.h"
#include "back/request_head.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/scope.h"
#include "http/exchange.h"

#include <atomic>
#include <utility>

namespace damask {

namespace {

constexpr size_t MaxProbeResponse = 16UL * 1024; // bytes of a load report's body
constexpr int FirstServerError = 500;            // HTTP status

bool mayBeSentAgain(const AttemptResult &result, int status)
{
    return result.end == AttemptEnd::Refused || status >= FirstServerError;
}

} // namespace

struct Sender::State {
    State(Clock &runtimeClock, Metrics &processMetrics, const SenderOptions &senderOptions,
          TargetProtocol targetProtocol)
        : clock(runtimeClock)
        , metrics(processMetrics)
        , options(senderOptions)
        , protocol(std::move(targetProtocol))
        , pool(runtimeClock, {.idleLimit = senderOptions.idleLimit, .freshLimit = senderOptions.freshLimit})
    {
    }

    Result<ConnectionLease> connect(const Attempt &attempt, AttemptResult &out);
    bool isCopy(const Attempt &attempt, const ConnectionLease &lease, const ResponseHead &head) const;
    void run(const Attempt &attempt, ConnectionLease lease, TimePoint deadline, AttemptResult &out);
    void classify(const Attempt &attempt, const ConnectionLease &lease, const ExchangeResult &result,
                  AttemptResult &out) const;
    void fillResponse(AttemptResult &out, ExchangeResult &&result, std::string_view target) const;

    Clock &clock;
    Metrics &metrics;
    SenderOptions options;
    TargetProtocol protocol;
    ConnectionPool pool;
    std::atomic<size_t> bufferedBytes{0}; // of response bodies that are being read
};

Result<ConnectionLease> Sender::State::connect(const Attempt &attempt, AttemptResult &out)
{
    const TargetAddress &to = attempt.address;
    auto lease =
        pool.acquire(connectionKey(to.address, to.port), to.connectionShare,
                     {.provenAliveOnly = !attempt.idempotent, .request = hashBytes(attempt.request.requestId)});
    if (!lease || lease->connection) {
        return lease;
    }
    const TimePoint began = clock.now();
    auto opened = Connection::open(to.address, to.port, std::min(options.connectTimeout, attempt.timeLeft));
    out.connectTime = clock.now() - began;
    if (!opened) {
        pool.discard(std::move(*lease));
        return tl::unexpected(opened.error());
    }
    lease->connection = std::move(*opened);
    return lease;
}

/// Whether a response repeats an earlier one of the connection, which proves nothing about this attempt: the target may
/// run the request, and its own response may still follow.
bool Sender::State::isCopy(const Attempt &attempt, const ConnectionLease &lease, const ResponseHead &head) const
{
    const std::string_view id = protocol.requestId(head);
    return id.empty() ? protocol.namesRequests && lease.history.unnamedAnswer
                      : lease.reused && id != attempt.request.requestId;
}

void Sender::State::run(const Attempt &attempt, ConnectionLease lease, TimePoint deadline, AttemptResult &out)
{
    const std::shared_ptr<Connection> connection = lease.connection;
    const uint64_t callbackId = attempt.cancel->onCancel([connection] { connection->interrupt(); });
    const TimePoint began = clock.now();
    if (const Code code = attempt.mayStart ? attempt.mayStart() : Code::Ok; code != Code::Ok) {
        attempt.cancel->removeCallback(callbackId);
        pool.discard(std::move(lease));
        out.code = code;
        return;
    }
    const std::string head = requestHead(attempt, deadline - began, protocol);
    size_t reserved = 0;
    const ScopeGuard release([&] { bufferedBytes -= reserved; });
    const auto reserve = [&](size_t bytes) {
        if (bufferedBytes.fetch_add(bytes) + bytes > options.maxBufferedBytes) {
            bufferedBytes -= bytes;
            return false;
        }
        reserved += bytes;
        return true;
    };
    ExchangeResult result = exchange(*connection, clock,
                                     {.method = attempt.request.method,
                                      .head = head,
                                      .body = attempt.request.body,
                                      .stream = attempt.request.stream.get(),
                                      .deadline = deadline,
                                      .maxResponseBytes = options.maxResponseBytes,
                                      .closeEndsBody = protocol.closeEndsBody,
                                      .reserve = reserve,
                                      .skips = [&](const ResponseHead &it) {
                                          return isCopy(attempt, lease, it);
                                      }});
    // Done before the connection is released: a later cancellation must not interrupt its next user.
    attempt.cancel->removeCallback(callbackId);
    const bool cancelled = attempt.cancel->cancelled();
    if (cancelled && result.code == Code::Ok && result.head.framing == BodyFraming::ByClose) {
        result.code = Code::Cancelled; // the body ended because of our own interrupt()
    }
    if (result.skipped > 0) {
        metrics.count("damask_back_repeated_answers_total");
        logEvent(Severity::Info, "answer-repeated",
                 {{"target", attempt.address.name},
                  {"request", attempt.request.requestId},
                  {"skipped", result.skipped},
                  {"code", codeNumber(result.code)}});
    }
    classify(attempt, lease, result, out);
    if (!isCopy(attempt, lease, result.head)) {
        out.notice = protocol.notice(attempt.address, attempt.request.requestId, result.head);
    }
    if (result.code != Code::Ok && cancelled) {
        out.code = Code::Cancelled;
    }
    const bool silent = !result.responseStarted && result.code != Code::Ok && !result.bodyFailed;
    if (lease.reused && silent && out.code != Code::Cancelled) {
        pool.retireIdle(lease.key, began);
        metrics.count("damask_back_silent_connections_total");
    }
    if (result.reusable && !cancelled && out.end != AttemptEnd::Lost) {
        lease.maxIdleTime = keepAliveTime(result.head.headers).value_or(lease.maxIdleTime);
        if (mayBeSentAgain(out, result.head.status)) {
            lease.history.requests.push_back(hashBytes(attempt.request.requestId));
        }
        lease.history.unnamedAnswer = lease.history.unnamedAnswer || protocol.requestId(result.head).empty();
        pool.release(std::move(lease));
    } else {
        pool.discard(std::move(lease));
    }
    if (result.code == Code::Ok && out.end != AttemptEnd::Lost) {
        fillResponse(out, std::move(result), attempt.address.name);
    }
}

/// Sets out.end (how far the attempt got) and out.code (why). A complete response that does not belong to this request
/// counts as Lost, since it does not prove whether the request ran.
void Sender::State::classify(const Attempt &attempt, const ConnectionLease &lease, const ExchangeResult &result,
                             AttemptResult &out) const
{
    out.code = result.code;
    if (result.code != Code::Ok) {
        const bool sent = result.bytesSent > 0;
        out.end = sent ? AttemptEnd::Lost : AttemptEnd::NotSent;
        out.code = sent || result.bodyFailed ? result.code : Code::ConnectFailed;
        return;
    }
    if (isCopy(attempt, lease, result.head)) {
        out.end = AttemptEnd::Lost;
        out.code = Code::BadAnswer;
        return;
    }
    if (const auto checked = protocol.check(attempt, result.head); !checked) {
        out.end = AttemptEnd::Lost;
        out.code = checked.error().code;
        return;
    }
    const std::optional<Code> refusalCode = protocol.refusalCode(result.head);
    out.end = refusalCode ? AttemptEnd::Refused : AttemptEnd::Answered;
    out.code = refusalCode.value_or(Code::Ok);
}

void Sender::State::fillResponse(AttemptResult &out, ExchangeResult &&result, std::string_view target) const
{
    out.load = protocol.load(result.head.headers);
    out.response.status = result.head.status;
    out.response.headers = endToEndFields(std::move(result.head.headers), protocol.strips);
    out.response.body = std::move(result.body);
    out.response.target = target;
    out.response.outcome = out.end == AttemptEnd::Answered ? Outcome::Answered : Outcome::NotRun;
    out.response.code = out.code;
}

Sender::Sender(Clock &clock, Metrics &metrics, const SenderOptions &options, TargetProtocol protocol)
    : m_state(std::make_unique<State>(clock, metrics, options, std::move(protocol)))
{
}

Sender::~Sender() = default;

AttemptResult Sender::send(const Attempt &attempt)
{
    State &s = *m_state;
    const TimePoint began = s.clock.now();
    AttemptResult out;
    if (attempt.cancel->cancelled()) {
        out.code = Code::Cancelled;
        return out;
    }
    auto lease = s.connect(attempt, out);
    if (!lease) {
        out.code = lease.error().code;
    } else {
        s.run(attempt, std::move(*lease), began + attempt.timeLeft, out);
    }
    out.elapsed = s.clock.now() - began;
    if (out.code != Code::Ok) {
        s.metrics.countCode("damask_back_failures_total", out.code);
    }
    return out;
}

Result<LoadReport> Sender::probe(std::string_view address, uint16_t port, Duration timeout)
{
    State &s = *m_state;
    const TimePoint deadline = s.clock.now() + timeout;
    auto connection = Connection::open(address, port, timeout);
    if (!connection) {
        return tl::unexpected(connection.error());
    }
    const TargetAddress target{.address = std::string(address), .port = port};
    const std::string head = probeRequestHead("GET", s.protocol.probePath(target), connectionKey(address, port));
    const ExchangeResult result =
        exchange(**connection, s.clock,
                 {.method = "GET", .head = head, .deadline = deadline, .maxResponseBytes = MaxProbeResponse});
    if (result.code != Code::Ok) {
        return fail(result.code, "the load endpoint did not return a complete response");
    }
    return s.protocol.readProbe(target, result.head, result.body);
}

std::vector<ProbeResult> Sender::ask(std::span<const std::shared_ptr<const TargetAddress>> targets, Duration timeout)
{
    State &s = *m_state;
    std::vector<ProbeResult> out = probeAll(s.clock, s.pool, s.protocol, targets, timeout);
    for (const ProbeResult &it : out) {
        s.metrics.countCode("damask_back_questions_total", it.report ? Code::Ok : it.report.error().code);
    }
    return out;
}

ConnectionCounts Sender::connections(std::string_view address, uint16_t port) const
{
    const std::string key = connectionKey(address, port);
    return {.open = m_state->pool.open(key), .idle = m_state->pool.idle(key)};
}

void Sender::closeIdle()
{
    m_state->pool.closeExpired();
}

} // namespace damask
