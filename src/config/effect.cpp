#include "config/effect.h"

#include "config/intersect.h"
#include "config/kind.h"

#include <set>

namespace damask {

namespace {

bool acceptsRequestsIn(const Target &target, std::span<const std::string> dataCentres)
{
    return !target.draining
           && (dataCentres.empty()
               || std::find(dataCentres.begin(), dataCentres.end(), target.dataCentre) != dataCentres.end());
}

int64_t capacityOfService(const Configuration &configuration, std::string_view name)
{
    const Service *service = findNamed(configuration.services, name);
    return service == nullptr ? 0 : capacityOf(configuration, *service);
}

/// Slots that requests with the rule's host and prefix can reach.
int64_t capacityOfRule(const Configuration &configuration, const Rule &rule)
{
    const Rule *matching = nullptr;
    for (const Rule &it : configuration.rules) {
        matching = it.host == rule.host && it.prefix == rule.prefix ? &it : matching;
    }
    const Service *service = matching == nullptr ? nullptr : findNamed(configuration.services, matching->service);
    return service == nullptr ? 0 : capacityOf(configuration, *service, matching->dataCentres);
}

std::set<std::string> activeTargets(const Configuration &configuration)
{
    std::set<std::string> names;
    for (const Pool &pool : configuration.pools) {
        for (const Target &it : pool.targets) {
            if (!it.draining) {
                names.insert(pool.name + "/" + it.name);
            }
        }
    }
    return names;
}

std::set<std::string> regionsOf(const Configuration &configuration, std::string_view serviceName)
{
    std::set<std::string> regions;
    const Service *service = findNamed(configuration.services, serviceName);
    const Pool *pool = service == nullptr ? nullptr : findNamed(configuration.pools, service->pool);
    if (pool == nullptr) {
        return regions;
    }
    for (const Target &it : pool->targets) {
        const DataCentre *dataCentre = findNamed(configuration.dataCentres, it.dataCentre);
        if (!it.draining && dataCentre != nullptr) {
            regions.insert(dataCentre->region);
        }
    }
    return regions;
}

void addEmptyRegions(Effect &effect, const Configuration &before, const Configuration &after, std::string_view service)
{
    const std::set<std::string> remaining = regionsOf(after, service);
    for (const auto &it : regionsOf(before, service)) {
        if (!remaining.contains(it)) {
            effect.emptyRegions.push_back("service " + std::string(service) + " has no target left in region " + it);
        }
    }
}

/// Reports a service or rule that would have no capacity, after the ticket or while it is staged. An existing one that
/// had none before is not reported, because this ticket does not cause that.
void addCapacity(Effect &effect, const CapacityChange &change, bool isNew)
{
    const bool lost = change.after == 0 && (change.before > 0 || isNew);
    const bool lostWhileStaged = change.before > 0 && change.after > 0 && change.staged == 0;
    if (lost) {
        effect.capacityLosses.push_back(change.what + " would have no capacity");
    }
    if (lostWhileStaged) {
        effect.capacityLosses.push_back(
            change.what
            + " would have no capacity while instances confirm, because no target is allowed"
              " before and after; use two tickets: first add targets, then remove");
    }
    effect.capacity.push_back(change);
}

} // namespace

int64_t capacityOf(const Configuration &configuration, const Service &service, std::span<const std::string> dataCentres)
{
    const Pool *pool = findNamed(configuration.pools, service.pool);
    int64_t slots = 0;
    if (pool == nullptr) {
        return slots;
    }
    for (const Target &it : pool->targets) {
        slots += acceptsRequestsIn(it, dataCentres) ? it.slots : 0;
    }
    return slots;
}

Effect effectOf(const Configuration &before, const Configuration &after)
{
    Effect effect;
    const Configuration staged = intersectConfigurations(before, after);
    const std::set<std::string> remaining = activeTargets(after);
    for (const auto &it : activeTargets(before)) {
        if (!remaining.contains(it)) {
            effect.stoppedTargets.push_back(it);
        }
    }
    for (const Service &it : after.services) {
        const CapacityChange change{"service " + it.name, capacityOfService(before, it.name),
                                    capacityOfService(staged, it.name), capacityOf(after, it)};
        addCapacity(effect, change, findNamed(before.services, it.name) == nullptr);
        addEmptyRegions(effect, before, after, it.name);
    }
    for (const Rule &it : after.rules) {
        if (it.service.empty()) {
            continue;
        }
        const CapacityChange change{"rule " + it.name + " (service " + it.service + ")", capacityOfRule(before, it),
                                    capacityOfRule(staged, it), capacityOfRule(after, it)};
        if (change.after != capacityOfService(after, it.service) || change.staged == 0) {
            addCapacity(effect, change, findNamed(before.rules, it.name) == nullptr);
        }
    }
    return effect;
}

std::vector<std::string> describeEffect(const Effect &effect)
{
    std::vector<std::string> out;
    for (const auto &it : effect.stoppedTargets) {
        out.push_back("target " + it + " gets no new requests");
    }
    for (const CapacityChange &it : effect.capacity) {
        if (it.before != it.after || it.staged < std::min(it.before, it.after)) {
            out.push_back(it.what + ": " + std::to_string(it.before) + " slots now, " + std::to_string(it.staged)
                          + " while instances confirm, " + std::to_string(it.after) + " after");
        }
    }
    out.insert(out.end(), effect.emptyRegions.begin(), effect.emptyRegions.end());
    out.insert(out.end(), effect.capacityLosses.begin(), effect.capacityLosses.end());
    return out;
}

} // namespace damask
