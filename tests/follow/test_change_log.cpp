#include <rapidcheck.h>

#include "follow/change_log.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <string>

using namespace damask;
using namespace std::chrono_literals;

namespace {

const TimePoint Start = TimePoint(100s);

StoreChange change(std::string_view key, std::string_view value, uint64_t revision)
{
    return {std::string(key), std::string(value), revision};
}

} // namespace

Test(change_log, returns_only_the_last_change_of_each_key_after_a_revision)
{
    ChangeLog log({});
    log.restart({0, 10});
    const std::vector<StoreChange> first{change("a", "1", 11), change("b", "1", 12)};
    const std::vector<StoreChange> second{change("a", "2", 15)};
    log.record(first, 13, Start);
    log.record(second, 15, Start);
    cr_assert(log.position().revision == 15);
    const auto all = log.since(10, 1000);
    cr_assert(all && !all->more && all->changes.size() == 2);
    cr_assert(all->changes[0].key == "b" && all->changes[1].key == "a" && all->changes[1].value == "2");
    cr_assert(log.since(12, 1000)->changes.size() == 1);
    cr_assert(log.since(15, 1000)->changes.empty());
}

Test(change_log, returns_nothing_when_changes_are_missing)
{
    ChangeLog log({.retention = 5s});
    log.restart({0, 10});
    cr_assert(!log.since(9, 1000), "revision 9 is before the full read");
    const std::vector<StoreChange> first{change("a", "1", 11)};
    const std::vector<StoreChange> second{change("b", "1", 12)};
    log.record(first, 11, Start);
    log.record(second, 12, Start + 6s);
    cr_assert(!log.since(10, 1000), "the change of a was beyond the retention");
    cr_assert(log.since(11, 1000)->changes.size() == 1);
}

Test(change_log, respects_the_byte_limits_of_the_request_and_of_the_log)
{
    ChangeLog log({.retention = 5s, .maxBytes = 300});
    log.restart({0, 1});
    const std::vector<StoreChange> large{change("a", std::string(200, 'x'), 2)};
    log.record(large, 2, Start);
    cr_assert(log.since(1, 201)->changes.size() == 1);
    const std::vector<StoreChange> other{change("b", std::string(200, 'x'), 3)};
    log.record(other, 3, Start);
    cr_assert(!log.since(1, 1000), "the second change evicted the first");
    cr_assert(log.since(2, 1000)->changes.size() == 1);
    const std::vector<StoreChange> third{change("c", "1", 4)};
    log.record(third, 4, Start);
    const auto step = log.since(2, 201);
    cr_assert(step->changes.size() == 1 && step->more, "c is left for the next step");
}

Test(change_log, gives_changes_in_steps_of_whole_revisions)
{
    ChangeLog log({});
    log.restart({0, 1});
    const std::vector<StoreChange> changes{change("a", std::string(200, 'x'), 2), change("b", "1", 3),
                                           change("c", "1", 3), change("d", "1", 4)};
    log.record(changes, 9, Start);
    const auto large = log.since(1, 10);
    cr_assert(large->changes.size() == 1 && large->more, "at least one, however large");
    const auto same = log.since(2, 3);
    cr_assert(same->changes.size() == 2 && same->more, "both of the same revision");
    const auto rest = log.since(2, 100);
    cr_assert(rest->changes.size() == 3 && !rest->more && log.since(4, 100)->changes.empty());
    cr_assert(!log.since(0, 100), "before the start of the log");
}

Test(change_log, ignores_changes_that_are_already_recorded)
{
    ChangeLog log({});
    log.restart({0, 1});
    const std::vector<StoreChange> once{change("a", "1", 2), change("a", "2", 3)};
    log.record(once, 3, Start);
    log.record(once, 3, Start);
    const auto all = log.since(1, 1000);
    cr_assert(all->changes.size() == 1 && all->changes.front().value == "2");
}

// Guards against a relay whose followers never get a configuration that reached it together with later changes.
Test(change_log, steps_skip_no_change_that_was_recorded_behind_later_ones)
{
    ChangeLog log({});
    log.restart({0, 10});
    const std::vector<StoreChange> news{change("a", std::string(100, 'x'), 11), change("b", std::string(100, 'x'), 13),
                                        change("c", std::string(100, 'x'), 14), change("configuration", "1", 12)};
    log.record(news, 14, Start);
    std::vector<uint64_t> received;
    uint64_t known = 10;
    bool more = true;
    while (more) {
        const auto step = log.since(known, 150);
        cr_assert(step.has_value());
        for (const StoreChange &it : step->changes) {
            received.push_back(it.revision);
        }
        known = step->more ? step->changes.back().revision : log.position().revision;
        more = step->more;
    }
    cr_assert(received == std::vector<uint64_t>({11, 12, 13, 14}), "received %zu changes", received.size());
}

namespace {

using Keys = std::map<std::string, uint64_t>; // key: revision of its value

void applyChanges(std::span<const StoreChange> changes, Keys &to)
{
    for (const StoreChange &it : changes) {
        if (it.value) {
            to[it.key] = it.revision;
        } else {
            to.erase(it.key);
        }
    }
}

/// A store with all of its states, and the logs of a node that follows it and of one that follows that node.
struct ChainOfLogs {
    std::vector<Keys> states{{}};         // by revision
    std::vector<StoreChange> changes{{}}; // by revision
    ChangeLog seed{{.retention = 1h}};
    ChangeLog relay{{.retention = 1h}};

    void write()
    {
        const std::string key = *rc::gen::element<std::string>("a", "b", "c", "d");
        const bool removes = *rc::gen::arbitrary<bool>();
        const uint64_t revision = states.size();
        changes.push_back({key, removes ? std::nullopt : std::optional<std::string>("value"), revision});
        states.push_back(states.back());
        applyChanges({&changes.back(), 1}, states.back());
    }
    void poll()
    {
        const size_t from = seed.position().revision + 1;
        seed.record(std::span(changes).subspan(from), states.size() - 1, Start);
    }
    void list()
    {
        const HistoryGap gap{seed.position().revision, states.size() - 1};
        std::vector<StoreChange> differences;
        for (const auto &[key, revision] : states[gap.upTo]) {
            if (revision > gap.after) {
                differences.push_back({key, "value", revision});
            }
        }
        for (const auto &[key, revision] : states[gap.after]) {
            if (!states[gap.upTo].contains(key)) {
                differences.push_back({key, std::nullopt, gap.upTo});
            }
        }
        seed.record(differences, gap.upTo, Start, {&gap, 1});
    }
    void passOn()
    {
        if (const auto step = seed.since(relay.position().revision, *rc::gen::inRange(1, 40))) {
            relay.record(step->changes, step->revision, Start, step->gaps);
        }
    }
    /// Each answer leads from the true state at a revision to the true state at another. Keys that change again after
    /// that, as far as the seed knows, are left out: logs have only the last change of a key.
    void check(const ChangeLog &log) const
    {
        for (uint64_t after = 0; after <= log.position().revision; ++after) {
            const auto step = log.since(after, *rc::gen::inRange(1, 40));
            Keys reached = states[after];
            if (!step) {
                continue;
            }
            RC_ASSERT(std::all_of(step->gaps.begin(), step->gaps.end(),
                                  [](const HistoryGap &gap) { return gap.upTo > gap.after; })); // as the wire requires
            applyChanges(step->changes, reached);
            Keys expected = states[step->revision];
            for (uint64_t later = step->revision + 1; later <= seed.position().revision; ++later) {
                reached.erase(changes[later].key);
                expected.erase(changes[later].key);
            }
            RC_ASSERT(reached == expected);
        }
    }
};

} // namespace

// DRAIN: a key that was created and removed while the history was unknown stayed at nodes that had seen it created.
Test(change_log, an_answer_completes_every_state_that_it_is_given_for)
{
    cr_assert(rc::check("answers after gaps", [] {
        ChainOfLogs it;
        for (int n = *rc::gen::inRange(1, 40); n > 0; --n) {
            switch (*rc::gen::inRange(0, 6)) {
            case 0:
                it.poll();
                break;
            case 1:
                it.list();
                break;
            case 2:
                it.passOn();
                break;
            default:
                it.write();
            }
        }
        it.check(it.seed);
        it.check(it.relay);
    }));
}
