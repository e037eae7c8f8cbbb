#include "config/intersect.h"
#include "config/kind.h"
#include "fakes/rapid_params.h"
#include "route/rules.h"
#include "wire/document_codec.h"

#include <rapidcheck.h>

#include <criterion/criterion.h>
#include <set>

using namespace damask;

namespace {

constexpr auto Hosts = std::to_array<std::string_view>({"", "x", "y"});
constexpr auto Prefixes = std::to_array<std::string_view>({"/", "/a", "/ab", "/a/b", "/a/", "/c"});
constexpr auto RequestHosts = std::to_array<std::string_view>({"x", "y", "z"});
constexpr auto RequestPaths = std::to_array<std::string_view>({"/", "/a", "/abc", "/a/b/c", "/ab/c", "/c", "/d"});

template<class Words>
std::string pick(const Words &words)
{
    return std::string(words.at(*rc::gen::inRange<size_t>(0, words.size())));
}

Configuration randomConfiguration()
{
    Configuration out;
    out.dataCentres = {{"d0", 1, "r"}, {"d1", 1, "r"}};
    out.pools = {{"p0", 1, {}}, {"p1", 1, {}}};
    for (int n = 0; n < 4; ++n) {
        const int poolIndex = *rc::gen::inRange(0, 3);
        if (poolIndex < 2) {
            out.pools.at(static_cast<size_t>(poolIndex))
                .targets.push_back({"t" + std::to_string(n), "10.0.0.1", static_cast<uint16_t>(80 + n),
                                    "d" + std::to_string(n % 2), *rc::gen::inRange(1, 4),
                                    *rc::gen::inRange(0, 4) == 0});
        }
    }
    for (int n = 0; n < 3; ++n) {
        if (*rc::gen::inRange(0, 4) != 0) {
            Service service;
            service.name = "s" + std::to_string(n);
            service.pool = "p" + std::to_string(*rc::gen::inRange(0, 2));
            service.queueLimit = *rc::gen::inRange(1, 100);
            out.services.push_back(service);
        }
    }
    std::set<std::string> taken;
    for (int n = 0; n < 6; ++n) {
        Rule rule;
        rule.name = "r" + std::to_string(n);
        rule.host = pick(Hosts);
        rule.prefix = pick(Prefixes);
        rule.idempotency = static_cast<Idempotency>(*rc::gen::inRange(0, 3));
        rule.service = out.services.empty() || *rc::gen::inRange(0, 5) == 0
                           ? ""
                           : out.services.at(*rc::gen::inRange<size_t>(0, out.services.size())).name;
        const int where = *rc::gen::inRange(0, 4);
        rule.dataCentres =
            where < 2 ? std::vector<std::string>{"d" + std::to_string(where)} : std::vector<std::string>{};
        if (*rc::gen::inRange(0, 2) == 0 && taken.insert(rule.host + rule.prefix).second) {
            out.rules.push_back(rule);
        }
    }
    return out;
}

/// Ports that a request may reach.
std::set<int> reachablePorts(const Configuration &configuration, std::string_view host, std::string_view path)
{
    std::set<int> out;
    const Rule *rule = matchRule(configuration.rules, host, path);
    const Service *service = rule == nullptr ? nullptr : findNamed(configuration.services, rule->service);
    const Pool *pool = service == nullptr ? nullptr : findNamed(configuration.pools, service->pool);
    for (const Target &it : pool == nullptr ? std::vector<Target>() : pool->targets) {
        const auto &allowed = rule->dataCentres;
        const bool inAllowedDataCentre =
            allowed.empty() || std::find(allowed.begin(), allowed.end(), it.dataCentre) != allowed.end();
        if (inAllowedDataCentre && !it.draining) {
            out.insert(it.port);
        }
    }
    return out;
}

bool mayRepeat(const Rule *rule, Idempotency atLeast)
{
    return rule != nullptr
           && (rule->idempotency == Idempotency::Always
               || (atLeast == Idempotency::ByMethod && rule->idempotency == atLeast));
}

} // namespace

Test(intersect, requests_reach_exactly_what_both_configurations_allow)
{
    fakes::setRapidRuns(1500);
    const bool held = rc::check([] {
        const Configuration before = randomConfiguration();
        const Configuration after = randomConfiguration();
        const Configuration both = intersectConfigurations(before, after);
        const auto sent = decodeDocument(encodeDocument({.accepted = both}));
        RC_ASSERT(sent.has_value());
        RC_ASSERT(sent->accepted == both);
        for (const std::string_view host : RequestHosts) {
            for (const std::string_view path : RequestPaths) {
                const std::set<int> was = reachablePorts(before, host, path);
                std::set<int> expected;
                for (const int it : reachablePorts(after, host, path)) {
                    if (was.contains(it)) {
                        expected.insert(it);
                    }
                }
                RC_ASSERT(reachablePorts(both, host, path) == expected);
                const Rule *rule = matchRule(both.rules, host, path);
                for (const Idempotency it : {Idempotency::Always, Idempotency::ByMethod}) {
                    RC_ASSERT(!mayRepeat(rule, it) || expected.empty()
                              || (mayRepeat(matchRule(before.rules, host, path), it)
                                  && mayRepeat(matchRule(after.rules, host, path), it)));
                }
            }
        }
    });
    cr_assert(held);
}

Test(intersect, a_configuration_with_itself_keeps_its_services_and_pools)
{
    fakes::setRapidRuns(300);
    const bool held = rc::check([] {
        const Configuration state = randomConfiguration();
        const Configuration both = intersectConfigurations(state, state);
        RC_ASSERT(both.services == state.services);
        RC_ASSERT(both.pools == state.pools);
    });
    cr_assert(held);
}

Test(intersect, limits_are_the_stricter_ones_and_keys_must_be_in_both)
{
    Configuration before;
    before.pools = {{"p", 1, {}}};
    before.services = {{"s", 1, "p"}};
    Configuration after = before;
    before.services.front().queueLimit = 10;
    after.services.front().deadline = std::chrono::seconds(1);
    after.services.front().hedge = true;
    before.keys = {{"a", 1, "A", false}, {"b", 1, "B", true}};
    after.keys = {{"a", 2, "A", true}, {"c", 1, "C", false}};
    const Configuration both = intersectConfigurations(before, after);
    cr_assert(both.services.front().queueLimit == 10);
    cr_assert(both.services.front().deadline == std::chrono::seconds(1));
    cr_assert(!both.services.front().hedge);
    cr_assert(both.keys.size() == 1);
    cr_assert(both.keys.front().retired);
}
