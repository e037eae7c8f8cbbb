#include "base/scope.h"
#include "route/dispatcher_state.h"
#include "route/retry.h"

#include <algorithm>
#include <utility>

namespace damask {

bool Dispatcher::State::mayHedge(const CallState &call) const
{
    // Only the topmost call hedges: a hedge at each level of a chain would multiply by level.
    const bool wished = call.route.service->hedge && call.idempotent && call.request.depth == 0;
    return wished && call.attempts == 1 && hooks.runBeside != nullptr;
}

AttemptResult Dispatcher::State::sendHedged(CallState &call, const Permit &permit, CancelToken &cancel)
{
    const Route route = call.route;
    const TimePoint deadline = call.deadline;
    const auto race = std::make_shared<HedgeRace>(
        clock, call.request, permit.address->name,
        [this, route, routes = call.routes, deadline](HedgeRace &it) { hedge(it, route, deadline); });
    const uint64_t watch = cancel.onCancel([race] { race->cancelBoth(); });
    const ScopeGuard unwatch([&cancel, watch] { cancel.forget(watch); });
    const Duration delay = std::max(route.service->hedgeAfter, route.state->delay.typicalMost());
    if (clock.now() + delay < deadline && !timer->arm(clock.now() + delay, race)) {
        counters.hedge(HedgeEnd::NoThread);
    }
    AttemptResult out = send(call, permit, race->first());
    const bool cancelledByHedge = out.code == Code::Cancelled && !cancel.cancelled();
    if (out.end == AttemptEnd::Answered || cancelledByHedge) {
        route.state->delay.note(out.elapsed);
    }
    takeHedge(call, *race, out);
    return out;
}

void Dispatcher::State::takeHedge(CallState &call, HedgeRace &race, const AttemptResult &first)
{
    const bool firstWon = winsRace(first);
    HedgeOutcome outcome = race.close(!firstWon, call.deadline);
    if (!outcome.began) {
        return;
    }
    beginAttempt(call);
    WhyAttempt &kept = call.record.addAttempt(outcome.ended ? outcome.ended->target : std::string_view());
    kept.hedge = true;
    if (!outcome.ended) {
        return;
    }
    kept.waited = static_cast<float>(toMilliseconds(outcome.ended->waited));
    fillAttempt(kept, outcome.ended->result);
    counters.hedge(winsRace(outcome.ended->result) ? (firstWon ? HedgeEnd::Lost : HedgeEnd::Won) : HedgeEnd::Failed);
    if (!firstWon) {
        noteAttempt(call, std::move(outcome.ended->result), outcome.ended->target);
    }
}

void Dispatcher::State::hedge(HedgeRace &race, const Route &route, TimePoint deadline)
{
    if (clock.now() >= deadline) {
        return;
    }
    if (!route.state->budget.spend(clock.now())) {
        counters.hedge(HedgeEnd::NoBudget);
        return;
    }
    const auto permit = hooks.acquire({.service = route.service->name,
                                       .dataCentres = route.rule->dataCentres,
                                       .deadline = deadline,
                                       .idempotent = true,
                                       .avoid = race.firstTarget(),
                                       .mayWait = false,
                                       .cancel = &race.second()});
    if (!permit) {
        counters.hedge(HedgeEnd::NoTarget);
        return;
    }
    if (!race.begin()) {
        hooks.finish(*permit, {.end = AttemptEnd::NotSent, .code = Code::Cancelled});
        return;
    }
    AttemptResult result = hooks.send({.address = *permit->address,
                                       .request = race.request(),
                                       .timeLeft = deadline - clock.now(),
                                       .number = 2,
                                       .idempotent = true,
                                       .cancel = &race.second()});
    hooks.finish(*permit,
                 {.end = result.end, .code = result.code, .load = result.load, .status = result.answer.status});
    counters.attempt(result.end, result.elapsed);
    if (!race.end(HedgeResult{std::move(result), permit->address->name, permit->waited})) {
        counters.hedge(HedgeEnd::Lost);
    }
}

bool Dispatcher::State::runCounted(std::function<void()> task)
{
    {
        LockGuard lock(taskMutex);
        ++tasks;
    }
    // Ends with the last copy of the task, also where a pool drops it unrun.
    const auto done = std::make_shared<ScopeGuard>([this] {
        LockGuard lock(taskMutex);
        --tasks;
        tasksChanged.notifyAll();
    });
    return hooks.runBeside([done, task = std::move(task)] { task(); });
}

} // namespace damask
