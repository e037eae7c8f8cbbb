#include "config/apply.h"
#include "config/diff.h"
#include "config/effect.h"
#include "config/kind.h"
#include "config/validate.h"
#include "fakes/tickets.h"

#include <criterion/criterion.h>

using namespace damask;
using namespace damask::fakes;

namespace {

Ticket read(std::string_view text)
{
    const auto ticket = parseTicket(text, "t.ini");
    cr_assert(ticket.has_value(), "%s", ticket ? "" : ticket.error().detail.c_str());
    return *ticket;
}

Configuration firstConfiguration()
{
    return *applyTicket({}, read(firstTicket()));
}

std::string refusalDetail(const Configuration &configuration, std::string_view sections)
{
    const auto next =
        applyTicket(configuration, read("[ticket]\nnumber = 9\noperator = rosa\n" + std::string(sections)));
    return next ? "" : next.error().detail;
}

bool contains(std::string_view text, std::string_view part)
{
    return text.find(part) != std::string_view::npos;
}

bool anyContains(std::span<const std::string> lines, std::string_view part)
{
    return std::any_of(lines.begin(), lines.end(), [&](std::string_view it) { return contains(it, part); });
}

} // namespace

Test(apply, a_changed_version_rises_by_one_and_a_new_one_starts_at_the_revision)
{
    const Configuration one = firstConfiguration();
    cr_assert(one.revision == 1 && one.pools.front().version == 1);
    const Configuration two = *applyTicket(one, read(poolTicket(2, 1, DrainB)));
    cr_assert(two.revision == 2 && two.pools.front().version == 2);
    cr_assert(two.services.front().version == 1);
}

Test(apply, a_name_added_again_never_repeats_a_version)
{
    Configuration state = firstConfiguration();
    const std::string head = "[ticket]\nnumber = 2\noperator = rosa\n[key k]\nbased-on = ";
    const std::string key = "public-key = 0123456789abcdefghij0123456789abcdefghij\n";
    state = *applyTicket(state, read(head + "0\n" + key));
    const uint64_t old = state.keys.front().version;
    state = *applyTicket(state, read(head + std::to_string(old) + "\nremove = yes\n"));
    state = *applyTicket(state, read(head + "0\n" + key));
    cr_assert(state.keys.front().version > old);
    cr_assert(applyTicket(state, read(head + std::to_string(old) + "\n" + key)).error().code == Code::StaleTicket);
}

Test(apply, all_stale_changes_are_reported_with_the_current_state)
{
    const std::string errors =
        refusalDetail(firstConfiguration(), "[pool listings]\nbased-on = 7\n[service listings]\nbased-on = 0\n"
                                            "pool = listings\nqueue-limit = 5\n[key k]\nbased-on = 3\nremove = yes\n");
    cr_assert(
        contains(errors, "t.ini:4: pool listings: the ticket is based on version 7, but the object is at version 1"));
    cr_assert(contains(errors, "- pool listings: target a1"));
    cr_assert(contains(errors, "service listings: the ticket adds it as new, but the object is at version 1"));
    cr_assert(contains(errors, "~ service listings: queue-limit 64 -> 5"));
    cr_assert(contains(errors, "key k: the ticket is based on version 3, but the object does not exist"));
}

Test(apply, references_addresses_and_duplicates_are_checked_together)
{
    const std::string errors = refusalDetail(
        firstConfiguration(),
        "[pool more]\nbased-on = 0\ntarget-a1 = 127.0.0.1:8001 data-centre=zh1 slots=1 draining=no\n"
        "target-a2 = here.example:80 data-centre=zh2 slots=1 draining=no\n"
        "[service s]\nbased-on = 0\npool = lstings\n[rule r]\nbased-on = 0\nprefix = /\nservice = listngs\n"
        "data-centres = zh9\n[link north--west]\nbased-on = 0\n[link south--north]\nbased-on = 0\n");
    cr_assert(contains(errors, "127.0.0.1:8001 is listings/a1 already"), "%s", errors.c_str());
    cr_assert(contains(errors, "here.example is not an IP address"));
    cr_assert(contains(errors, "target-a2 data-centre = zh2: there is no such data-centre; nearest is zh1"));
    cr_assert(contains(errors, "t.ini:8: service s: pool = lstings: there is no such pool; nearest is listings"));
    cr_assert(contains(errors, "service = listngs: there is no such service; nearest is listings"));
    cr_assert(contains(errors, "data-centres = zh9: there is no such data-centre"));
    cr_assert(contains(errors, "host and prefix are those of rule all"));
    cr_assert(contains(errors, "no data centre is in region west"));
    cr_assert(contains(errors, "south--north: the name must be two regions joined by --, in alphabetical order"));
}

Test(apply, removing_a_referenced_object_is_refused)
{
    const std::string errors = refusalDetail(firstConfiguration(), "[pool listings]\nbased-on = 1\nremove = yes\n");
    cr_assert(contains(errors, "service listings: pool = listings: there is no such pool"), "%s", errors.c_str());
}

Test(apply, counts_are_limited)
{
    std::string pool = "[pool big]\nbased-on = 0\n";
    for (size_t n = 0; n <= MaxTargets; ++n) {
        pool += "target-t" + std::to_string(n) + " = 10.0." + std::to_string(n / 200) + "." + std::to_string(n % 200)
                + ":80 data-centre=zh1 slots=1 draining=no\n";
    }
    cr_assert(contains(refusalDetail(firstConfiguration(), pool), "there would be 1203; allowed are 1200"));
}

Test(apply, the_required_size_fits_well_below_the_store_limit)
{
    constexpr int Services = 28;
    constexpr int Targets = 440;
    std::string text = firstTicket();
    for (int n = 0; n < Services; ++n) {
        const std::string name = "service-" + std::to_string(n);
        text += "[service " + name + "]\nbased-on = 0\npool = " + name + "\n[pool " + name + "]\nbased-on = 0\n";
        for (int m = n; m < Targets; m += Services) {
            text += "target-worker-" + std::to_string(m) + " = 10.0." + std::to_string(n) + "." + std::to_string(m / 2)
                    + ":" + std::to_string(8000 + m) + " data-centre=zh1 slots=6 draining=no\n";
        }
    }
    const auto next = applyTicket({}, read(text));
    cr_assert(next.has_value(), "%s", next ? "" : next.error().detail.c_str());
    cr_assert(renderTicket(ticketFrom(*next)).size() < 100'000);
}

Test(effect, shows_targets_capacity_and_regions)
{
    const Configuration before = firstConfiguration();
    const Effect effect = effectOf(before, *applyTicket(before, read(poolTicket(2, 1, DrainB))));
    const auto lines = describeEffect(effect);
    cr_assert(anyContains(lines, "target listings/b1 gets no new requests"));
    cr_assert(anyContains(lines, "service listings: 9 slots now, 6 while instances confirm, 6 after"));
    cr_assert(anyContains(lines, "service listings has no target left in region south"));
    cr_assert(effect.capacityLosses.empty());
}

Test(effect, a_service_or_rule_without_capacity_is_reported)
{
    const Configuration before = firstConfiguration();
    cr_assert(anyContains(effectOf(before, *applyTicket(before, read(poolTicket(2, 1, DrainBoth)))).capacityLosses,
                          "service listings would have no capacity"));
    const Configuration drained = *applyTicket(before, read(poolTicket(2, 1, DrainB)));
    const Ticket rule = read("[ticket]\nnumber = 3\noperator = r\n[rule all]\nbased-on = 1\nservice = listings\n"
                             "data-centres = be1\n");
    cr_assert(anyContains(effectOf(drained, *applyTicket(drained, rule)).capacityLosses,
                          "rule all (service listings) would have no capacity"));
}

Test(effect, capacity_lost_only_while_staged_is_reported)
{
    const Configuration before = firstConfiguration();
    const Ticket swapped = read(poolTicket(2, 1, "target-c1 = 127.0.0.1:9001 data-centre=zh1 slots=6 draining=no\n"));
    const Effect effect = effectOf(before, *applyTicket(before, swapped));
    cr_assert(anyContains(effect.capacityLosses, "use two tickets: first add targets, then remove"));
}

Test(effect, missing_capacity_that_the_ticket_does_not_cause_is_not_reported)
{
    Configuration before = firstConfiguration();
    before.pools.front().targets.front().draining = before.pools.front().targets.back().draining = true;
    const Ticket other = read("[ticket]\nnumber = 3\noperator = r\n[data-centre ge1]\nbased-on = 0\nregion = west\n");
    cr_assert(effectOf(before, *applyTicket(before, other)).capacityLosses.empty());
}

Test(diff, each_change_is_described_in_one_line)
{
    const Configuration before = firstConfiguration();
    Configuration after = before;
    after.services.front().hedge = true;
    after.rules.clear();
    after.pools.front().targets.pop_back();
    const auto lines = diff(before, after);
    cr_assert(lines.size() == 3);
    cr_assert(anyContains(lines, "~ service listings: hedge no -> yes"));
    cr_assert(anyContains(lines, "- rule all: host any, prefix /"));
    cr_assert(anyContains(lines, "- pool listings: target b1 = 127.0.0.1:8002"));
    cr_assert(diff(before, before).empty());
}
