#include <rapidcheck.h>

#include "member/duty.h"
#include "member/membership.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <set>

using namespace damask;
using namespace std::chrono_literals;

namespace {

constexpr Duration SilenceLimit = 6s;

Instance makeInstance(int n, uint64_t incarnation)
{
    Instance out;
    out.name = "entry-" + std::to_string(n);
    out.dataCentre = "dc-" + std::to_string(n % 2);
    out.keeper = "tcp://10.0.0." + std::to_string(n) + ":7002";
    out.incarnation = incarnation;
    return out;
}

/// Oracle: the state of each member in its simplest form.
struct Facts {
    uint64_t incarnation = 0;
    bool listed = false;
    bool recorded = false;
    TimePoint lastReportAt;
    uint64_t confirmed = 0;
};

struct Model {
    std::map<std::string, Facts> facts;
    TimePoint now{1000s};

    Facts &at(const Instance &it)
    {
        const bool known = facts.contains(it.name);
        Facts &out = facts[it.name];
        if (!known) {
            out.lastReportAt = now;
            out.incarnation = it.incarnation;
        }
        if (it.incarnation > out.incarnation) {
            out.incarnation = it.incarnation;
            out.confirmed = 0;
        }
        return out;
    }
};

std::vector<Instance> someInstances()
{
    std::vector<Instance> out;
    for (int n = 0; n < 4; ++n) {
        if (*rc::gen::arbitrary<bool>()) {
            out.push_back(makeInstance(n, *rc::gen::inRange<uint64_t>(0, 4)));
        }
    }
    return out;
}

void step(Membership &membership, Model &model)
{
    const int kind = *rc::gen::inRange(0, 4);
    if (kind == 0) {
        const auto list = someInstances();
        membership.replaceListed(list, model.now);
        for (auto &[name, it] : model.facts) {
            it.listed = false;
        }
        for (const Instance &it : list) {
            model.at(it).listed = true;
        }
    } else if (kind == 1) {
        const auto list = someInstances();
        membership.replaceRecorded(list, model.now);
        for (auto &[name, it] : model.facts) {
            it.recorded = false;
        }
        for (const Instance &it : list) {
            model.at(it).recorded = true;
        }
    } else if (kind == 2) {
        const MemberReport report{makeInstance(*rc::gen::inRange(0, 4), *rc::gen::inRange<uint64_t>(0, 4)),
                                  *rc::gen::inRange<uint64_t>(0, 9), 0, Duration::zero()};
        membership.applyReport(report, model.now);
        Facts &it = model.at(report.instance);
        if (report.instance.incarnation == it.incarnation) {
            it.lastReportAt = model.now;
            it.confirmed = report.confirmed;
        }
    } else {
        model.now += Duration(std::chrono::milliseconds(*rc::gen::inRange(0, 5000)));
    }
}

void compare(const Membership &membership, const Model &model)
{
    for (const MemberView &it : membership.members(model.now)) {
        const Facts &facts = model.facts.at(it.instance.name);
        const bool gone = !facts.listed && !facts.recorded && model.now - facts.lastReportAt > SilenceLimit;
        RC_ASSERT((it.state == MemberState::Gone) == gone);
        RC_ASSERT(it.confirmed == facts.confirmed);
        RC_ASSERT(it.listed == facts.listed);
        RC_ASSERT(it.recorded == facts.recorded);
        RC_ASSERT(it.instance.incarnation == facts.incarnation);
    }
}

} // namespace

Test(membership, agrees_with_a_simple_model_for_any_order_of_updates)
{
    const bool held = rc::check("membership", [] {
        Membership membership({.silenceLimit = SilenceLimit, .forgetAfter = 24h});
        Model model;
        const int steps = *rc::gen::inRange(1, 40);
        for (int n = 0; n < steps; ++n) {
            step(membership, model);
            compare(membership, model);
        }
    });
    cr_assert(held);
}

Test(membership, an_old_relayed_report_does_not_replace_a_newer_one)
{
    Membership membership;
    membership.applyReport({makeInstance(1, 5), 8, 3, 0s}, TimePoint(100s));
    cr_assert(!membership.applyReport({makeInstance(1, 5), 6, 2, 3s}, TimePoint(101s)));
    cr_assert(!membership.applyReport({makeInstance(1, 4), 9, 9, 0s}, TimePoint(102s)));
    const auto members = membership.members(TimePoint(102s));
    cr_assert(members.front().confirmed == 8);
    cr_assert(membership.applyReport({makeInstance(1, 5), 9, 4, 0s}, TimePoint(103s)));
}

Test(duty, the_lowest_ranked_members_that_are_not_silent_watch)
{
    Membership membership({.silenceLimit = SilenceLimit});
    for (int n = 0; n < 8; ++n) {
        membership.applyReport({makeInstance(n, 1), 0, 0, 0s}, TimePoint(100s));
    }
    cr_assert(watchersOf(membership.members(TimePoint(101s)), "dc-0")
              == std::vector<std::string>({"entry-0", "entry-2"}));
    for (int n = 1; n < 8; ++n) {
        membership.applyReport({makeInstance(n, 1), 0, 0, 0s}, TimePoint(110s));
    }
    const auto members = membership.members(TimePoint(111s));
    cr_assert(watchersOf(members, "dc-0") == std::vector<std::string>({"entry-2", "entry-4"}));
    cr_assert(allWatchers(members).size() == 4);
    const auto peers = heartbeatPeers(members, "entry-2");
    const auto silent =
        std::find_if(peers.begin(), peers.end(), [](const Instance &it) { return it.name == "entry-0"; });
    cr_assert(silent == peers.end(), "it is gone: neither listed nor recorded");
    cr_assert(peers.size() == 2 + 2, "two members of its data centre and two watchers of the other");
}

Test(duty, the_total_poll_rate_does_not_grow_with_the_number_of_keepers)
{
    for (const size_t fleet : {5, 60, 600}) {
        const double rate = static_cast<double>(fleet) / toSeconds(pollInterval(fleet, 1s, 1));
        cr_assert(rate <= 5.0);
    }
}
