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

/// A SelectionProbe whose hooks return scripted candidates and record the targets probed.
struct ProbeFixture {
    ProbeFixture()
        : selection(clock, {.probesPerRound = 2, .rounds = 2},
                    {.bestCandidates =
                         [this](const AcquireRequest &, size_t) {
                             return candidatesByRound.empty()
                                        ? std::vector<TargetCandidate>()
                                        : candidatesByRound[std::min(step++, candidatesByRound.size() - 1)];
                         },
                     .ask =
                         [this](std::span<const TargetCandidate> candidates, Duration) {
                             for (const TargetCandidate &it : candidates) {
                                 probed += it.address->name + " ";
                             }
                             probed += "| ";
                             return std::vector<LoadUpdate>();
                         },
                     .updateLoad =
                         [](std::span<const LoadUpdate>) {
                         }})
    {
        clock.pause();
    }

    Clock clock;
    std::vector<std::vector<TargetCandidate>> candidatesByRound; // candidates returned in each round
    size_t step = 0;
    std::string probed;
    SelectionProbe selection;
};

} // namespace

Test(selection_probe, probes_the_best_candidates_until_the_best_is_available)
{
    ProbeFixture it;
    it.candidatesByRound = {{candidate("a", 1s, true), candidate("b", 1s, false), candidate("c", 1s, true)},
                            {candidate("a", 1ms, true), candidate("b", 1ms, false)}};
    cr_assert(it.selection.probe({.service = "s"}) == 2);
    cr_assert(it.probed == "a b | ");
}

Test(selection_probe, probes_others_when_all_probed_targets_are_slow)
{
    ProbeFixture it;
    it.candidatesByRound = {{candidate("a", 1s, false), candidate("b", 1s, false)},
                            {candidate("c", 1s, false), candidate("d", 1s, false), candidate("a", 1ms, false)}};
    cr_assert(it.selection.probe({.service = "s"}) == 4);
    cr_assert(it.probed == "a b | c d | ");
}

Test(selection_probe, probes_none_when_the_best_has_a_fresh_report)
{
    ProbeFixture it;
    it.candidatesByRound = {{candidate("a", 5ms, true), candidate("b", 1s, false)}};
    cr_assert(it.selection.probe({.service = "s"}) == 0);
}

Test(selection_probe, probes_none_for_a_cancelled_call)
{
    ProbeFixture it;
    it.candidatesByRound = {{candidate("a", 1s, true)}};
    CancelToken cancelled;
    cancelled.cancel();
    cr_assert(it.selection.probe({.service = "s", .cancel = &cancelled}) == 0);
}
