#include "base/scope.h"
#include "route/dispatcher_state.h"
#include "route/retry.h"

#include <algorithm>
#include <utility>

namespace damask {

namespace {

// A withdrawal takes a round trip to a grantor, after up to a second since the message before it.
constexpr Duration CreditPoll = std::chrono::milliseconds(25);
constexpr Duration MaxCreditWait = std::chrono::milliseconds(1200);

/// Time until the objective has passed; none if the rule has none.
std::optional<Duration> objectiveLeft(const Rule &rule, TimePoint objectiveAt, TimePoint now)
{
    return rule.objective > Duration::zero() ? std::optional(objectiveAt - now) : std::nullopt;
}

std::optional<HedgeEnd> unsentEnd(HedgeDenial denial)
{
    switch (denial) {
    case HedgeDenial::Limit:
    case HedgeDenial::Budget:
        return HedgeEnd::NoBudget;
    case HedgeDenial::Queue:
    case HedgeDenial::Shortage:
    case HedgeDenial::Target:
        return HedgeEnd::NoTarget;
    case HedgeDenial::Thread:
        return HedgeEnd::NoThread;
    default:
        return std::nullopt;
    }
}

} // namespace

bool HedgeTerms::limited() const
{
    return typical > Duration::zero();
}

AcquireRequest HedgeTerms::request(std::string_view avoid, CancelToken &cancel) const
{
    AcquireRequest out = first;
    out.caller = caller;
    out.account = account;
    out.allowedRegions = allowedRegions;
    out.accountRegions = accountRegions;
    out.avoid = avoid;
    out.mayWait = false;
    out.onlyFree = limited();
    out.cancel = &cancel;
    return out;
}

HedgeTerms Dispatcher::State::hedgeTerms(const CallState &call, const Permit &permit, CancelToken &cancel) const
{
    const AcquireRequest &acquired = call.acquired;
    const Attempt attempt = attemptOf(call, permit, call.deadline - clock.now(), cancel);
    return {.routes = call.routes,
            .route = call.route,
            .first = acquired,
            .caller = std::string(acquired.caller),
            .account = std::string(attempt.account),
            .allowedRegions = {acquired.allowedRegions.begin(), acquired.allowedRegions.end()},
            .accountRegions = {acquired.accountRegions.begin(), acquired.accountRegions.end()},
            .hidesKeys = attempt.hidesKeys,
            .key = std::string(call.request.key),
            .keyCount = call.request.keyCount,
            .deadline = call.deadline,
            .objectiveAt = call.request.arrivedAt + call.route.rule->objective,
            .typical = call.hedgeTypical};
}

std::optional<Duration> Dispatcher::State::planHedge(CallState &call, const Permit &permit)
{
    const Service &service = *call.route.service;
    const ServiceState &state = *call.route.state;
    if (!service.hedge || hooks.runAsync == nullptr) {
        return std::nullopt;
    }
    if (!state.answerTimes) {
        // Only the first call of a chain is hedged: hedges at every level would multiply with the depth of the chain.
        const bool eligible = call.idempotent && call.request.depth == 0;
        return eligible ? std::optional(std::max(service.hedgeAfter, state.hedgeDelay.percentile95())) : std::nullopt;
    }
    const TimePoint now = clock.now();
    const Rule &rule = *call.route.rule;
    const AnswerTimeEstimate times = state.answerTimes->estimate(rule.name, lateShareOf(service.hedgeLimit));
    const HedgePlan plan =
        damask::planHedge({.limit = service.hedgeLimit,
                           .idempotent = call.idempotent,
                           .depth = call.request.depth,
                           .maxSent = rule.maxAttempts,
                           .streamed = call.request.stream != nullptr,
                           .waited = permit.waited > Duration::zero(),
                           .times = times,
                           .objectiveLeft = objectiveLeft(rule, call.request.arrivedAt + rule.objective, now),
                           .timeLeft = call.deadline - now});
    if (plan.denial != HedgeDenial::None) {
        counters.hedgeWithheld(plan.denial);
        call.trace.hedgeDenial = plan.denial;
        return std::nullopt;
    }
    call.hedgeTypical = times.typical;
    call.trace.hedgeDelay = static_cast<float>(toMilliseconds(plan.delay));
    return plan.delay;
}

void Dispatcher::State::recordAnswerTime(const CallState &call, const AttemptResult &first, Duration elapsed,
                                         const CancelToken &cancel)
{
    if (!call.route.state->answerTimes || !call.idempotent) {
        return;
    }
    // The time of an attempt that its hedge has overtaken is a lower bound, but longer than the delay.
    const bool overtaken = first.code == Code::Cancelled && !cancel.cancelled();
    if (overtaken || winsRace(first)) {
        call.route.state->answerTimes->add(call.route.rule->name, elapsed);
    }
}

AttemptResult Dispatcher::State::sendHedged(CallState &call, const Permit &permit, Duration delay, CancelToken &cancel)
{
    const auto race = std::make_shared<HedgeRace>(
        clock, call.request, permit.address->name,
        [this, terms = hedgeTerms(call, permit, cancel)](HedgeRace &it) { runHedge(it, terms); });
    const uint64_t callbackId = cancel.onCancel([race] { race->cancelBoth(); });
    const ScopeGuard removeOnExit([&cancel, callbackId] { cancel.removeCallback(callbackId); });
    const TimePoint due = clock.now() + delay;
    if (due < call.deadline && !hedgeTimer->schedule(due, race)) {
        withholdHedge(*race, HedgeDenial::Thread);
    }
    AttemptResult out = send(call, permit, race->firstToken(), cancel);
    const bool cancelledByHedge = out.code == Code::Cancelled && !cancel.cancelled();
    if (!call.route.state->answerTimes && (out.end == AttemptEnd::Answered || cancelledByHedge)) {
        call.route.state->hedgeDelay.addSample(out.elapsed);
    }
    collectHedge(call, *race, out);
    return out;
}

void Dispatcher::State::collectHedge(CallState &call, HedgeRace &race, const AttemptResult &first)
{
    const bool firstWon = winsRace(first);
    HedgeOutcome outcome = race.close(!firstWon, call.deadline);
    call.trace.hedgeDenial = outcome.denial;
    if (!outcome.started) {
        if (outcome.postponed) { // counted only now, because it might have been sent
            counters.hedgeWithheld(outcome.denial);
            counters.hedge(HedgeEnd::NoBudget);
        }
        return;
    }
    beginAttempt(call);
    AttemptTrace &attemptTrace = call.trace.addAttempt(outcome.ended ? outcome.ended->target : std::string_view());
    attemptTrace.hedge = true;
    if (!outcome.ended) {
        return;
    }
    fillTargetChoice(attemptTrace, outcome.ended->snapshot, outcome.ended->asked, outcome.ended->waited);
    fillAttemptTrace(attemptTrace, outcome.ended->result);
    counters.hedge(winsRace(outcome.ended->result) ? (firstWon ? HedgeEnd::Lost : HedgeEnd::Won) : HedgeEnd::Failed);
    if (!firstWon) {
        applyAttemptResult(call, std::move(outcome.ended->result), outcome.ended->target);
    }
}

void Dispatcher::State::withholdHedge(HedgeRace &race, HedgeDenial denial)
{
    race.withhold(denial);
    counters.hedgeWithheld(denial);
    if (const auto end = unsentEnd(denial)) {
        counters.hedge(*end);
    }
}

std::optional<Permit> Dispatcher::State::acquireHedge(HedgeRace &race, const HedgeTerms &terms)
{
    if (!terms.route.state->budget.tryWithdraw(clock.now())) {
        withholdHedge(race, HedgeDenial::Budget);
        return std::nullopt;
    }
    auto permit = hooks.acquire(terms.request(race.firstTarget(), race.hedgeToken()));
    if (!permit) {
        withholdHedge(race, HedgeDenial::Target);
        return std::nullopt;
    }
    return std::move(*permit);
}

/// Neither the limit nor the retry budget is charged for a hedge that finds no room.
std::optional<Permit> Dispatcher::State::acquireLimitedHedge(HedgeRace &race, const HedgeTerms &terms)
{
    ServiceState &state = *terms.route.state;
    const TimePoint now = clock.now();
    const HedgeDenial denial = checkDueHedge({.typical = terms.typical,
                                              .objectiveLeft = objectiveLeft(*terms.route.rule, terms.objectiveAt, now),
                                              .timeLeft = terms.deadline - now,
                                              .limitBalance = hedgeBalance(terms.route, now),
                                              .retryBalance = state.budget.balance(now)});
    if (denial == HedgeDenial::Limit && waitForHedgeCredit(race, terms.route, now)) {
        return std::nullopt;
    }
    if (denial != HedgeDenial::None) {
        withholdHedge(race, denial);
        return std::nullopt;
    }
    auto permit = hooks.acquire(terms.request(race.firstTarget(), race.hedgeToken()));
    if (!permit) {
        withholdHedge(race, hedgeDenialOf(permit.error().code));
        return std::nullopt;
    }
    const TimePoint granted = clock.now(); // later than `now` by the time of the probes
    const bool withinBudget = state.budget.tryWithdraw(granted);
    if (!withinBudget || !takeHedgeCredit(terms.route, granted)) {
        hooks.finish(*permit, {.end = AttemptEnd::NotSent, .code = Code::Cancelled});
        withholdHedge(race, withinBudget ? HedgeDenial::Limit : HedgeDenial::Budget);
        return std::nullopt;
    }
    return std::move(*permit);
}

void Dispatcher::State::earnHedgeCredit(const Route &route)
{
    if (!route.state->answerTimes) {
        return;
    }
    if (hooks.hedgeCredit.earn) {
        hooks.hedgeCredit.earn(route.service->name);
    } else {
        route.state->hedgeBudget.deposit(clock.now());
    }
}

double Dispatcher::State::hedgeBalance(const Route &route, TimePoint now)
{
    return hooks.hedgeCredit.balance ? hooks.hedgeCredit.balance(route.service->name)
                                     : route.state->hedgeBudget.balance(now);
}

bool Dispatcher::State::takeHedgeCredit(const Route &route, TimePoint now)
{
    return hooks.hedgeCredit.tryTake ? hooks.hedgeCredit.tryTake(route.service->name)
                                     : route.state->hedgeBudget.tryWithdraw(now);
}

/// Puts a due hedge off until credit may have arrived. False: credit is not shared, or it has waited for long enough.
bool Dispatcher::State::waitForHedgeCredit(HedgeRace &race, const Route &route, TimePoint now)
{
    if (!hooks.hedgeCredit.want) {
        return false;
    }
    const bool isFirst = !race.postponed();
    if (!race.postpone(now + CreditPoll, now + MaxCreditWait)) {
        return false;
    }
    if (isFirst) {
        hooks.hedgeCredit.want(route.service->name);
    }
    return true;
}

void Dispatcher::State::runHedge(HedgeRace &race, const HedgeTerms &terms)
{
    if (clock.now() >= terms.deadline) {
        return;
    }
    if (!endsBeforeShutdown(terms.route.service->name, terms.deadline)) {
        withholdHedge(race, HedgeDenial::Shutdown);
        return;
    }
    const auto permit = terms.limited() ? acquireLimitedHedge(race, terms) : acquireHedge(race, terms);
    if (!permit) {
        return;
    }
    if (recheckKey(terms.route, {terms.key, terms.keyCount}) != Code::Ok) {
        hooks.finish(*permit, {.end = AttemptEnd::NotSent, .code = Code::Cancelled});
        withholdHedge(race, HedgeDenial::Key);
        return;
    }
    if (!race.begin()) {
        hooks.finish(*permit, {.end = AttemptEnd::NotSent, .code = Code::Cancelled});
        return;
    }
    counters.hedgeSent();
    AttemptResult result = hooks.send({.address = *permit->address,
                                       .request = race.request(),
                                       .timeLeft = terms.deadline - clock.now(),
                                       .number = 2,
                                       .idempotent = true,
                                       .cancel = &race.hedgeToken(),
                                       .account = terms.account,
                                       .hidesKeys = terms.hidesKeys});
    hooks.finish(*permit, {.end = result.end,
                           .code = result.code,
                           .load = result.load,
                           .status = result.response.status,
                           .notice = result.notice,
                           .overtaken = result.code == Code::Cancelled && race.overtaken()});
    counters.attempt(result.end, result.elapsed);
    if (!race.end(
            HedgeResult{std::move(result), permit->address->name, permit->waited, permit->snapshot, permit->asked})) {
        counters.hedge(HedgeEnd::Lost);
    }
}

bool Dispatcher::State::runTracked(std::function<void()> task)
{
    {
        LockGuard lock(taskMutex);
        ++tasks;
    }
    // Runs when the last copy of the task is destroyed, also if the pool drops the task without running it.
    const auto done = std::make_shared<ScopeGuard>([this] {
        LockGuard lock(taskMutex);
        --tasks;
        tasksChanged.notifyAll();
    });
    return hooks.runAsync([done, task = std::move(task)] { task(); });
}

} // namespace damask
