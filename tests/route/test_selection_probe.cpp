#include "route/selection_probe.h"

#include <criterion/criterion.h>

using namespace damask;
using namespace std::chrono_literals;

namespace {

TargetCandidate candidate(std::string_view name, Duration age, bool available)
{
    auto address = std::make_shared<TargetAddress>();
    address->name = name;
    return {address, age, 1, available, false};
}

/// What is known and asked, as a test says.
struct ProbeFixture {
    ProbeFixture()
        : selection(clock, {.probesPerRound = 2, .rounds = 2},
                    {.bestCandidates =
                         [this](const AcquireRequest &, size_t) {
                             return known.empty() ? std::vector<TargetCandidate>()
                                                  : known[std::min(step++, known.size() - 1)];
                         },
                     .ask =
                         [this](std::span<const TargetCandidate> candidates, Duration) {
                             for (const TargetCandidate &it : candidates) {
                                 asked += it.address->name + " ";
                             }
                             asked += "| ";
                             return std::vector<LoadUpdate>();
                         },
                     .updateLoad =
                         [](std::span<const LoadUpdate>) {
                         }})
    {
        clock.pause();
    }

    Clock clock;
    std::vector<std::vector<TargetCandidate>> known; // before each round
    size_t step = 0;
    std::string asked;
    SelectionProbe selection;
};

} // namespace

Test(selection_probe, asks_the_likeliest_and_stops_when_the_best_is_known_to_be_good)
{
    ProbeFixture it;
    it.known = {{candidate("a", 1s, true), candidate("b", 1s, false), candidate("c", 1s, true)},
                {candidate("a", 1ms, true), candidate("b", 1ms, false)}};
    cr_assert(it.selection.probe({.service = "s"}) == 2);
    cr_assert(it.asked == "a b | ");
}

Test(selection_probe, asks_others_when_all_that_were_asked_are_slow)
{
    ProbeFixture it;
    it.known = {{candidate("a", 1s, false), candidate("b", 1s, false)},
                {candidate("c", 1s, false), candidate("d", 1s, false), candidate("a", 1ms, false)}};
    cr_assert(it.selection.probe({.service = "s"}) == 4);
    cr_assert(it.asked == "a b | c d | ");
}

Test(selection_probe, asks_nobody_when_the_best_is_freshly_known)
{
    ProbeFixture it;
    it.known = {{candidate("a", 5ms, true), candidate("b", 1s, false)}};
    cr_assert(it.selection.probe({.service = "s"}) == 0);
}

Test(selection_probe, asks_nobody_for_a_caller_that_has_gone)
{
    ProbeFixture it;
    it.known = {{candidate("a", 1s, true)}};
    CancelToken gone;
    gone.cancel();
    cr_assert(it.selection.probe({.service = "s", .cancel = &gone}) == 0);
}
