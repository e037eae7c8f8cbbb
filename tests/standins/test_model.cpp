#include "damask-target/model.h"

#include <criterion/criterion.h>

using namespace damask;
using namespace damask::standin;
using namespace std::chrono_literals;

namespace {

/// A model, its answers, and a time that the test advances.
struct Fixture {
    TimePoint now{1h};
    TargetModel model;
    std::vector<DueAnswer> due;
    std::vector<TargetAnswer> answers;

    explicit Fixture(const TargetOptions &options)
        : model(options, seededRandom(7), now)
    {
    }

    void arrive(const std::string &id, TimePoint deadline = Never)
    {
        const auto number = static_cast<uint64_t>(id.back());
        model.arrive({number, id, deadline,
                      [this](const TargetAnswer &it) {
                          answers.push_back(it);
                      }},
                     now, due);
        run();
    }

    void advance(Duration by)
    {
        now += by;
        model.finishDue(now, due);
        run();
    }

    void run()
    {
        for (DueAnswer &it : due) {
            it.answer(it.content);
        }
        due.clear();
    }
};

TargetOptions steady()
{
    TargetOptions options;
    options.name = "t1";
    options.slots = 1;
    options.queueLimit = 1;
    options.serviceTime = 10ms;
    options.spread = 0;
    return options;
}

} // namespace

Test(model, runs_as_many_as_it_has_slots_then_queues_then_sheds)
{
    Fixture fixture(steady());
    fixture.arrive("a");
    fixture.arrive("b");
    fixture.arrive("c");
    cr_assert(fixture.answers.size() == 1, "the slot and the queue are full for the third request");
    cr_assert(fixture.answers[0].refused && fixture.answers[0].status == 503);
    fixture.advance(10ms);
    fixture.advance(10ms);
    cr_assert(fixture.answers.size() == 3);
    cr_assert(fixture.model.runCounts["a"] == 1 && fixture.model.runCounts["b"] == 1
              && fixture.model.runCounts.count("c") == 0);
}

Test(model, a_queued_call_past_its_deadline_is_refused_as_not_run)
{
    Fixture fixture(steady());
    fixture.arrive("a");
    fixture.arrive("b", fixture.now + 5ms);
    fixture.advance(10ms);
    cr_assert(fixture.answers.size() == 2);
    cr_assert(fixture.answers[1].refused);
    cr_assert(fixture.model.runCounts.count("b") == 0);
}

Test(model, a_cancelled_queued_call_never_runs)
{
    Fixture fixture(steady());
    fixture.arrive("a");
    fixture.arrive("b");
    cr_assert(fixture.model.cancel(static_cast<uint64_t>('b')));
    cr_assert(!fixture.model.cancel(static_cast<uint64_t>('a')), "a running call can't be cancelled");
    fixture.advance(30ms);
    cr_assert(fixture.model.runCounts.count("b") == 0);
}

Test(model, a_frozen_target_answers_nothing_until_unfrozen)
{
    Fixture fixture(steady());
    fixture.arrive("a");
    TargetFaults faults;
    faults.frozen = true;
    fixture.model.setFaults(faults, fixture.now);
    cr_assert(fixture.model.nextDue() == Never);
    fixture.advance(1s);
    cr_assert(fixture.answers.empty());
    fixture.model.setFaults({}, fixture.now);
    fixture.advance(1ms);
    cr_assert(fixture.answers.size() == 1);
}

Test(model, reports_follow_the_load_lag_and_report_idle_faults)
{
    Fixture fixture(steady());
    cr_assert(fixture.model.report(fixture.now).inFlight == 0);
    fixture.arrive("a");
    cr_assert(fixture.model.report(fixture.now).inFlight == 1);
    TargetFaults faults;
    faults.loadLag = 100ms;
    fixture.model.setFaults(faults, fixture.now);
    fixture.now += 1ms;
    cr_assert(fixture.model.report(fixture.now).inFlight == 0, "the report shows the load of 100 ms ago");
    faults.loadLag = {};
    faults.reportIdle = true;
    fixture.model.setFaults(faults, fixture.now);
    cr_assert(fixture.model.report(fixture.now).inFlight == 0);
}

Test(model, a_target_is_slower_during_cold_start)
{
    TargetOptions options = steady();
    options.coldStart = 1s;
    options.coldFactor = 5;
    Fixture fixture(options);
    fixture.arrive("a");
    cr_assert(fixture.model.nextDue() == fixture.now + 50ms);
    fixture.advance(2s);
    fixture.arrive("b");
    cr_assert(fixture.model.nextDue() == fixture.now + 10ms);
}
