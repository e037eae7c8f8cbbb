#include "route/placement.h"

#include "config/accounts.h"

#include <algorithm>

namespace damask {

namespace {

bool contains(std::span<const std::string> names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

bool isHome(std::string_view region, std::span<const std::string> ruleRegions,
            std::span<const std::string> accountRegions)
{
    const auto allows = [region](std::span<const std::string> regions) {
        return regions.empty() || (!region.empty() && contains(regions, region));
    };
    return allows(ruleRegions) && allows(accountRegions);
}

HomeReach homeReach(std::span<const RegionTargets> regions, std::span<const std::string> ruleRegions,
                    std::span<const std::string> accountRegions)
{
    HomeReach out;
    out.bound = !ruleRegions.empty() || !accountRegions.empty();
    if (!out.bound) {
        return out;
    }
    out.anyTarget = false;
    out.anyHere = false;
    for (const RegionTargets &it : regions) {
        const bool eligible = it.targets > 0 && isHome(it.region, ruleRegions, accountRegions);
        out.anyTarget = out.anyTarget || eligible;
        out.anyHere = out.anyHere || (eligible && it.here);
    }
    return out;
}

std::vector<std::string> knownRegions(std::span<const DataCentre> dataCentres)
{
    std::vector<std::string> out;
    for (const DataCentre &it : dataCentres) {
        if (!it.region.empty() && !contains(out, it.region)) {
            out.push_back(it.region);
        }
    }
    std::sort(out.begin(), out.end());
    return out;
}

std::vector<std::string> unknownHomeRegions(const Configuration &configuration, size_t limit)
{
    const std::vector<std::string> known = knownRegions(configuration.dataCentres);
    std::vector<std::string> out;
    const auto check = [&](std::string_view owner, std::string_view name, std::span<const std::string> regions) {
        for (const std::string &it : regions) {
            if (out.size() < limit && !contains(known, it)) {
                out.push_back(std::string(owner) + " " + std::string(name) + ": " + it);
            }
        }
    };
    for (const Rule &it : configuration.rules) {
        check("rule", it.name, it.allowedRegions);
    }
    if (configuration.accounts) {
        for (const ClientAccount &it : configuration.accounts->accounts()) {
            check("account", it.name, it.allowedRegions);
        }
    }
    return out;
}

bool isEvacuated(std::span<const std::string> evacuated, std::string_view dataCentre)
{
    return contains(evacuated, dataCentre);
}

std::vector<std::string> liftedEvacuations(std::span<const std::string> before, std::span<const std::string> now)
{
    std::vector<std::string> out;
    std::copy_if(before.begin(), before.end(), std::back_inserter(out),
                 [now](std::string_view it) { return !contains(now, it); });
    return out;
}

} // namespace damask
