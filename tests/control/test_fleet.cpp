#include "base/log.h"
#include "base/random.h"
#include "control/effective_configuration.h"
#include "fakes/control_fleet.h"
#include "fakes/rapid_params.h"

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <criterion/criterion.h>
#include <cstdio>

using namespace damask;
using namespace damask::fakes;

namespace {

/// The model state that rapidcheck asks for. ControlFleetStep::run() checks what must hold after every step.
struct Oracle {
    uint64_t acceptedRevision = 1;
    uint64_t effective = 2;
};

constexpr uint64_t MaxStepValue = 1 << 16; // of Step::value

/// Relative frequency of each step kind, such that tickets are accepted in spite of the faults.
struct Weight {
    StepKind kind;
    int weight;
};

constexpr auto Weights = std::to_array<Weight>({
    {StepKind::RefreshView, 4},  {StepKind::Submit, 5},     {StepKind::Repeat, 2},  {StepKind::Withdraw, 1},
    {StepKind::AllInstances, 9}, {StepKind::Register, 3},   {StepKind::Read, 4},    {StepKind::Apply, 4},
    {StepKind::Accept, 4},       {StepKind::Pause, 2},      {StepKind::Resume, 2},  {StepKind::Cut, 2},
    {StepKind::Heal, 3},         {StepKind::Kill, 2},       {StepKind::Start, 4},   {StepKind::StoreDown, 1},
    {StepKind::StoreUp, 3},      {StepKind::StoreFault, 2}, {StepKind::Deliver, 2}, {StepKind::Wait, 5},
});

constexpr int totalWeight()
{
    int total = 0;
    for (const Weight &it : Weights) {
        total += it.weight;
    }
    return total;
}

StepKind kindForWeight(int n)
{
    for (const Weight &it : Weights) {
        n -= it.weight;
        if (n < 0) {
            return it.kind;
        }
    }
    return LastStepKind;
}

Step randomStep(const RandomSource &random)
{
    const int n = static_cast<int>(randomBelow(random, static_cast<uint64_t>(totalWeight())));
    return {kindForWeight(n), randomBelow(random, MaxStepValue)};
}

struct ControlFleetStep : rc::state::Command<Oracle, ControlFleet> {
    Step step{kindForWeight(*rc::gen::inRange(0, totalWeight())), *rc::gen::inRange<uint64_t>(0, MaxStepValue)};

    void run(const Oracle &, ControlFleet &fleet) const override
    {
        const uint64_t before = effectiveRevision(fleet.document());
        fleet.run(step);
        RC_ASSERT(fleet.countForbiddenSenders(0) == 0U);
        RC_ASSERT(fleet.brokenInvariant() == "");
        RC_ASSERT(effectiveRevision(fleet.document()) >= before);
    }

    void show(std::ostream &os) const override
    {
        os << "step " << static_cast<int>(step.kind) << " value " << step.value;
    }
};

struct Violations {
    int now = 0;                // runs in which an instance acted on what the accepted configuration forbids
    int later = 0;              // the same, more than 4 s after it was accepted
    uint64_t acceptedCount = 0; // tickets accepted in all runs
};

Violations countViolatingRuns(ActivationScheme scheme, int runs)
{
    Violations out;
    for (int seed = 0; seed < runs; ++seed) {
        const RandomSource random = seededRandom(static_cast<uint64_t>(seed));
        ControlFleet fleet(scheme);
        bool now = false;
        bool later = false;
        for (int n = 0; n < 300; ++n) {
            fleet.run(randomStep(random));
            now = now || fleet.countForbiddenSenders(0) > 0;
            later = later || fleet.countForbiddenSenders(4'000) > 0;
        }
        cr_assert(fleet.brokenInvariant().empty(), "seed %d: %s", seed, fleet.brokenInvariant().c_str());
        out.acceptedCount += fleet.document().accepted.revision;
        out.now += now ? 1 : 0;
        out.later += later ? 1 : 0;
    }
    return out;
}

} // namespace

Test(fleet, stage_confirm_accept_holds_under_random_faults)
{
    setLogLevel(Severity::Error);
    setRapidRuns(500, 200);
    const bool held = rc::check("no instance acts on what an accepted ticket forbids", [] {
        ControlFleet fleet(ActivationScheme::StageConfirmAccept);
        rc::state::check(Oracle(), fleet, rc::state::gen::execOneOfWithArgs<ControlFleetStep>());
    });
    cr_assert(held);
}

Test(fleet, accept_then_spread_violates_what_stage_confirm_accept_guarantees)
{
    setLogLevel(Severity::Error);
    constexpr int Runs = 400;
    const Violations spread = countViolatingRuns(ActivationScheme::AcceptThenSpread, Runs);
    const Violations staged = countViolatingRuns(ActivationScheme::StageConfirmAccept, Runs);
    std::printf("of %d runs: accept-then-spread %d violate at once, %d after 4 s (%lu revisions);"
                " stage-confirm-accept %d and %d (%lu revisions)\n",
                Runs, spread.now, spread.later, static_cast<unsigned long>(spread.acceptedCount), staged.now,
                staged.later, static_cast<unsigned long>(staged.acceptedCount));
    cr_assert(spread.now > 0);
    cr_assert(spread.later > 0);
    cr_assert(staged.now == 0);
    cr_assert(staged.later == 0);
}

Test(fleet, the_staged_ticket_is_accepted_everywhere_once_faults_end)
{
    setLogLevel(Severity::Error);
    for (uint64_t seed = 0; seed < 200; ++seed) {
        const RandomSource random = seededRandom(seed);
        ControlFleet fleet(ActivationScheme::StageConfirmAccept);
        for (int n = 0; n < 200; ++n) {
            fleet.run(randomStep(random));
        }
        fleet.settle();
        cr_assert(!fleet.document().staged, "seed %lu", static_cast<unsigned long>(seed));
    }
}
