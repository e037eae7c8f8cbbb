#include "follow/compose.h"

#include <algorithm>

namespace damask {

namespace {

Target toTarget(const RegisteredTarget &from)
{
    Target out;
    out.name = from.id;
    out.address = from.address;
    out.port = from.port;
    out.dataCentre = from.dataCentre;
    out.slots = from.slots;
    out.draining = from.draining;
    out.instance = from.id;
    out.startedAt = from.startedAt;
    out.coldLeft = from.coldLeft;
    out.entryRevision = from.revision;
    out.entryEra = from.era;
    return out;
}

} // namespace

Configuration composeConfiguration(const WatchedConfiguration &watched, std::span<const RegisteredTarget> targets,
                                   std::span<const DataCentre> dataCentres,
                                   std::span<const std::string> evacuatedDataCentres, uint64_t revision)
{
    Configuration out;
    out.revision = revision;
    out.services = watched.services;
    out.rules = watched.rules;
    out.accounts = watched.accounts;
    out.dataCentres.assign(dataCentres.begin(), dataCentres.end());
    out.evacuatedDataCentres.assign(evacuatedDataCentres.begin(), evacuatedDataCentres.end());
    for (Service &service : out.services) {
        service.pool = service.name;
        Pool pool{.name = service.name, .version = revision};
        int slots = 1;
        for (const RegisteredTarget &it : targets) {
            if (it.service == service.name) {
                pool.targets.push_back(toTarget(it));
                slots = std::max(slots, it.slots);
            }
        }
        // Connections beyond what a target can work on and briefly queue would only wait at the target.
        service.connectionShare = std::min(service.connectionShare, 2 * slots);
        out.pools.push_back(std::move(pool));
    }
    return out;
}

} // namespace damask
