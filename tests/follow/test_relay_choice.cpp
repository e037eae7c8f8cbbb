// Choice of the followers that pass changes on in their data centre, on a clock that the test advances.
#include "follow/relay_choice.h"

#include <criterion/criterion.h>

using namespace damask;
using namespace std::chrono_literals;

namespace {

const TimePoint Start = TimePoint(100s);
constexpr uint64_t Slow = 2500000; // bytes a second
constexpr uint64_t Fast = 25000000;

/// A node in data centre "a" and the requests that reach it.
struct Source {
    std::string ask(std::string_view endpoint, std::string_view dataCentre, uint64_t link = Slow)
    {
        return std::string(choice.recordRequest({.follows = true,
                                                 .endpoint = std::string(endpoint),
                                                 .dataCentre = std::string(dataCentre),
                                                 .linkBytesPerSecond = link},
                                                now));
    }
    /// Followers "PREFIX0", "PREFIX1" and so on ask once each; returns how many are sent to a relay.
    int askAll(std::string_view prefix, int count, std::string_view dataCentre)
    {
        int out = 0;
        for (int n = 0; n < count; ++n) {
            out += ask(std::string(prefix) + std::to_string(n), dataCentre).empty() ? 0 : 1;
        }
        return out;
    }

    RelayChoice choice{{.dataCentre = "a", .minFollowers = 4, .upgradeRatio = 2, .followerTimeout = 1s}};
    TimePoint now = Start;
};

} // namespace

Test(relay_choice, followers_of_the_same_data_centre_and_of_small_groups_stay)
{
    Source it;
    cr_assert(it.askAll("a", 20, "a") == 0);
    cr_assert(it.askAll("b", 3, "b") == 0 && it.askAll("c", 3, "c") == 0);
    cr_assert(it.ask("", "b").empty() && it.ask("b9", "").empty(), "it can't be followed, or says not where it is");
}

Test(relay_choice, a_data_centre_with_several_followers_gets_one_relay)
{
    Source it;
    it.askAll("b", 3, "b");
    it.ask("bFast", "b", Fast);
    cr_assert(it.ask("b0", "b") == "bFast" && it.ask("b4", "b") == "bFast");
    cr_assert(it.ask("bFast", "b", Fast).empty(), "the relay itself follows this node");
    cr_assert(it.ask("c0", "c").empty());
    it.now += 900ms;
    it.ask("bFast", "b", Fast);
    it.now += 900ms;
    cr_assert(it.ask("b0", "b") == "bFast", "the others now follow the relay and ask no more");
}

Test(relay_choice, a_silent_relay_is_replaced_once_its_followers_are_back)
{
    Source it;
    it.ask("bFast", "b", Fast);
    cr_assert(it.askAll("b", 4, "b") > 0);
    it.now += 1100ms;
    cr_assert(it.ask("b0", "b").empty(), "alone");
    it.ask("b1", "b");
    it.ask("b2", "b");
    it.ask("b3", "b");
    const std::string next = it.ask("b4", "b");
    cr_assert(next.starts_with("b") && next != "bFast", "%s", next.c_str());
}

Test(relay_choice, a_much_faster_link_takes_over_and_a_similar_one_does_not)
{
    Source it;
    it.askAll("b", 5, "b");
    const std::string first = it.ask("b5", "b");
    cr_assert(it.ask("b6", "b", Slow * 3 / 2) == first);
    it.ask("bFast", "b", Fast);
    cr_assert(it.ask("b5", "b") == "bFast");
}

Test(relay_choice, a_fleet_of_a_thousand_leaves_each_source_with_a_few_followers)
{
    Source it;
    int direct = 0;
    for (int round = 0; round < 2; ++round) {
        direct = 0;
        for (int n = 0; n < 1000; ++n) {
            const std::string dataCentre = "d" + std::to_string(n % 9);
            direct += it.ask("n" + std::to_string(n), dataCentre, n < 27 ? Fast : Slow).empty() ? 1 : 0;
        }
    }
    cr_assert(direct == 9, "%d", direct);
}
