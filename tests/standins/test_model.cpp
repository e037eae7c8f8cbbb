#include "damask-target/model.h"

#include <criterion/criterion.h>

using namespace damask;
using namespace damask::standin;
using namespace std::chrono_literals;

namespace {

/// A model, what it answered, and a time that the test moves.
struct Rig {
    TimePoint now{1h};
    TargetModel model;
    std::vector<DueAnswer> due;
    std::vector<TargetAnswer> answers;

    explicit Rig(const TargetOptions &options)
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
    Rig rig(steady());
    rig.arrive("a");
    rig.arrive("b");
    rig.arrive("c");
    cr_assert(rig.answers.size() == 1, "the third finds slot and queue full");
    cr_assert(rig.answers[0].refused && rig.answers[0].status == 503);
    rig.advance(10ms);
    rig.advance(10ms);
    cr_assert(rig.answers.size() == 3);
    cr_assert(rig.model.ran["a"] == 1 && rig.model.ran["b"] == 1 && rig.model.ran.count("c") == 0);
}

Test(model, a_waiting_call_past_its_deadline_is_refused_as_not_run)
{
    Rig rig(steady());
    rig.arrive("a");
    rig.arrive("b", rig.now + 5ms);
    rig.advance(10ms);
    cr_assert(rig.answers.size() == 2);
    cr_assert(rig.answers[1].refused);
    cr_assert(rig.model.ran.count("b") == 0);
}

Test(model, a_cancelled_call_that_waits_never_runs)
{
    Rig rig(steady());
    rig.arrive("a");
    rig.arrive("b");
    cr_assert(rig.model.cancel(static_cast<uint64_t>('b')));
    cr_assert(!rig.model.cancel(static_cast<uint64_t>('a')), "what runs, runs to its end");
    rig.advance(30ms);
    cr_assert(rig.model.ran.count("b") == 0);
}

Test(model, a_frozen_target_answers_nothing_until_it_thaws)
{
    Rig rig(steady());
    rig.arrive("a");
    TargetFaults faults;
    faults.frozen = true;
    rig.model.setFaults(faults, rig.now);
    cr_assert(rig.model.nextDue() == Never);
    rig.advance(1s);
    cr_assert(rig.answers.empty());
    rig.model.setFaults({}, rig.now);
    rig.advance(1ms);
    cr_assert(rig.answers.size() == 1);
}

Test(model, reports_lag_and_lie_as_told)
{
    Rig rig(steady());
    cr_assert(rig.model.report(rig.now).inFlight == 0);
    rig.arrive("a");
    cr_assert(rig.model.report(rig.now).inFlight == 1);
    TargetFaults faults;
    faults.loadLag = 100ms;
    rig.model.setFaults(faults, rig.now);
    rig.now += 1ms;
    cr_assert(rig.model.report(rig.now).inFlight == 0, "the load of 100 ms ago");
    faults.loadLag = {};
    faults.lieIdle = true;
    rig.model.setFaults(faults, rig.now);
    cr_assert(rig.model.report(rig.now).inFlight == 0);
}

Test(model, a_cold_target_is_slow_at_first)
{
    TargetOptions options = steady();
    options.coldStart = 1s;
    options.coldFactor = 5;
    Rig rig(options);
    rig.arrive("a");
    cr_assert(rig.model.nextDue() == rig.now + 50ms);
    rig.advance(2s);
    rig.arrive("b");
    cr_assert(rig.model.nextDue() == rig.now + 10ms);
}
