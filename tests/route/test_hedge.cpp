#include "fakes/fake_async_runner.h"
#include "fakes/fake_sender.h"
#include "route/dispatcher.h"
#include "route/hedge.h"

#include <criterion/criterion.h>

using namespace damask;
using namespace std::chrono_literals;

namespace {

Configuration hedged()
{
    Configuration out = oneService();
    out.services[0].hedge = true;
    return out;
}

/// A dispatcher whose first attempt is late, so that the hedge becomes due while it runs.
struct LateFirstAttempt {
    explicit LateFirstAttempt(AttemptResult firstResult, AttemptResult secondResult,
                              Configuration configuration = hedged())
        : first(std::move(firstResult))
        , second(std::move(secondResult))
        , dispatcher(clock, metrics, {}, hooks())
    {
        clock.pause();
        dispatcher.apply(std::make_shared<Configuration>(std::move(configuration)));
    }
    DispatcherHooks hooks()
    {
        DispatcherHooks out = sender.hooks([this](const Attempt &it) { return send(it); });
        out.runAsync = asyncRunner.hook();
        return out;
    }
    AttemptResult send(const Attempt &it)
    {
        if (it.number == 2) {
            return second;
        }
        clock.advance(lateBy);
        asyncRunner.run();
        return it.cancel->cancelled() ? ended(AttemptEnd::Lost, Code::Cancelled) : first;
    }
    CallResponse call(CallRequest it)
    {
        it.arrivedAt = clock.now();
        return dispatcher.dispatch(it, cancel);
    }
    double hedges(std::string_view end)
    {
        return metrics.counter("damask_hedges_total", {{"end", end}}).Value();
    }

    Clock clock;
    Metrics metrics;
    FakeSender sender;
    FakeAsyncRunner asyncRunner;
    Duration lateBy = 50ms;
    AttemptResult first;
    AttemptResult second;
    CancelToken cancel;
    Dispatcher dispatcher;
};

const AttemptResult Lost = ended(AttemptEnd::Lost, Code::ConnectionLost);

} // namespace

Test(hedge, its_response_replaces_a_late_attempt_and_cancels_it)
{
    LateFirstAttempt it(answered(200, "first"), answered(200, "second"));
    const CallResponse got = it.call(request());
    cr_assert(got.body == "second" && got.target == "pool/b" && got.attempts == 2);
    cr_assert(it.sender.reports().at(1).code == Code::Cancelled, "the losing attempt must be cancelled");
    cr_assert(it.hedges("won") == 1);
    cr_assert(it.dispatcher.explainCall("r-1").find("\"hedge\":true") != std::string::npos);
}

Test(hedge, is_not_sent_before_its_delay)
{
    LateFirstAttempt it(answered(200, "first"), answered(200, "second"));
    it.lateBy = 0ms;
    CallRequest early = request();
    early.timeLeft = 40ms;
    cr_assert(it.call(early).body == "first");
    cr_assert(it.sender.seen().size() == 1, "the deadline expires before the hedge is due");
}

Test(hedge, is_sent_only_for_top_level_idempotent_calls_of_services_that_enable_it)
{
    LateFirstAttempt it(answered(200, "first"), answered(200, "second"));
    cr_assert(it.call(request("POST")).attempts == 1);
    CallRequest below = request();
    below.depth = 1;
    cr_assert(it.call(below).attempts == 1);
    LateFirstAttempt hedgingOff(answered(), answered(), oneService());
    cr_assert(hedgingOff.call(request()).attempts == 1);
}

Test(hedge, an_error_response_does_not_win_the_race)
{
    LateFirstAttempt it(answered(200, "first"), answered(500, "second"));
    cr_assert(it.call(request()).body == "first");
    cr_assert(it.hedges("failed") == 1);
}

Test(hedge, its_response_is_returned_if_the_first_attempt_fails)
{
    LateFirstAttempt it(Lost, answered(500, "second"));
    const CallResponse got = it.call(request());
    cr_assert(got.status == 500 && got.body == "second" && got.attempts == 3);
}

Test(hedge, is_limited_by_the_retry_budget)
{
    Configuration withoutBudget = hedged();
    withoutBudget.services[0].retryRatio = 0;
    LateFirstAttempt it(answered(200, "first"), answered(200, "second"), withoutBudget);
    cr_assert(it.call(request()).body == "first");
    cr_assert(it.hedges("no-budget") == 1);
}

Test(hedge, the_first_attempt_continues_without_a_free_thread)
{
    LateFirstAttempt it(answered(200, "first"), answered(200, "second"));
    it.asyncRunner.threadAvailable = false;
    cr_assert(it.call(request()).body == "first");
    cr_assert(it.hedges("no-thread") == 1);
    it.asyncRunner.threadAvailable = true;
    cr_assert(it.call(request()).body == "second");
}

// The destructors must not wait for a task that the pool dropped without running it.
Test(hedge, a_pool_that_drops_its_tasks_blocks_nothing)
{
    LateFirstAttempt it(answered(200, "first"), answered(200, "second"));
    it.lateBy = 0ms;
    it.asyncRunner.threadAvailable = true;
    {
        LateFirstAttempt dropped(answered(200, "first"), answered());
        dropped.lateBy = 0ms;
        dropped.first = answered(200, "first");
        DispatcherHooks hooks = dropped.hooks();
        hooks.send = [&dropped](const Attempt &) {
            dropped.asyncRunner.drop();
            return dropped.first;
        };
        Dispatcher other(dropped.clock, dropped.metrics, {}, hooks);
        other.apply(std::make_shared<Configuration>(hedged()));
        CallRequest n = request();
        n.arrivedAt = dropped.clock.now();
        cr_assert(other.dispatch(n, dropped.cancel).body == "first");
    }
}

Test(hedge, a_result_after_close_is_discarded)
{
    Clock clock;
    clock.pause();
    const CallRequest original = request();
    HedgeRace race(clock, original, "pool/a", {});
    cr_assert(race.begin());
    const HedgeOutcome outcome = race.close(false, Never);
    cr_assert(outcome.started && !outcome.ended);
    cr_assert(race.hedgeToken().cancelled());
    cr_assert(!race.end(HedgeResult{answered(), "pool/b", 0ms}));
    HedgeRace over(clock, original, "pool/a", {});
    over.close(true, Never);
    cr_assert(!over.begin(), "a closed race must not start a hedge");
}

Test(hedge, delay_converges_to_the_95th_percentile)
{
    HedgeDelay delay;
    cr_assert((delay.percentile95() == 0ms));
    for (int n = 0; n < 20000; ++n) {
        delay.addSample(Duration(1ms) * (1 + n * 7919 % 100));
    }
    cr_assert((delay.percentile95() > 85ms && delay.percentile95() < 105ms));
}
