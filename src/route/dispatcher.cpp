#include "route/dispatcher.h"

#include "base/hash.h"
#include "base/log.h"
#include "base/scope.h"
#include "route/dispatcher_state.h"
#include "route/rules.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace damask {

namespace {

constexpr double SnapshotsPerSecond = 10; // traces of failed calls that include the state of all targets
constexpr double SnapshotBurst = 20;
constexpr double LogLinesPerSecond = 50; // call log lines; the metrics count every call
constexpr double LogLineBurst = 200;
constexpr double GoldenRatioConjugate = 0.6180339887498949; // multiples modulo 1 are evenly distributed in [0, 1)
constexpr Duration UnverifiedRetryAfter = std::chrono::milliseconds(100); // another instance may know the key
constexpr Duration TrustedPermitAge =
    std::chrono::milliseconds(10);                  // far below the bounds of an evacuation and a leave
constexpr uint64_t UnknownBodyBytes = 256UL * 1024; // assumed of a streamed body whose length is not known in advance

float toFloatMs(Duration duration)
{
    return static_cast<float>(toMilliseconds(duration));
}

/// The call matched a rule and a service. If the service has been removed since, the caller gets NoTarget: reporting
/// NoSuchService would tell it that no route exists.
Code refusalCode(Code code)
{
    return code == Code::NoSuchService ? Code::NoTarget : code;
}

std::string joinNames(std::span<const std::string> names)
{
    std::string out;
    for (const std::string &it : names) {
        out += out.empty() ? "" : ",";
        out += it;
    }
    return out;
}

bool isLackOfRoom(Code code)
{
    return code == Code::QueueFull || code == Code::QueueTimeout || code == Code::ObjectiveMissed;
}

Duration shareOf(Duration time, double share)
{
    return std::chrono::duration_cast<Duration>(std::max(time, Duration::zero()) * share);
}

/// Of the fastest target with measured calls; zero without any.
Duration typicalTime(std::span<const TargetStatus> targets)
{
    Duration out{0};
    for (const TargetStatus &it : targets) {
        if (it.typicalTime > Duration::zero() && (out == Duration::zero() || it.typicalTime < out)) {
            out = it.typicalTime;
        }
    }
    return out;
}

size_t bodyBytes(const CallRequest &request)
{
    return request.stream ? static_cast<size_t>(request.stream->length.value_or(UnknownBodyBytes))
                          : request.body.size();
}

} // namespace

Dispatcher::State::State(Clock &runtimeClock, Metrics &metrics, const DispatcherOptions &dispatcherOptions,
                         DispatcherHooks dispatcherHooks)
    : clock(runtimeClock)
    , options(dispatcherOptions)
    , hooks(std::move(dispatcherHooks))
    , counters(metrics)
    , traces(dispatcherOptions.traceCapacity)
    , snapshotLimiter({.perSecond = SnapshotsPerSecond, .burst = SnapshotBurst}, runtimeClock.now())
    , logLineLimiter({.perSecond = LogLinesPerSecond, .burst = LogLineBurst}, runtimeClock.now())
    , tasksChanged(runtimeClock)
{
    hedgeTimer = std::make_unique<HedgeTimer>(
        clock, [this](std::function<void()> it) { return runTracked(std::move(it)); },
        [this](HedgeRace &race) { withholdHedge(race, HedgeDenial::Thread); });
}

Dispatcher::State::~State()
{
    hedgeTimer->close(); // stays, because a hedge that still runs may want to wait for credit
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

/// False if an attempt that starts now might be cut off by the end of the process.
bool Dispatcher::State::endsBeforeShutdown(std::string_view service, TimePoint deadline) const
{
    if (!shuttingDown) {
        return true;
    }
    ShutdownWindow window;
    {
        LockGuard lock(configurationMutex);
        window = shutdown;
    }
    const TimePoint now = clock.now();
    const bool needsEstimate = now < window.acceptsAnyUntil && deadline > window.lastAnswerAt;
    return mayStart(window, now, deadline, needsEstimate ? typicalTime(hooks.status(service)) : Duration::zero());
}

Code Dispatcher::State::admit(CallState &call)
{
    const auto routes = current();
    if (!routes) {
        return Code::NoConfiguration;
    }
    call.trace.revision = routes->revision();
    if (hasDotSegment(call.request.path)) {
        return Code::BadRequest;
    }
    call.route = routes->find(call.request.host, call.request.path);
    call.routes = routes;
    if (call.route.rule == nullptr) {
        return Code::NoSuchService;
    }
    call.trace.rule.assign(call.route.rule->name);
    call.trace.homes.assign(joinNames(call.route.rule->allowedRegions));
    if (!call.route.rule->unusable.empty()) {
        return Code::RuleUnusable;
    }
    if (call.route.service == nullptr) {
        return call.route.rule->service.empty() ? Code::NoRule : Code::NoSuchService;
    }
    const Service &service = *call.route.service;
    call.trace.service.assign(service.name);
    if (const Code code = identify(call); code != Code::Ok) {
        return code;
    }
    call.idempotent = isIdempotent(*call.route.rule, call.request.method);
    if (call.request.depth > service.maxDepth) {
        return Code::DepthExceeded;
    }
    Duration allowed = call.request.timeLeft.value_or(service.deadline);
    if (call.route.rule->timeout > Duration::zero()) {
        allowed = std::min(allowed, call.route.rule->timeout);
    }
    call.trace.allowed = toFloatMs(allowed);
    call.trace.objective = toFloatMs(call.route.rule->objective);
    call.deadline = call.request.arrivedAt + allowed - options.deadlineMargin;
    if (clock.now() >= call.deadline) {
        return Code::DeadlineTooShort;
    }
    return endsBeforeShutdown(service.name, call.deadline) ? Code::Ok : Code::EntryLeaving;
}

/// Of the next attempt; refers to the call.
AcquireRequest Dispatcher::State::acquireRequest(const CallState &call, CancelToken &cancel) const
{
    AcquireRequest out{.service = call.route.service->name,
                       .caller = call.request.caller,
                       .dataCentres = call.route.rule->dataCentres,
                       .deadline = call.deadline,
                       .idempotent = call.idempotent,
                       .avoid = call.avoid,
                       .bodyBytes = bodyBytes(call.request),
                       .rank = call.route.rule->rank,
                       .objective = call.route.rule->objective,
                       .callerTimeLeft = call.request.timeLeft.value_or(Duration(0)),
                       .cancel = &cancel,
                       .allowedRegions = call.route.rule->allowedRegions};
    setAccount(call.route, call.accountUsage, out);
    return out;
}

CallResponse Dispatcher::State::run(CallState &call, CancelToken &cancel)
{
    Duration quotaRetryAfter{0};
    if (const Code code = takeQuota(call, cancel, quotaRetryAfter); code != Code::Ok) {
        return quotaRefusal(code, quotaRetryAfter);
    }
    const ScopeGuard giveBackOnExit([this, &call] { giveBackQuota(call); });
    call.route.state->budget.deposit(clock.now());
    earnHedgeCredit(call.route);
    while (true) {
        const AcquireRequest request = acquireRequest(call, cancel);
        const auto permit = hooks.acquire(request);
        if (!permit) {
            call.pushedBack = permit.error().code == Code::TargetsPushBack;
            return buildResponse(call, cancel.cancelled() ? Code::Cancelled : refusalCode(permit.error().code));
        }
        call.acquired = request;
        AttemptResult last = attempt(call, *permit, cancel);
        const RetryReason reason = retryReason(last, call.route.rule->retryErrors);
        const RetryDenial denial = decideRetry(call, last, cancel);
        AttemptTrace &attemptTrace = call.trace.attempts[call.traceIndex];
        attemptTrace.denial = denial;
        applyAttemptResult(call, std::move(last), permit->address->name);
        if (denial != RetryDenial::None) {
            counters.retryDenied(denial);
            return buildResponse(call, denial == RetryDenial::Cancelled ? Code::Cancelled : Code::Ok);
        }
        counters.retry(reason);
    }
}

AttemptResult Dispatcher::State::attempt(CallState &call, const Permit &permit, CancelToken &cancel)
{
    beginAttempt(call);
    AttemptTrace &attemptTrace = call.trace.addAttempt(permit.address->name);
    call.traceIndex = call.trace.attemptCount - 1;
    fillTargetChoice(attemptTrace, permit.snapshot, permit.asked, permit.waited);
    const bool first = call.attempts == 1;
    const TimePoint sentAt = clock.now();
    const std::optional<Duration> delay = first ? planHedge(call, permit) : std::nullopt;
    AttemptResult out = delay ? sendHedged(call, permit, *delay, cancel) : send(call, permit, cancel, cancel);
    if (first) {
        recordAnswerTime(call, out, clock.now() - sentAt, cancel);
    }
    fillAttemptTrace(call.trace.attempts[call.traceIndex], out);
    return out;
}

/// Whether an attempt may be sent now, or why not. What was true at the grant may no longer be: the call may have
/// waited for a slot, a connection may have taken long, and the process may have been paused. A request that would be
/// sent after its deadline could only time out with outcome Unknown.
Code Dispatcher::State::checkStart(const Route &route, const KeyFields &key, const Permit &permit,
                                   TimePoint deadline) const
{
    const TimePoint now = clock.now();
    if (now >= deadline) {
        return Code::DeadlineTooShort;
    }
    if (!endsBeforeShutdown(route.service->name, deadline)) {
        return Code::EntryLeaving;
    }
    if (const Code code = recheckKey(route, key); code != Code::Ok) {
        return code;
    }
    if (now >= permit.sendBefore) {
        return Code::PermitLapsed;
    }
    const bool holds = now - permit.grantedAt < TrustedPermitAge || !hooks.permitHolds || hooks.permitHolds(permit);
    return holds ? Code::Ok : Code::PermitLapsed;
}

/// Returns the permit of an attempt that must not be sent.
AttemptResult Dispatcher::State::notSent(const Permit &permit, Code code)
{
    hooks.finish(permit, {.end = AttemptEnd::NotSent, .code = Code::Cancelled});
    AttemptResult out;
    out.code = code;
    return out;
}

/// The fields of the account are those that a hedge takes over.
Attempt Dispatcher::State::attemptOf(const CallState &call, const Permit &permit, Duration left,
                                     CancelToken &cancel) const
{
    return {.address = *permit.address,
            .request = call.request,
            .timeLeft = left,
            .number = call.attempts,
            .idempotent = call.idempotent,
            .cancel = &cancel,
            .account = call.route.accountName(),
            .hidesKeys = call.route.accounts != nullptr};
}

/// cancel: ends the attempt, caller: cancelled by the caller; different if the call may be hedged.
AttemptResult Dispatcher::State::send(const CallState &call, const Permit &permit, CancelToken &cancel,
                                      const CancelToken &caller)
{
    const auto check = [&] {
        return checkStart(call.route, {call.request.key, call.request.keyCount}, permit, call.deadline);
    };
    if (const Code code = check(); code != Code::Ok) {
        return notSent(permit, code);
    }
    Code refusal = Code::Ok;
    Attempt attempt = attemptOf(call, permit, call.deadline - clock.now(), cancel);
    attempt.mayStart = [&] {
        return refusal = check();
    };
    AttemptResult out = hooks.send(attempt);
    hooks.finish(permit, {.end = out.end,
                          .code = refusal == Code::Ok ? out.code : Code::Cancelled, // says nothing about the target
                          .load = out.load,
                          .status = out.response.status,
                          .notice = out.notice,
                          .overtaken = out.code == Code::Cancelled && !caller.cancelled()});
    counters.attempt(out.end, out.elapsed);
    return out;
}

RetryDenial Dispatcher::State::decideRetry(const CallState &call, const AttemptResult &last, const CancelToken &cancel)
{
    if (call.response && call.response->status < FirstErrorStatus) {
        return RetryDenial::NotNeeded; // the hedge returned a usable response
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
                                         .bodySent = call.request.stream && call.request.stream->started,
                                         .timeLeft = call.deadline - now});
    if (out != RetryDenial::None) {
        return out;
    }
    if (!endsBeforeShutdown(call.route.service->name, call.deadline)) {
        return RetryDenial::Shutdown;
    }
    if (recheckKey(call.route, {call.request.key, call.request.keyCount}) != Code::Ok) {
        return RetryDenial::Key;
    }
    return call.route.state->budget.tryWithdraw(now) ? RetryDenial::None : RetryDenial::Budget;
}

/// Sets when the caller may retry: when the first target that pushes back takes requests again, or else after a share
/// of the caller's remaining time, if known, since a retry after its deadline is useless. Callers that were refused for
/// lack of room come back later, and not all at once.
void Dispatcher::State::setRetryAfter(const CallState &call, CallResponse &response)
{
    if (call.pushedBack && response.retryAfter > Duration::zero()) {
        response.retryAfter = std::max(hooks.pushBackLeft(call.route.service->name), options.minRetryAfter);
        return;
    }
    if (response.code == Code::NoHomeTarget) {
        return; // only a change of the configuration or of an evacuation ends it, so an early retry is useless
    }
    if (response.code == Code::EntryLeaving) {
        response.retryAfter = options.minRetryAfter; // other instances can take the call at once
        return;
    }
    if (response.code == Code::KeyUnverified) {
        response.retryAfter = std::max(options.minRetryAfter, UnverifiedRetryAfter);
        return;
    }
    if (response.code == Code::QuotaExceeded) {
        return; // as the grantors said
    }
    if (response.code == Code::TargetRefused && call.refusedWithRoom && options.refusedRetryAfter > Duration::zero()) {
        response.retryAfter = options.refusedRetryAfter;
        return;
    }
    if (response.retryAfter == Duration::zero() || options.retryAfterShare <= 0 || !call.request.timeLeft) {
        return;
    }
    const Duration left = call.request.arrivedAt + *call.request.timeLeft - clock.now();
    if (isLackOfRoom(response.code) && options.noRoomRetryAfterShare > 0) {
        const auto count = static_cast<double>(noRoomRefusals.fetch_add(1, std::memory_order_relaxed));
        const double spread = (1 + std::fmod(count * GoldenRatioConjugate, 1.0)) / 2;
        response.retryAfter = std::max(shareOf(left, options.noRoomRetryAfterShare * spread), options.minRetryAfter);
        return;
    }
    response.retryAfter =
        std::clamp(shareOf(left, options.retryAfterShare), options.minRetryAfter, response.retryAfter);
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

void Dispatcher::startShutdown(const ShutdownWindow &window)
{
    {
        LockGuard lock(m_state->configurationMutex);
        m_state->shutdown = window;
    }
    m_state->shuttingDown = true;
}

bool Dispatcher::streamsBody(const CallRequest &request) const
{
    const auto routes = m_state->current();
    const Rule *rule = routes ? routes->match(request.host, request.path) : nullptr;
    return rule != nullptr && rule->largeBodies && !isIdempotent(*rule, request.method);
}

CallResponse Dispatcher::dispatch(const CallRequest &request, CancelToken &cancel)
{
    CallState call{.request = request};
    const Code code = m_state->admit(call);
    CallResponse out = code == Code::Ok ? m_state->run(call, cancel) : errorResponse(code);
    m_state->setRetryAfter(call, out);
    m_state->counters.call(out, m_state->clock.now() - request.arrivedAt);
    m_state->saveTrace(call, out);
    return out;
}

bool Dispatcher::mayRepeat(const CallRequest &request) const
{
    const auto routes = m_state->current();
    const Rule *rule = routes ? routes->match(request.host, request.path) : nullptr;
    return rule != nullptr && isIdempotent(*rule, request.method);
}

std::string Dispatcher::explainCall(std::string_view requestId) const
{
    return m_state->traces.byRequest(requestId, m_state->clock.now());
}

std::string Dispatcher::recentCalls(std::string_view service, size_t limit) const
{
    return m_state->traces.byService(service, limit, m_state->clock.now());
}

} // namespace damask
