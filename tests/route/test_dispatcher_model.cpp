// Model test: the dispatcher with a fake sender that fails at random points and counts how often each request really
// ran.
#include <rapidcheck.h>

#include "base/log.h"
#include "fakes/fake_async_runner.h"
#include "fakes/fake_sender.h"
#include "route/dispatcher.h"

#include <criterion/criterion.h>
#include <cstdlib>

using namespace damask;
using namespace std::chrono_literals;

namespace {

constexpr const char *DefaultRun = "seed=20261204 max_success=300"; // overridden by RC_PARAMS

constexpr Duration HedgeAfter = 50ms; // default of Service::hedgeAfter

/// How one attempt ends, and whether the target ran the request.
enum class TargetBehaviour {
    Answers,
    AnswersError,
    AnswersUnavailable,
    FailsToConnect,
    ReportsNotRun,
    LosesConnectionBeforeRun,
    LosesConnectionAfterRun,
    TimesOutAfterRun,
};

struct CallStep {
    bool post = false;
    int depth = 0;
    int deadline = 100;                      // ms
    int pause = 0;                           // ms before the call
    bool callerCancels = false;              // the caller cancels during the first attempt
    std::vector<TargetBehaviour> behaviours; // of the attempts, in order
    std::vector<int> durations;              // ms, of the attempts, in order
};

rc::Gen<CallStep> anyCallStep()
{
    return rc::gen::build<CallStep>(
        rc::gen::set(&CallStep::post), rc::gen::set(&CallStep::depth, rc::gen::inRange(0, 3)),
        rc::gen::set(&CallStep::deadline, rc::gen::inRange(1, 300)),
        rc::gen::set(&CallStep::pause, rc::gen::inRange(0, 30)),
        rc::gen::set(&CallStep::callerCancels, rc::gen::map(rc::gen::inRange(0, 8), [](int n) { return n == 0; })),
        rc::gen::set(&CallStep::behaviours, rc::gen::container<std::vector<TargetBehaviour>>(
                                                4, rc::gen::cast<TargetBehaviour>(rc::gen::inRange(
                                                       0, static_cast<int>(TargetBehaviour::TimesOutAfterRun) + 1)))),
        rc::gen::set(&CallStep::durations, rc::gen::container<std::vector<int>>(4, rc::gen::inRange(0, 120))));
}

/// The dispatcher, and the number of times each request was sent and run, which its responses are checked against.
struct Model {
    explicit Model(bool hedge)
        : dispatcher(clock, metrics, {}, hooks())
    {
        clock.pause();
        Configuration configuration = oneService();
        configuration.services[0].hedge = hedge;
        dispatcher.apply(std::make_shared<Configuration>(configuration));
    }
    DispatcherHooks hooks()
    {
        DispatcherHooks out = sender.hooks([this](const Attempt &it) { return send(it); });
        out.runAsync = asyncRunner.hook();
        return out;
    }
    AttemptResult send(const Attempt &it)
    {
        RC_ASSERT(it.timeLeft > Duration::zero());
        const size_t n = sent++;
        const TargetBehaviour behaviour = step.behaviours[n % step.behaviours.size()];
        const Duration duration = std::min(Duration(1ms) * step.durations[n % step.durations.size()], it.timeLeft);
        clock.advance(duration);
        if (it.number == 1 && duration >= HedgeAfter) {
            asyncRunner.run(); // only when the hedge is due: earlier, the timer task would block
        }
        if (n == 0 && step.callerCancels) {
            cancel->cancel();
        }
        if (it.cancel->cancelled()) {
            ++runs; // count it as run, because it may have run
            return ended(AttemptEnd::Lost, Code::Cancelled);
        }
        return resultFor(behaviour);
    }
    AttemptResult resultFor(TargetBehaviour behaviour)
    {
        AttemptResult out = answered(200, std::to_string(calls));
        switch (behaviour) {
        case TargetBehaviour::FailsToConnect:
            return ended(AttemptEnd::NotSent, Code::ConnectFailed);
        case TargetBehaviour::ReportsNotRun:
            return ended(AttemptEnd::Refused, Code::TargetRefused);
        case TargetBehaviour::LosesConnectionBeforeRun:
            return ended(AttemptEnd::Lost, Code::ConnectionLost);
        case TargetBehaviour::LosesConnectionAfterRun:
            ++runs;
            return ended(AttemptEnd::Lost, Code::ConnectionLost);
        case TargetBehaviour::TimesOutAfterRun:
            ++runs;
            return ended(AttemptEnd::Lost, Code::AnswerTimeout);
        case TargetBehaviour::AnswersUnavailable:
            out.response.headers = {{"Retry-After", "1"}};
            out.response.status = 503;
            break;
        case TargetBehaviour::AnswersError:
            out.response.status = 500;
            break;
        case TargetBehaviour::Answers:
            break;
        }
        ++runs;
        return out;
    }
    void runStep(const CallStep &next)
    {
        step = next;
        sent = 0;
        runs = 0;
        ++calls;
        clock.advance(Duration(1ms) * step.pause);
        CancelToken token;
        cancel = &token;
        CallRequest it = request(step.post ? "POST" : "GET");
        it.depth = step.depth;
        it.timeLeft = Duration(1ms) * step.deadline;
        it.arrivedAt = clock.now();
        check(dispatcher.dispatch(it, token));
        asyncRunner.run();
    }
    void check(const CallResponse &got)
    {
        allSent += sent;
        RC_ASSERT(static_cast<size_t>(got.attempts) == sent);
        RC_ASSERT(sent <= 3U);
        RC_ASSERT(!step.post || runs <= 1);
        RC_ASSERT(got.outcome != Outcome::NotRun || runs == 0);
        RC_ASSERT(got.outcome != Outcome::Answered || runs > 0);
        RC_ASSERT(got.outcome != Outcome::Answered || got.body == std::to_string(calls));
        RC_ASSERT((got.code == Code::Ok) == (got.outcome == Outcome::Answered));
        RC_ASSERT(sender.reports().size() == allSent);
        const double seconds = toSeconds(clock.now().time_since_epoch() - startedAt.time_since_epoch());
        RC_ASSERT(static_cast<double>(allSent) <= calls * 1.1 + 10 + seconds * 0.5 + 1);
    }

    Clock clock;
    Metrics metrics;
    FakeSender sender;
    FakeAsyncRunner asyncRunner;
    CallStep step;
    CancelToken *cancel = nullptr;
    size_t sent = 0;
    size_t allSent = 0;
    int runs = 0;
    int calls = 0;
    Dispatcher dispatcher;
    TimePoint startedAt = clock.now();
};

bool checkModel(bool hedge)
{
    setenv("RC_PARAMS", DefaultRun, 0);
    setLogLevel(Severity::Error);
    return rc::check([hedge] {
        Model model(hedge);
        for (const CallStep &it : *rc::gen::container<std::vector<CallStep>>(anyCallStep())) {
            model.runStep(it);
        }
    });
}

} // namespace

Test(dispatcher_model, invariants_hold_for_any_target_behaviour)
{
    cr_assert(checkModel(false));
}

Test(dispatcher_model, invariants_hold_with_hedges)
{
    cr_assert(checkModel(true));
}
