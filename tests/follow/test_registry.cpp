#include "follow/registry.h"

#include <criterion/criterion.h>

using namespace damask;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{100s};

RegisteredTarget target(std::string_view id, int64_t sequence, uint64_t revision = 0)
{
    RegisteredTarget out;
    out.id = id;
    out.service = "listings";
    out.address = "10.0.0.1";
    out.port = 8080;
    out.startedAt = 1000;
    out.sequence = sequence;
    out.revision = revision;
    return out;
}

/// A registry that writes down what each change came to.
struct Watched {
    Watched()
        : registry({}, [this](std::string_view id, RegistryOutcome end, std::string_view) {
            log += std::string(id) + ":" + std::string(registryOutcomeName(end)) + " ";
        })
    {
    }
    std::string ids() const
    {
        std::string out;
        for (const RegisteredTarget &it : registry.targets()) {
            out += it.id + (it.draining ? "- " : " ");
        }
        return out;
    }

    std::string log;
    Registry registry;
};

} // namespace

Test(registry, a_removed_entry_is_the_end_of_its_target)
{
    Watched it;
    it.registry.put(target("a", 1));
    it.registry.put(target("b", 1));
    it.registry.remove("a", 5, Start);
    cr_assert(it.registry.expire(Start));
    cr_assert(it.ids() == "b ");
    cr_assert(it.log == "a:added b:added a:gone ");
}

Test(registry, a_late_write_of_before_changes_nothing)
{
    Watched it;
    RegisteredTarget leaving = target("a", 7);
    leaving.draining = true;
    it.registry.put(target("a", 5));
    it.registry.put(leaving);
    it.registry.put(target("a", 6));
    cr_assert(it.ids() == "a- ", "an entry of before the draining came late");
    it.registry.remove("a", 9, Start);
    it.registry.expire(Start);
    it.registry.put(target("a", 7, 10));
    RegisteredTarget older = target("a", 50, 11);
    older.startedAt = 900;
    it.registry.put(older);
    cr_assert(it.ids() == "a ", "only the same process's next write counts");
    cr_assert(it.log.ends_with("a:stale "));
}

Test(registry, a_new_process_under_an_id_starts_its_counts_anew)
{
    Watched it;
    it.registry.put(target("a", 90));
    RegisteredTarget again = target("a", 1);
    again.startedAt = 2000;
    it.registry.put(again);
    cr_assert(it.registry.targets().at(0).startedAt == 2000);
}

Test(registry, entries_that_lapse_while_the_store_is_away_stay_for_a_moment)
{
    Watched it;
    it.registry.put(target("a", 1));
    it.registry.put(target("b", 1));
    it.registry.storeLost();
    it.registry.storeRecovered(Start);
    it.registry.remove("a", 5, Start);
    it.registry.remove("b", 6, Start);
    cr_assert(!it.registry.expire(Start + 1999ms));
    cr_assert(it.ids() == "a b ");
    it.registry.put(target("a", 2, 8));
    cr_assert(it.registry.expire(Start + 2s));
    cr_assert(it.ids() == "a ", "b is still missing, and so it is gone");
}

Test(registry, a_target_that_was_draining_is_not_held)
{
    Watched it;
    RegisteredTarget leaving = target("a", 2);
    leaving.draining = true;
    it.registry.put(target("a", 1));
    it.registry.put(leaving);
    it.registry.storeLost();
    it.registry.storeRecovered(Start);
    it.registry.remove("a", 5, Start);
    cr_assert(it.registry.expire(Start));
    cr_assert(it.ids().empty());
}

Test(registry, most_of_a_service_going_at_once_is_held_once)
{
    Watched it;
    for (const char *id : {"a", "b", "c", "d"}) {
        it.registry.put(target(id, 1));
    }
    it.registry.replace({}, 9, Start);
    cr_assert(!it.registry.expire(Start));
    cr_assert(it.registry.nextExpiry() == Start + 1s);
    cr_assert(it.registry.expire(Start + 1s));
    cr_assert(it.ids().empty());
}

Test(registry, a_removal_of_before_an_entry_was_written_again_is_passed_over)
{
    Watched it;
    it.registry.put(target("a", 1, 20));
    it.registry.remove("a", 15, Start);
    it.registry.expire(Start);
    cr_assert(it.ids() == "a ");
}
