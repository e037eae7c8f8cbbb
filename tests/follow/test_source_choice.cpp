// Selection of the source of store changes, on a clock that the test advances.
#include "follow/source_choice.h"

#include <algorithm>
#include <array>
#include <criterion/criterion.h>
#include <span>

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

/// A node whose seeds' answers are given by the test.
struct Node {
    explicit Node(std::string_view own)
        : choice(optionsOf(own))
    {
    }

    /// Lets the seeds in `live` answer all due requests after `trip`.
    void exchange(std::vector<size_t> live, Duration trip = 2ms, Duration age = 0ms, int hops = 0)
    {
        const auto requests = choice.dueRequests(now, 7);
        now += trip;
        for (const SeedRequest &it : requests) {
            ++requestCounts[it.seed];
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
    /// Runs the node for `length`.
    void run(Duration length, std::vector<size_t> live)
    {
        for (const TimePoint end = now + length; now < end;) {
            now = std::max(now, std::min(choice.nextDue(), end));
            exchange(live);
            source();
        }
    }

    SourceChoice choice;
    TimePoint now = Start;
    std::array<int, 3> requestCounts{};
};

} // namespace

Test(source_choice, without_seeds_no_requests_are_due)
{
    SourceChoice choice({});
    cr_assert(choice.dueRequests(Start, 1).empty() && choice.nextDue() == Never);
    cr_assert(!choice.source(Start, true) && choice.hops() == 0 && !choice.isSeed());
}

Test(source_choice, the_first_seed_that_answers_is_followed)
{
    Node it("elsewhere");
    const auto requests = it.choice.dueRequests(it.now, 7);
    cr_assert(requests.size() == 3 && requests[0].request.revision == 7);
    it.choice.handleAnswer({.number = requests[2].request.number}, it.now + 16ms);
    cr_assert(it.choice.source(it.now + 16ms, false) == 2);
    it.choice.handleAnswer({.number = requests[0].request.number}, it.now + 15ms);
    cr_assert(it.choice.source(it.now + 17ms, false) == 2, "a slightly nearer seed does not replace the followed one");
    cr_assert(it.choice.hops() == 1);
}

Test(source_choice, a_much_nearer_seed_replaces_the_followed_one)
{
    Node it("elsewhere");
    it.exchange({0}, 16ms);
    cr_assert(it.source() == 0);
    for (const TimePoint end = it.now + 2s; it.now < end;) {
        it.now = std::max(it.now, it.choice.nextDue());
        const auto requests = it.choice.dueRequests(it.now, 7);
        for (const SeedRequest &sent : requests) {
            it.choice.handleAnswer({.number = sent.request.number}, it.now + (sent.seed == 1 ? 2ms : 16ms));
        }
        it.now += 16ms;
        it.source();
    }
    cr_assert(it.source() == 1, "seed 1 is in the same region and became available later");
}

Test(source_choice, a_first_answer_delayed_by_the_seeds_start_does_not_fix_its_round_trip)
{
    Node it("elsewhere");
    const auto requests = it.choice.dueRequests(it.now, 7);
    it.choice.handleAnswer({.number = requests[0].request.number}, it.now + 16ms);
    cr_assert(it.choice.source(it.now + 16ms, false) == 0);
    it.choice.handleAnswer({.number = requests[1].request.number}, it.now + 180ms);
    it.now += 180ms;
    const TimePoint known = it.now;
    while (it.source() == 0) {
        it.now = std::max(it.now, it.choice.nextDue());
        for (const SeedRequest &sent : it.choice.dueRequests(it.now, 7)) {
            it.choice.handleAnswer({.number = sent.request.number}, it.now + (sent.seed == 1 ? 2ms : 16ms));
        }
        cr_assert(it.now < known + 500ms, "the second request follows soon");
        it.now += 16ms;
    }
    cr_assert(it.source() == 1);
}

Test(source_choice, the_followed_seed_is_asked_at_the_request_interval_and_others_rarely)
{
    Node it("elsewhere");
    it.exchange({0, 1, 2});
    it.source();
    it.requestCounts = {};
    it.run(30s, {0, 1, 2});
    cr_assert(it.requestCounts[0] >= 130 && it.requestCounts[0] <= 160, "%d", it.requestCounts[0]);
    cr_assert(it.requestCounts[1] <= 3 && it.requestCounts[2] <= 3 && it.requestCounts[1] >= 2, "%d %d",
              it.requestCounts[1], it.requestCounts[2]);
}

Test(source_choice, a_seed_that_stops_answering_is_replaced_before_its_data_is_stale)
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
    cr_assert(it.source() == 1 || it.source() == 2, "the node changed over without calling the store");
}

Test(source_choice, stale_answers_make_the_node_call_the_store)
{
    Node it("elsewhere");
    it.exchange({0}, 2ms, 1090ms);
    cr_assert(it.source() == 0);
    it.now += 20ms;
    cr_assert(!it.source());
    it.now += 2s;
    it.exchange({0, 1, 2}, 2ms, 1200ms);
    cr_assert(!it.source(), "a seed with stale data is no source");
}

Test(source_choice, a_node_without_a_source_finds_one_within_a_request_interval)
{
    Node it("elsewhere");
    it.run(3s, {0, 1, 2});
    it.now += 2s; // no answers meanwhile
    it.exchange({0, 1, 2}, 2ms, 2s);
    cr_assert(!it.source(), "the seeds have lost the store");
    const TimePoint began = it.now;
    while (!it.source()) {
        it.now = std::max(it.now, it.choice.nextDue());
        it.exchange({0, 1, 2});
        cr_assert(it.now < began + 250ms);
    }
}

Test(source_choice, repeated_and_unsolicited_answers_verify_nothing)
{
    Node it("elsewhere");
    const auto requests = it.choice.dueRequests(it.now, 7);
    cr_assert(!requests[0].request.follows);
    cr_assert(!it.choice.handleAnswer({.number = requests[0].request.number, .age = 5ms}, it.now + 10ms),
              "it carries no changes but makes the seed usable as a source");
    cr_assert(it.choice.source(it.now + 10ms, false) == 0 && it.choice.nextDue() <= it.now);
    const auto next = it.choice.dueRequests(it.now + 10ms, 7);
    cr_assert(next.size() == 1 && next[0].seed == 0 && next[0].request.follows);
    cr_assert(it.choice.handleAnswer({.number = next[0].request.number, .age = 5ms}, it.now + 20ms) == it.now + 5ms);
    cr_assert(!it.choice.handleAnswer({.number = next[0].request.number}, it.now + 25ms), "a repeated answer");
    cr_assert(!it.choice.handleAnswer({.number = 0}, it.now + 20ms));
    cr_assert(!it.choice.handleAnswer({.number = 99}, it.now + 20ms));
}

Test(source_choice, the_first_seed_polls_the_store_and_the_others_follow_it)
{
    Node first("s0");
    Node second("s1");
    first.exchange({1, 2}, 2ms, 0ms, 1);
    second.exchange({0, 2});
    cr_assert(first.choice.isSeed() && !first.source(true), "it reaches the store and is first in the list");
    cr_assert(second.source(true) == 0);
    cr_assert(second.choice.hops() == 1);
}

Test(source_choice, a_seed_that_cannot_reach_the_store_follows_later_seeds)
{
    Node it("s0");
    it.exchange({1, 2});
    cr_assert(!it.source(true));
    cr_assert(it.source(false).has_value());
}

Test(source_choice, a_seed_with_too_many_hops_is_no_source)
{
    Node it("elsewhere");
    it.exchange({0}, 2ms, 100ms, SourceOptions().maxHops);
    cr_assert(!it.source(), "its data passed through too many nodes");
}

Test(source_choice, an_open_request_is_not_repeated_without_a_delay)
{
    Node it("elsewhere");
    it.exchange({});
    it.requestCounts = {};
    for (const TimePoint end = it.now + 9s; it.now < end;) {
        const TimePoint next = it.choice.nextDue();
        cr_assert(next > it.now, "the next request would be due at once");
        it.now = next;
        it.exchange({}, 0ms);
        it.source();
    }
    cr_assert(it.requestCounts[0] <= 7 && it.requestCounts[0] >= 5, "%d", it.requestCounts[0]);
}

namespace {

/// Answers all due requests after `trip`, the followed seed's with the relay's address.
void exchangeNaming(Node &it, std::string_view relay, std::span<const std::string_view> live, Duration trip = 4ms)
{
    const auto requests = it.choice.dueRequests(it.now, 7);
    it.now += trip;
    for (const SeedRequest &sent : requests) {
        if (std::find(live.begin(), live.end(), sent.address) != live.end()) {
            it.choice.handleAnswer({.number = sent.request.number,
                                    .from = 7,
                                    .revision = 7,
                                    .age = 5ms,
                                    .hops = sent.address == relay ? 1 : 0,
                                    .relay = std::string(relay)},
                                   it.now);
        }
    }
    it.source();
}

void runNaming(Node &it, std::string_view relay, std::span<const std::string_view> live, Duration length)
{
    for (const TimePoint end = it.now + length; it.now < end;) {
        it.now = std::max(it.now, std::min(it.choice.nextDue(), end));
        exchangeNaming(it, relay, live);
    }
}

} // namespace

Test(source_choice, a_relay_that_the_followed_seed_names_is_followed_though_it_is_no_nearer)
{
    Node it("elsewhere");
    const std::array<std::string_view, 4> live{"s0", "s1", "s2", "relay"};
    runNaming(it, "relay", live, 2s);
    cr_assert(it.source() && it.choice.isRelay(*it.source()) && it.choice.address(*it.source()) == "relay");
    cr_assert(it.choice.hops() == 2);
}

Test(source_choice, a_silent_relay_is_left_for_a_seed_before_the_data_is_stale)
{
    Node it("elsewhere");
    const std::array<std::string_view, 4> live{"s0", "s1", "s2", "relay"};
    runNaming(it, "relay", live, 2s);
    const std::array<std::string_view, 3> seeds{"s0", "s1", "s2"};
    const TimePoint silentSince = it.now;
    while (it.source() && it.choice.isRelay(*it.source())) {
        it.now = std::max(it.now, it.choice.nextDue());
        exchangeNaming(it, "relay", seeds);
        cr_assert(it.source(), "a node always has a source that is fresh");
    }
    cr_assert(it.now - silentSince <= SourceOptions().staleAfter);
    runNaming(it, "other", std::array<std::string_view, 4>{"s0", "s1", "s2", "other"}, 2s);
    cr_assert(it.source() && it.choice.address(*it.source()) == "other", "the next relay");
}

Test(source_choice, seeds_and_a_node_that_is_named_itself_follow_no_relay)
{
    Node seed("s2");
    const std::array<std::string_view, 4> live{"s0", "s1", "s2", "relay"};
    runNaming(seed, "relay", live, 2s);
    cr_assert(seed.source(true) && !seed.choice.isRelay(*seed.source(true)));
    Node named("relay");
    runNaming(named, "relay", live, 2s);
    cr_assert(named.source() && !named.choice.isRelay(*named.source()));
}

Test(source_choice, the_next_step_of_unsolicited_changes_is_asked_for_at_once)
{
    Node it("elsewhere");
    it.exchange({0, 1, 2});
    it.source();
    it.exchange({0, 1, 2});
    cr_assert(it.choice.nextDue() > it.now);
    it.choice.handleAnswer({.number = 0, .from = 7, .revision = 8, .more = true}, it.now);
    cr_assert(it.choice.nextDue() <= it.now);
}

// CONFIG: a seed that had not noticed that the store was in another era was followed as if its data were fresh.
Test(source_choice, a_seed_whose_data_is_of_an_earlier_era_is_not_followed)
{
    Node it("n9");
    it.exchange({0});
    cr_assert(it.source() == 0U);
    it.choice.enterEra(2);
    cr_assert(!it.source(), "its data was of no era");
    const std::vector<SeedRequest> requests = it.choice.dueRequests(it.now + 1s, 7);
    cr_assert(!requests.empty() && (requests[0].request.position() == StorePosition{2, 7}));
    StoreNews news{.number = requests[0].request.number, .from = 7, .revision = 9, .era = 1};
    it.choice.handleAnswer(news, it.now + 1s);
    cr_assert(!it.choice.source(it.now + 1s, false));
    news.number = it.choice.dueRequests(it.now + 3s, 7).at(0).request.number;
    news.era = 2;
    it.choice.handleAnswer(news, it.now + 3s);
    cr_assert(it.choice.source(it.now + 3s, false) == 0U);
}
