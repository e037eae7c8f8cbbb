// A store that returns from a copy, in a new era, and assigns its revisions again before a node asks.
#include "fakes/seed_and_follower.h"

using namespace damask;
using namespace damask::fakes;
using namespace std::chrono_literals;

namespace {

constexpr int LostWrites = 8; // after the copy

/// A seed and its follower, which have learned of revisions that the store then assigns again.
struct Drill {
    Drill()
    {
        onBothStores([](FakePlatformStore &store) { store.setEra("1"); });
        pair.put("servers/i-2", worker("ready", 1));
        cr_assert(eventually([this] { return entered(1) && pair.other.targets() == 2; }));
        onBothStores([](FakePlatformStore &store) {
            store.freezeStaleReads();
            write(store, LostWrites);
        });
        cr_assert(eventually([this] { return pair.other.follower->status().revision == pair.other.fake.revision(); }));
    }
    void onBothStores(const std::function<void(FakePlatformStore &)> &change)
    {
        change(pair.other.fake);
        change(pair.seed.fake);
    }
    static void write(FakePlatformStore &store, int count)
    {
        for (int n = 0; n < count; ++n) {
            store.put("servers/i-1", worker("ready", n));
        }
    }
    /// The new version takes the revision of a lost write, and so do the writes after it.
    static void writeNext(FakePlatformStore &store)
    {
        store.put("op/config", configuration("0000000c", "s2"));
        store.remove("servers/i-2");
        write(store, 2 * LostWrites);
    }
    bool entered(uint64_t era) const
    {
        return pair.seed.follower->status().era == era && pair.other.follower->status().era == era;
    }
    static bool isCurrent(FollowingNode &node)
    {
        return eventually([&] { return node.service() == "s2" && node.targets() == 1; });
    }

    SeedAndFollower pair;
};

} // namespace

// CONFIG, DRAIN: a poll after a revision that had been assigned again got only the later changes.
Test(eras, revisions_that_are_assigned_again_hide_no_change)
{
    Drill it;
    it.onBothStores([](FakePlatformStore &store) { store.returnInEra(2, [&] { Drill::writeNext(store); }); });
    cr_assert(Drill::isCurrent(it.pair.seed), "it polls the store");
    cr_assert(Drill::isCurrent(it.pair.other), "it follows the seed");
    cr_assert(it.entered(2));
    it.pair.put("servers/i-3", worker("ready", 1));
    cr_assert(eventually([&] { return it.pair.other.targets() == 2; }), "it follows on");
    cr_assert(it.pair.other.follower->status().source == "seed");
}

// DRAIN: a member of the store, or another node, that has not noticed the drill brings nothing back.
Test(eras, data_of_an_earlier_era_changes_nothing)
{
    Drill it;
    it.onBothStores([](FakePlatformStore &store) { store.returnInEra(2, [&] { Drill::writeNext(store); }); });
    cr_assert(Drill::isCurrent(it.pair.seed) && Drill::isCurrent(it.pair.other) && it.entered(2));
    const uint64_t revision = it.pair.other.follower->status().revision;
    it.pair.other.follower->receive({.from = 1,
                                     .revision = revision + 9,
                                     .changes = {{"servers/i-8", worker("ready", 1), revision + 9}},
                                     .era = 1});
    it.pair.seed.fake.setEra("1");
    it.pair.seed.fake.put("servers/i-9", worker("ready", 1));
    cr_assert(eventually([&] { return !it.pair.seed.follower->status().storeReachable; }));
    it.pair.seed.fake.setEra("2");
    it.pair.put("servers/i-3", worker("ready", 1));
    cr_assert(eventually([&] { return it.pair.seed.targets() == 3 && it.pair.other.targets() == 3; }));
    LockGuard lock(it.pair.other.mutex);
    cr_assert(!it.pair.other.everUsed.contains("i-8"));
}

Test(eras, a_header_that_is_missing_or_malformed_changes_nothing)
{
    Drill it;
    const int ranges = it.pair.seed.fake.latestRanges();
    int id = 10;
    for (const char *era : {"", "x", "-1", "0", "1.5", "99999999999999999999"}) {
        it.pair.seed.fake.setEra(era);
        it.pair.put("servers/i-" + std::to_string(++id), worker("ready", 1));
        cr_assert(eventually([&] { return it.pair.other.targets() == static_cast<size_t>(id) - 8; }), "%s", era);
    }
    cr_assert(it.entered(1) && it.pair.seed.fake.latestRanges() == ranges);
    const std::string counted = it.pair.seed.metrics.text();
    cr_assert(counted.find("damask_store_bad_values_total") != std::string::npos);
}

// A list whose pages are from both sides of a return is no state of the store.
Test(eras, pages_of_different_eras_are_no_list)
{
    Drill it;
    const auto enterNext = [&](const StoreListing &) {
        it.pair.seed.fake.setEra("2");
    };
    it.pair.put("servers/i-3", worker("ready", 1)); // a page has two entries
    const auto listed = it.pair.seed.client->list("", ListFreshness::Latest, enterNext);
    cr_assert(!listed && listed.error().code == Code::StoreUnavailable);
}

// CONFIG: a seed that had read the copy answered its followers after their revisions of before the drill, so that none
// of them got the version that the operators wrote next.
Test(eras, followers_of_a_seed_that_read_the_copy_get_what_is_written_next)
{
    Drill it;
    it.onBothStores([](FakePlatformStore &store) { store.returnInEra(2, [] {}); });
    const uint64_t copied = it.pair.seed.fake.revision();
    cr_assert(eventually([&] { return it.pair.seed.follower->status().revision == copied; }), "it has read the copy");
    it.onBothStores(Drill::writeNext);
    cr_assert(Drill::isCurrent(it.pair.other));
    cr_assert(eventually([&] { return it.pair.other.follower->status().source == "seed"; }));
}
