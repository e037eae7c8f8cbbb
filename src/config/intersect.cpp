#include "config/intersect.h"

#include "config/kind.h"
#include "config/rule_match.h"

#include <algorithm>
#include <set>

namespace damask {

namespace {

bool sameEndpoint(const Target &a, const Target &b)
{
    return a.address == b.address && a.port == b.port && a.dataCentre == b.dataCentre;
}

Pool intersectPools(const Pool &before, const Pool &after)
{
    Pool pool;
    pool.name = before.name == after.name ? after.name : before.name + "+" + after.name;
    pool.version = std::max(before.version, after.version);
    for (const Target &it : after.targets) {
        const auto was = std::find_if(before.targets.begin(), before.targets.end(),
                                      [&](const Target &target) { return sameEndpoint(target, it); });
        if (was == before.targets.end()) {
            continue;
        }
        Target target = it;
        target.slots = std::min(it.slots, was->slots);
        target.draining = it.draining || was->draining;
        pool.targets.push_back(std::move(target));
    }
    return pool;
}

Service intersectServices(const Service &before, const Service &after)
{
    Service service = after;
    service.name = before.name == after.name ? after.name : before.name + "+" + after.name;
    service.version = std::max(before.version, after.version);
    service.pool = before.pool == after.pool ? after.pool : before.pool + "+" + after.pool;
    service.deadline = std::min(before.deadline, after.deadline);
    service.maxDepth = std::min(before.maxDepth, after.maxDepth);
    service.queueLimit = std::min(before.queueLimit, after.queueLimit);
    service.queueWait = std::min(before.queueWait, after.queueWait);
    service.retryRatio = std::min(before.retryRatio, after.retryRatio);
    service.hedge = before.hedge && after.hedge;
    service.hedgeAfter = std::max(before.hedgeAfter, after.hedgeAfter);
    service.connectionShare = std::min(before.connectionShare, after.connectionShare);
    service.measureBytesPerSecond = std::min(before.measureBytesPerSecond, after.measureBytesPerSecond);
    service.measureProbesPerSecond = std::min(before.measureProbesPerSecond, after.measureProbesPerSecond);
    service.regionBytesPerSecond = std::min(before.regionBytesPerSecond, after.regionBytesPerSecond);
    return service;
}

Idempotency stricter(Idempotency a, Idempotency b)
{
    if (a == Idempotency::Never || b == Idempotency::Never) {
        return Idempotency::Never;
    }
    if (a == Idempotency::ByMethod || b == Idempotency::ByMethod) {
        return Idempotency::ByMethod;
    }
    return Idempotency::Always;
}

/// Builds the intersection of two configurations.
class Merge
{
public:
    Merge(const Configuration &before, const Configuration &after)
        : m_before(before)
        , m_after(after)
    {
        merged.revision = before.revision;
    }

    void mergeServices()
    {
        for (const Pool &it : m_after.pools) {
            const Pool *was = findNamed(m_before.pools, it.name);
            if (was != nullptr) {
                merged.pools.push_back(intersectPools(*was, it));
            }
        }
        for (const Service &it : m_after.services) {
            const Service *was = findNamed(m_before.services, it.name);
            if (was != nullptr) {
                addService(*was, it);
            }
        }
    }

    /// Adds one rule for each host and prefix that either configuration names. For a request, the most specific of
    /// these gives what the matching rules of both configurations allow together, because all prefixes that match the
    /// path are prefixes of the longest one.
    void mergeRules()
    {
        std::set<std::string_view> hosts = {""};
        std::set<std::string_view> prefixes;
        for (const Configuration *state : {&m_before, &m_after}) {
            for (const Rule &it : state->rules) {
                hosts.insert(it.host);
                prefixes.insert(it.prefix);
            }
        }
        for (const std::string_view host : hosts) {
            for (const std::string_view prefix : prefixes) {
                mergeRule(host, prefix);
            }
        }
    }

    void mergeTopology()
    {
        merged.dataCentres = m_after.dataCentres;
        for (const DataCentre &it : m_before.dataCentres) {
            if (findNamed(m_after.dataCentres, it.name) == nullptr) {
                merged.dataCentres.push_back(it);
            }
        }
        merged.links = m_after.links;
        for (const Link &it : m_before.links) {
            if (findNamed(m_after.links, it.name) == nullptr) {
                merged.links.push_back(it);
            }
        }
        for (Link &it : merged.links) {
            const Link *was = findNamed(m_before.links, it.name);
            it.delay = was != nullptr ? std::max(it.delay, was->delay) : it.delay;
        }
    }

    void mergeKeys()
    {
        for (const PeerKey &it : m_after.keys) {
            const PeerKey *was = findNamed(m_before.keys, it.name);
            if (was != nullptr && was->publicKey == it.publicKey) {
                merged.keys.push_back(it);
                merged.keys.back().retired = it.retired || was->retired;
            }
        }
    }

    void sort()
    {
        forEachKind([&]<class T>() { sortByName(merged.*Kind<T>::Objects); });
    }

    Configuration merged;

private:
    void addService(const Service &before, const Service &after)
    {
        Service service = intersectServices(before, after);
        const auto same = [&](const auto &it) {
            return it.name == service.pool;
        };
        if (std::none_of(merged.pools.begin(), merged.pools.end(), same)) {
            const Pool *was = findNamed(m_before.pools, before.pool);
            const Pool *is = findNamed(m_after.pools, after.pool);
            merged.pools.push_back(was != nullptr && is != nullptr
                                       ? intersectPools(*was, *is)
                                       : Pool{.name = service.pool, .version = 0, .targets = {}});
        }
        merged.services.push_back(std::move(service));
    }

    void mergeRule(std::string_view host, std::string_view prefix)
    {
        const Rule *before = findMatchingRule(m_before.rules, host, prefix);
        const Rule *after = findMatchingRule(m_after.rules, host, prefix);
        if (!isExactMatch(before, host, prefix) && !isExactMatch(after, host, prefix)
            && !neededUnderHost(before, after, host, prefix)) {
            return; // a less specific rule gives the same result
        }
        Rule rule;
        rule.host = host;
        rule.prefix = prefix;
        if (before == nullptr || after == nullptr) {
            const Rule *only = before != nullptr ? before : after;
            rule.name = only == nullptr ? "none" : only->name;
        } else {
            combineRules(rule, *before, *after);
        }
        merged.rules.push_back(withUniqueName(std::move(rule)));
    }

    static bool isExactMatch(const Rule *rule, std::string_view host, std::string_view prefix)
    {
        return rule != nullptr && rule->host == host && rule->prefix == prefix;
    }

    /// Rules that name a host take precedence over rules for any host. Where one configuration has a rule for the host,
    /// a prefix that the other one matches by a rule for any host must therefore have a rule under the host too.
    bool neededUnderHost(const Rule *before, const Rule *after, std::string_view host, std::string_view prefix) const
    {
        const auto byAnyHost = [&](const Rule *rule) {
            return rule != nullptr && rule->host.empty() && rule->prefix == prefix;
        };
        return !host.empty() && (byAnyHost(before) || byAnyHost(after));
    }

    void combineRules(Rule &rule, const Rule &before, const Rule &after)
    {
        rule.name = before.name == after.name ? after.name : before.name + "+" + after.name;
        rule.version = std::max(before.version, after.version);
        rule.idempotency = stricter(before.idempotency, after.idempotency);
        rule.service = intersectedService(before.service, after.service);
        rule.dataCentres = after.dataCentres.empty() ? before.dataCentres : after.dataCentres;
        if (!before.dataCentres.empty() && !after.dataCentres.empty()) {
            std::erase_if(rule.dataCentres, [&](std::string_view it) {
                return std::find(before.dataCentres.begin(), before.dataCentres.end(), it) == before.dataCentres.end();
            });
            // An empty list would mean anywhere, so these requests are refused instead.
            rule.service = rule.dataCentres.empty() ? "" : rule.service;
        }
    }

    std::string intersectedService(std::string_view before, std::string_view after)
    {
        const Service *was = findNamed(m_before.services, before);
        const Service *is = findNamed(m_after.services, after);
        if (was == nullptr || is == nullptr) {
            return "";
        }
        const std::string name = intersectServices(*was, *is).name;
        const auto same = [&](const auto &it) {
            return it.name == name;
        };
        if (std::none_of(merged.services.begin(), merged.services.end(), same)) {
            addService(*was, *is);
        }
        return name;
    }

    Rule withUniqueName(Rule rule) const
    {
        const std::string name = rule.name;
        const auto same = [&](const auto &it) {
            return it.name == rule.name;
        };
        for (int n = 2; std::any_of(merged.rules.begin(), merged.rules.end(), same); ++n) {
            rule.name = name + "#" + std::to_string(n);
        }
        return rule;
    }

    const Configuration &m_before;
    const Configuration &m_after;
};

} // namespace

Configuration intersectConfigurations(const Configuration &before, const Configuration &after)
{
    Merge merge(before, after);
    merge.mergeServices();
    merge.mergeRules();
    merge.mergeTopology();
    merge.mergeKeys();
    merge.sort();
    return std::move(merge.merged);
}

} // namespace damask
