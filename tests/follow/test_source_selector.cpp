// Whom a node hears the store's changes from, on a clock that the test moves.
#include "follow/source_selector.h"

#include <algorithm>
#include <array>
#include <criterion/criterion.h>

using namespace damask;
using namespace std::chrono_literals;

namespace {

const TimePoint Start = TimePoint(100s);

SourceOptions optionsOf(std::string_view own)
{
    SourceOptions out;
    out.seeds = {"s0", "s1", "s2"};
    out.own = own;
    return out;
}

/// A node among seeds whose answers the test gives.
struct Node {
    explicit Node(std::string_view own)
        : choice(optionsOf(own))
    {
    }

    /// Answers of the seeds in `live` to what is due, after `trip`.
    void exchange(std::vector<size_t> live, Duration trip = 2ms, Duration age = 0ms, int hops = 0)
    {
        const auto asked = choice.dueRequests(now, 7);
        now += trip;
        for (const SeedRequest &it : asked) {
            ++asks[it.seed];
            if (std::find(live.begin(), live.end(), it.seed) != live.end()) {
                choice.handleAnswer({.number = it.request.number, .from = 7, .revision = 7, .age = age, .hops = hops},
                                    now);
            }
        }
    }
    std::optional<size_t> source(bool reachesStore = false)
    {
        return choice.source(now, reachesStore);
    }
    /// Lets the node do what is due for a while.
    void run(Duration length, std::vector<size_t> live)
    {
        for (const TimePoint end = now + length; now < end;) {
            now = std::max(now, std::min(choice.nextDue(), end));
            exchange(live);
            source();
        }
    }

    SourceSelector choice;
    TimePoint now = Start;
    std::array<int, 3> asks{};
};

} // namespace

Test(source_choice, without_seeds_there_is_nobody_to_ask)
{
    SourceSelector choice({});
    cr_assert(choice.dueRequests(Start, 1).empty() && choice.nextDue() == Never);
    cr_assert(!choice.source(Start, true) && choice.hops() == 0 && !choice.isSeed());
}

Test(source_choice, the_nearest_seed_that_answers_is_followed)
{
    Node it("elsewhere");
    const auto asked = it.choice.dueRequests(it.now, 7);
    cr_assert(asked.size() == 3 && asked[0].request.revision == 7);
    it.choice.handleAnswer({.number = asked[2].request.number}, it.now + 16ms);
    cr_assert(it.choice.source(it.now + 16ms, false) == 2);
    it.choice.handleAnswer({.number = asked[0].request.number}, it.now + 15ms);
    cr_assert(it.choice.source(it.now + 17ms, false) == 2, "a choice is kept while it holds");
    cr_assert(it.choice.hops() == 1);
}

Test(source_choice, a_much_nearer_seed_that_answers_later_takes_the_place_of_the_first)
{
    Node it("elsewhere");
    it.exchange({0}, 16ms);
    cr_assert(it.source() == 0);
    for (const TimePoint end = it.now + 2s; it.now < end;) {
        it.now = std::max(it.now, it.choice.nextDue());
        const auto asked = it.choice.dueRequests(it.now, 7);
        for (const SeedRequest &ask : asked) {
            it.choice.handleAnswer({.number = ask.request.number}, it.now + (ask.seed == 1 ? 2ms : 16ms));
        }
        it.now += 16ms;
        it.source();
    }
    cr_assert(it.source() == 1, "it came up later and stands in the same region");
}

Test(source_choice, a_first_answer_that_waited_for_the_seed_to_start_does_not_make_it_a_far_one)
{
    Node it("elsewhere");
    const auto asked = it.choice.dueRequests(it.now, 7);
    it.choice.handleAnswer({.number = asked[0].request.number}, it.now + 16ms);
    cr_assert(it.choice.source(it.now + 16ms, false) == 0);
    it.choice.handleAnswer({.number = asked[1].request.number}, it.now + 180ms);
    it.now += 180ms;
    const TimePoint known = it.now;
    while (it.source() == 0) {
        it.now = std::max(it.now, it.choice.nextDue());
        for (const SeedRequest &ask : it.choice.dueRequests(it.now, 7)) {
            it.choice.handleAnswer({.number = ask.request.number}, it.now + (ask.seed == 1 ? 2ms : 16ms));
        }
        cr_assert(it.now < known + 500ms, "it is asked again soon");
        it.now += 16ms;
    }
    cr_assert(it.source() == 1);
}

Test(source_choice, the_followed_seed_is_asked_at_the_beat_and_the_others_now_and_then)
{
    Node it("elsewhere");
    it.exchange({0, 1, 2});
    it.source();
    it.asks = {};
    it.run(30s, {0, 1, 2});
    cr_assert(it.asks[0] >= 130 && it.asks[0] <= 160, "%d", it.asks[0]);
    cr_assert(it.asks[1] <= 3 && it.asks[2] <= 3 && it.asks[1] >= 2, "%d %d", it.asks[1], it.asks[2]);
}

Test(source_choice, a_seed_that_falls_silent_is_replaced_before_its_news_are_stale)
{
    Node it("elsewhere");
    it.run(1s, {0, 1, 2});
    cr_assert(it.source() == 0);
    const TimePoint silentFrom = it.now;
    while (it.source() == 0) {
        it.now = std::max(it.now, std::min(it.choice.nextDue(), it.now + 10ms));
        it.exchange({1, 2}, 0ms);
        it.now += 1ms;
        cr_assert(it.now < silentFrom + 1200ms);
    }
    cr_assert(it.source() == 1 || it.source() == 2, "nobody had to ask the store");
}

Test(source_choice, news_older_than_the_bound_send_the_node_to_the_store)
{
    Node it("elsewhere");
    it.exchange({0}, 2ms, 1090ms);
    cr_assert(it.source() == 0);
    it.now += 20ms;
    cr_assert(!it.source());
    it.now += 2s;
    it.exchange({0, 1, 2}, 2ms, 1200ms);
    cr_assert(!it.source(), "an answer that proves too little is no source");
}

Test(source_choice, a_node_without_a_source_finds_one_again_within_a_beat)
{
    Node it("elsewhere");
    it.run(3s, {0, 1, 2});
    it.now += 2s; // nothing was heard meanwhile
    it.exchange({0, 1, 2}, 2ms, 2s);
    cr_assert(!it.source(), "the seeds have lost the store");
    const TimePoint began = it.now;
    while (!it.source()) {
        it.now = std::max(it.now, it.choice.nextDue());
        it.exchange({0, 1, 2});
        cr_assert(it.now < began + 250ms);
    }
}

Test(source_choice, a_late_answer_and_one_unasked_prove_nothing)
{
    Node it("elsewhere");
    const auto asked = it.choice.dueRequests(it.now, 7);
    cr_assert(!asked[0].request.follows);
    cr_assert(!it.choice.handleAnswer({.number = asked[0].request.number, .age = 5ms}, it.now + 10ms),
              "it carries no changes, but makes the seed a source");
    cr_assert(it.choice.source(it.now + 10ms, false) == 0 && it.choice.nextDue() <= it.now);
    const auto again = it.choice.dueRequests(it.now + 10ms, 7);
    cr_assert(again.size() == 1 && again[0].seed == 0 && again[0].request.follows);
    cr_assert(it.choice.handleAnswer({.number = again[0].request.number, .age = 5ms}, it.now + 20ms) == it.now + 5ms);
    cr_assert(!it.choice.handleAnswer({.number = again[0].request.number}, it.now + 25ms), "told twice");
    cr_assert(!it.choice.handleAnswer({.number = 0}, it.now + 20ms));
    cr_assert(!it.choice.handleAnswer({.number = 99}, it.now + 20ms));
}

Test(source_choice, the_first_seed_asks_the_store_and_the_others_follow_it)
{
    Node first("s0");
    Node second("s1");
    first.exchange({1, 2}, 2ms, 0ms, 1);
    second.exchange({0, 2});
    cr_assert(first.choice.isSeed() && !first.source(true), "it reaches the store, and nobody is before it");
    cr_assert(second.source(true) == 0);
    cr_assert(second.choice.hops() == 1);
}

Test(source_choice, a_seed_cut_off_from_the_store_follows_those_behind_it)
{
    Node it("s0");
    it.exchange({1, 2});
    cr_assert(!it.source(true));
    cr_assert(it.source(false).has_value());
}

Test(source_choice, nodes_that_follow_each_other_are_no_source)
{
    Node it("elsewhere");
    it.exchange({0}, 2ms, 100ms, 2);
    cr_assert(!it.source(), "its news came over too many nodes");
}

Test(source_choice, an_open_request_is_not_repeated_at_once_and_nothing_spins)
{
    Node it("elsewhere");
    it.exchange({});
    it.asks = {};
    for (const TimePoint end = it.now + 9s; it.now < end;) {
        const TimePoint next = it.choice.nextDue();
        cr_assert(next > it.now, "it would ask again without a pause");
        it.now = next;
        it.exchange({}, 0ms);
        it.source();
    }
    cr_assert(it.asks[0] <= 7 && it.asks[0] >= 5, "%d", it.asks[0]);
}
