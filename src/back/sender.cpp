#include "back/sender.h"

#include "back/connection_table.h"
#include "back/exchange.h"
#include "back/load_report.h"
#include "back/request_head.h"
#include "base/scope.h"

#include <utility>

namespace damask {

namespace {

constexpr size_t MaxProbeAnswer = 16UL * 1024; // bytes of a load report

std::string connectionKey(std::string_view address, uint16_t port)
{
    std::string out(address);
    out += ':';
    out += std::to_string(port);
    return out;
}

AttemptEnd endOf(const ExchangeResult &result)
{
    if (result.code != Code::Ok) {
        return result.bytesSent == 0 ? AttemptEnd::NotSent : AttemptEnd::Lost;
    }
    return refusedAsNotRun(result.head) ? AttemptEnd::Refused : AttemptEnd::Answered;
}

void fillAnswer(AttemptResult &out, ExchangeResult &&result, std::string_view target)
{
    out.load = carriedLoad(result.head.headers);
    out.answer.status = result.head.status;
    out.answer.headers = endToEndFields(std::move(result.head.headers));
    out.answer.body = std::move(result.body);
    out.answer.target = target;
    const bool answered = out.end == AttemptEnd::Answered;
    out.answer.outcome = answered ? Outcome::Answered : Outcome::NotRun;
    out.code = answered ? Code::Ok : Code::TargetRefused;
    out.answer.code = out.code;
}

} // namespace

struct Sender::State {
    State(Clock &runtimeClock, Metrics &processMetrics, const SenderOptions &senderOptions)
        : clock(runtimeClock)
        , metrics(processMetrics)
        , options(senderOptions)
        , table(runtimeClock, {.idleLimit = senderOptions.idleLimit, .freshLimit = senderOptions.freshLimit})
    {
    }

    Result<ConnectionLease> connect(const Attempt &attempt, AttemptResult &out);
    void run(const Attempt &attempt, ConnectionLease lease, TimePoint deadline, AttemptResult &out);

    Clock &clock;
    Metrics &metrics;
    SenderOptions options;
    ConnectionTable table;
};

Result<ConnectionLease> Sender::State::connect(const Attempt &attempt, AttemptResult &out)
{
    const TargetAddress &to = attempt.address;
    auto lease = table.take(connectionKey(to.address, to.port), to.connectionShare, !attempt.idempotent);
    if (!lease || lease->connection) {
        return lease;
    }
    const TimePoint began = clock.now();
    auto opened = Connection::open(to.address, to.port, std::min(options.connectTimeout, attempt.timeLeft));
    out.connectTime = clock.now() - began;
    if (!opened) {
        table.drop(std::move(*lease));
        return tl::unexpected(opened.error());
    }
    lease->connection = std::move(*opened);
    return lease;
}

void Sender::State::run(const Attempt &attempt, ConnectionLease lease, TimePoint deadline, AttemptResult &out)
{
    const std::shared_ptr<Connection> connection = lease.connection;
    const uint64_t watch = attempt.cancel->onCancel([connection] { connection->cut(); });
    const ScopeGuard unwatch([&] { attempt.cancel->forget(watch); });
    const TimePoint began = clock.now();
    const std::string head = requestHead(attempt, deadline - began);
    ExchangeResult result = exchange(*connection, clock,
                                     {.method = attempt.request.method,
                                      .head = head,
                                      .body = attempt.request.body,
                                      .deadline = deadline,
                                      .maxAnswerBytes = options.maxAnswerBytes});
    out.end = endOf(result);
    out.code = result.code;
    if (result.code != Code::Ok && attempt.cancel->cancelled()) {
        out.code = Code::Cancelled;
    } else if (out.end == AttemptEnd::NotSent) {
        out.code = Code::ConnectFailed;
    }
    if (lease.kept && !result.anyAnswer && result.code != Code::Ok && out.code != Code::Cancelled) {
        table.retireIdle(lease.key, began);
        metrics.count("damask_back_silent_connections_total");
    }
    const bool reusable = result.reusable && !attempt.cancel->cancelled();
    if (reusable) {
        table.give(std::move(lease));
    } else {
        table.drop(std::move(lease));
    }
    if (result.code == Code::Ok) {
        fillAnswer(out, std::move(result), attempt.address.name);
    }
}

Sender::Sender(Clock &clock, Metrics &metrics, const SenderOptions &options)
    : m_state(std::make_unique<State>(clock, metrics, options))
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
    const std::string head = ownRequestHead("GET", "/load", connectionKey(address, port));
    const ExchangeResult result = exchange(
        **connection, s.clock, {.method = "GET", .head = head, .deadline = deadline, .maxAnswerBytes = MaxProbeAnswer});
    if (result.code != Code::Ok) {
        return fail(result.code, "the load endpoint gave no whole answer");
    }
    if (result.head.status != 200) {
        return fail(Code::BadAnswer, "the load endpoint did not answer 200");
    }
    return parseLoadReport(result.body);
}

ConnectionCounts Sender::connections(std::string_view address, uint16_t port) const
{
    const std::string key = connectionKey(address, port);
    return {.open = m_state->table.open(key), .idle = m_state->table.idle(key)};
}

void Sender::closeIdle()
{
    m_state->table.closeOld();
}

} // namespace damask
