#include "route/dispatcher.h"

#include "base/hash.h"
#include "base/log.h"
#include "route/dispatcher_state.h"
#include "route/rules.h"

#include <algorithm>
#include <utility>

namespace damask {

namespace {

constexpr double SnapshotsPerSecond = 10; // records of failed calls that carry what was known of all targets
constexpr double SnapshotBurst = 20;
constexpr double LogLinesPerSecond = 50; // on calls; the counters tell of all
constexpr double LogLineBurst = 200;     // such lines at once

float toFloatMs(Duration duration)
{
    return static_cast<float>(toMilliseconds(duration));
}

void fillTarget(WhyTarget &out, const TargetStatus &status)
{
    out.name.assign(status.name);
    out.inFlight = static_cast<uint16_t>(status.inFlight);
    out.estimate = static_cast<float>(status.estimate);
    out.reportAge = status.reported ? toFloatMs(status.reportAge) : -1;
    out.oldestCall = toFloatMs(status.oldestCall);
    out.typicalTime = toFloatMs(status.typicalTime);
    out.draining = status.draining;
    out.ejected = status.ejected;
}

/// The call had a rule and a service, so a service that is gone by now is no reason to say that there is none.
Code refusalOf(Code code)
{
    return code == Code::NoSuchService ? Code::NoTarget : code;
}

void fillKnown(WhyAttempt &out, const Permit &permit)
{
    out.waited = toFloatMs(permit.waited);
    out.reportAge = permit.snapshot.reportAge;
    out.estimate = permit.snapshot.estimate;
    out.slowdown = permit.snapshot.slowdown;
    out.others = static_cast<uint16_t>(permit.snapshot.others);
    out.asked = static_cast<uint16_t>(permit.asked);
}

/// Whether a call is told of in full: it was not answered, not well, not in time or not at once.
bool isNotable(const WhyRecord &record)
{
    const bool late = record.objective > 0 && record.took > record.objective;
    return record.outcome != Outcome::Answered || record.status >= FirstErrorStatus || record.attemptCount > 1 || late;
}

} // namespace

Dispatcher::State::State(Clock &runtimeClock, Metrics &metrics, const DispatcherOptions &dispatcherOptions,
                         DispatcherHooks dispatcherHooks)
    : clock(runtimeClock)
    , options(dispatcherOptions)
    , hooks(std::move(dispatcherHooks))
    , counters(metrics)
    , ring(dispatcherOptions.whyEvents)
    , snapshots({.perSecond = SnapshotsPerSecond, .burst = SnapshotBurst}, runtimeClock.now())
    , logLines({.perSecond = LogLinesPerSecond, .burst = LogLineBurst}, runtimeClock.now())
    , tasksChanged(runtimeClock)
{
    timer = std::make_unique<HedgeTimer>(clock, [this](std::function<void()> it) { return runCounted(std::move(it)); });
}

Dispatcher::State::~State()
{
    timer.reset();
    LockGuard lock(taskMutex);
    while (tasks > 0) {
        tasksChanged.wait(lock);
    }
}

std::shared_ptr<const RouteTable> Dispatcher::State::current() const
{
    LockGuard lock(configurationMutex);
    return table;
}

Code Dispatcher::State::admit(CallState &call) const
{
    const auto routes = current();
    if (!routes) {
        return Code::NoConfiguration;
    }
    call.record.revision = routes->revision();
    if (hasDotSegment(call.request.path)) {
        return Code::BadRequest;
    }
    call.route = routes->find(call.request.host, call.request.path);
    call.routes = routes;
    if (call.route.rule == nullptr) {
        return Code::NoSuchService;
    }
    call.record.rule.assign(call.route.rule->name);
    if (call.route.service == nullptr) {
        return call.route.rule->service.empty() ? Code::NoRule : Code::NoSuchService;
    }
    const Service &service = *call.route.service;
    call.record.service.assign(service.name);
    call.idempotent = isIdempotent(*call.route.rule, call.request.method);
    if (call.request.depth > service.maxDepth) {
        return Code::DepthExceeded;
    }
    Duration allowed = call.request.timeLeft.value_or(service.deadline);
    if (call.route.rule->timeout > Duration::zero()) {
        allowed = std::min(allowed, call.route.rule->timeout);
    }
    call.record.allowed = toFloatMs(allowed);
    call.record.objective = toFloatMs(call.route.rule->objective);
    call.deadline = call.request.arrivedAt + allowed - options.safety;
    return clock.now() < call.deadline ? Code::Ok : Code::DeadlineTooShort;
}

Answer Dispatcher::State::run(CallState &call, CancelToken &cancel)
{
    call.route.state->budget.earn(clock.now());
    while (true) {
        const auto permit = hooks.acquire({.service = call.route.service->name,
                                           .caller = call.request.caller,
                                           .dataCentres = call.route.rule->dataCentres,
                                           .deadline = call.deadline,
                                           .idempotent = call.idempotent,
                                           .avoid = call.avoid,
                                           .bodyBytes = call.request.body.size(),
                                           .rank = call.route.rule->rank,
                                           .objective = call.route.rule->objective,
                                           .cancel = &cancel});
        if (!permit) {
            return conclude(call, cancel.cancelled() ? Code::Cancelled : refusalOf(permit.error().code));
        }
        AttemptResult last = attempt(call, *permit, cancel);
        const RetryReason reason = retryReason(last, call.route.rule->retryErrors);
        const RetryDenial denial = judge(call, last, cancel);
        WhyAttempt &kept = call.record.attempts[call.firstKept];
        kept.denial = denial;
        noteAttempt(call, std::move(last), permit->address->name);
        if (denial != RetryDenial::None) {
            counters.denied(denial);
            return conclude(call, denial == RetryDenial::Cancelled ? Code::Cancelled : Code::Ok);
        }
        counters.retry(reason);
    }
}

AttemptResult Dispatcher::State::attempt(CallState &call, const Permit &permit, CancelToken &cancel)
{
    beginAttempt(call);
    WhyAttempt &kept = call.record.addAttempt(permit.address->name);
    call.firstKept = call.record.attemptCount - 1;
    fillKnown(kept, permit);
    AttemptResult out = mayHedge(call) ? sendHedged(call, permit, cancel) : send(call, permit, cancel);
    fillAttempt(call.record.attempts[call.firstKept], out);
    return out;
}

AttemptResult Dispatcher::State::send(const CallState &call, const Permit &permit, CancelToken &cancel)
{
    const Duration left = call.deadline - clock.now();
    if (left <= Duration::zero()) { // the wait for a slot took it all: sent now, it could only end as unknown
        hooks.finish(permit, {.end = AttemptEnd::NotSent, .code = Code::Cancelled});
        AttemptResult late;
        late.code = Code::DeadlineTooShort;
        return late;
    }
    AttemptResult out = hooks.send({.address = *permit.address,
                                    .request = call.request,
                                    .timeLeft = left,
                                    .number = call.attempts,
                                    .idempotent = call.idempotent,
                                    .cancel = &cancel});
    hooks.finish(permit, {.end = out.end, .code = out.code, .load = out.load, .status = out.answer.status});
    counters.attempt(out.end, out.elapsed);
    return out;
}

RetryDenial Dispatcher::State::judge(const CallState &call, const AttemptResult &last, const CancelToken &cancel)
{
    if (call.answer && call.answer->status < FirstErrorStatus) {
        return RetryDenial::NotNeeded; // the hedge has answered
    }
    const TimePoint now = clock.now();
    const RetryDenial out = retryDenial({.last = last,
                                         .idempotent = call.idempotent,
                                         .cancelled = cancel.cancelled(),
                                         .depth = call.request.depth,
                                         .attempts = call.attempts,
                                         .sent = call.sent - (last.end == AttemptEnd::NotSent ? 1 : 0),
                                         .maxSent = call.route.rule->maxAttempts,
                                         .retryErrors = call.route.rule->retryErrors,
                                         .timeLeft = call.deadline - now});
    if (out != RetryDenial::None) {
        return out;
    }
    return call.route.state->budget.spend(now) ? RetryDenial::None : RetryDenial::Budget;
}

/// A share of the time that the caller has left, where that is known: later is of no use to it.
void Dispatcher::State::sayWhenToComeBack(const CallState &call, Answer &answer) const
{
    if (answer.retryAfter == Duration::zero() || options.comeBackShare <= 0 || !call.request.timeLeft) {
        return;
    }
    const Duration left = call.request.arrivedAt + *call.request.timeLeft - clock.now();
    const Duration share =
        std::chrono::duration_cast<Duration>(std::max(left, Duration::zero()) * options.comeBackShare);
    answer.retryAfter = std::clamp(share, options.leastComeBack, answer.retryAfter);
}

void Dispatcher::State::keep(CallState &call, const Answer &answer)
{
    const TimePoint now = clock.now();
    WhyRecord &record = call.record;
    record.requestId.assign(call.request.requestId);
    record.idHash = hashBytes(call.request.requestId);
    record.endedAt = now;
    record.idempotent = call.idempotent;
    record.depth = static_cast<uint16_t>(call.request.depth);
    record.status = static_cast<uint16_t>(answer.status);
    record.outcome = answer.outcome;
    record.code = answer.code;
    record.took = toFloatMs(now - call.request.arrivedAt);
    bool snapshot = false;
    if (answer.outcome != Outcome::Answered) {
        LockGuard lock(snapshotMutex);
        snapshot = snapshots.take(1, now);
    }
    if (snapshot && call.route.service != nullptr) {
        for (const TargetStatus &it : hooks.status(call.route.service->name)) {
            if (record.targetCount < record.targets.size()) {
                fillTarget(record.targets[record.targetCount], it);
                ++record.targetCount;
            }
        }
    }
    log(record);
    ring.add(record);
}

/// Notable calls are told of in full, one of many others as a sample, all within a budget of lines.
void Dispatcher::State::log(const WhyRecord &record)
{
    const bool notable = isNotable(record);
    uint64_t left = 0;
    {
        LockGuard lock(snapshotMutex);
        const bool sampled = options.logEach > 0 && ++ordinaryCalls % options.logEach == 0;
        if (!notable && !sampled) {
            return;
        }
        if (!logLines.take(1, clock.now())) {
            ++linesLeftOut;
            counters.lineLeftOut();
            return;
        }
        left = std::exchange(linesLeftOut, 0);
    }
    const std::string call = toJson(record, clock.now());
    logEvent(notable ? Severity::Warning : Severity::Info, "call",
             {{"call", LogField::Json{call}}, {"linesLeftOut", left}});
}

Dispatcher::Dispatcher(Clock &clock, Metrics &metrics, const DispatcherOptions &options, DispatcherHooks hooks)
    : m_state(std::make_unique<State>(clock, metrics, options, std::move(hooks)))
{
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::apply(std::shared_ptr<const Configuration> configuration)
{
    State &s = *m_state;
    const auto previous = s.current();
    const auto states = previous ? previous->states() : RouteTable::States();
    auto next = std::make_shared<const RouteTable>(std::move(configuration), states);
    LockGuard lock(s.configurationMutex);
    if (!s.table || s.table->revision() <= next->revision()) {
        s.table.swap(next);
    }
}

Answer Dispatcher::dispatch(const CallRequest &request, CancelToken &cancel)
{
    CallState call{.request = request};
    const Code code = m_state->admit(call);
    Answer out = code == Code::Ok ? m_state->run(call, cancel) : answerFor(code);
    m_state->sayWhenToComeBack(call, out);
    m_state->counters.call(out, m_state->clock.now() - request.arrivedAt);
    m_state->keep(call, out);
    return out;
}

std::string Dispatcher::why(std::string_view requestId) const
{
    return m_state->ring.byRequest(requestId, m_state->clock.now());
}

std::string Dispatcher::whyService(std::string_view service, size_t most) const
{
    return m_state->ring.byService(service, most, m_state->clock.now());
}

} // namespace damask
