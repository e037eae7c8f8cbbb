/// Decides by location which targets a request may reach: the home regions of its rule and its client account, and
/// evacuated data centres.
///
/// Load pattern: kinds of request that are bound to a few regions of a fleet with hundreds of targets, so that few
/// targets are eligible or none is; and a data centre that is evacuated and taken back while calls are queued.
///
/// Pure: no state, clock or lock.
#pragma once

#include "config/model.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace damask {

/// The targets of one service in one region.
struct RegionTargets {
    std::string region;       // empty: not known
    bool        here = false; // the region of this instance
    size_t      targets = 0;  // configured, not in an evacuated data centre
};

/// Which targets the home regions of a request leave.
struct HomeReach {
    bool bound = false; // the request has home regions
    bool anyTarget = true;
    bool anyHere = true; // a target in the region of this instance

    /// Whether the request has to leave this region, so that neither the budget of bytes between regions nor the extra
    /// cost of another region applies to it.
    bool mustLeave() const
    {
        return bound && !anyHere;
    }
};

/// Whether a region is in both lists. An empty list allows all regions; an unknown region is in no other list.
bool isHome(std::string_view region, std::span<const std::string> ruleRegions,
            std::span<const std::string> accountRegions);

HomeReach homeReach(std::span<const RegionTargets> regions, std::span<const std::string> ruleRegions,
                    std::span<const std::string> accountRegions);

/// Home regions of the rules and accounts that no data centre is in, each as "rule NAME: REGION" or
/// "account NAME: REGION", at most `limit` of them: misspelt ones leave a request without targets.
std::vector<std::string> unknownHomeRegions(const Configuration &configuration, size_t limit);

/// The regions of the data centres, sorted.
std::vector<std::string> knownRegions(std::span<const DataCentre> dataCentres);

/// Whether targets of the data centre get no requests.
bool isEvacuated(std::span<const std::string> evacuated, std::string_view dataCentre);

/// The data centres of `before` that are not in `now`: their targets return, possibly cold.
std::vector<std::string> liftedEvacuations(std::span<const std::string> before, std::span<const std::string> now);

} // namespace damask
