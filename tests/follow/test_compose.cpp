#include "follow/compose.h"

#include <criterion/criterion.h>

using namespace damask;

Test(composeConfiguration, each_service_gets_its_registered_targets)
{
    WatchedConfiguration watched;
    watched.version = 7;
    Service listings;
    listings.name = "listings";
    listings.connectionShare = 220;
    Service till;
    till.name = "till";
    watched.services = {listings, till};
    RegisteredTarget a;
    a.id = "i-a";
    a.service = "listings";
    a.slots = 6;
    a.startedAt = 12;
    a.revision = 5;
    a.era = 2;
    RegisteredTarget unknownService;
    unknownService.id = "i-b";
    unknownService.service = "unknown";
    const std::vector<RegisteredTarget> targets{a, unknownService};
    const std::vector<DataCentre> dataCentres{{.name = "zh", .region = "north"}};
    const std::vector<std::string> evacuated{"zh"};
    const Configuration out = composeConfiguration(watched, targets, dataCentres, evacuated, 3);
    cr_assert(out.revision == 3);
    cr_assert(out.pools.size() == 2 && out.pools[0].targets.size() == 1 && out.pools[1].targets.empty());
    const Target &it = out.pools[0].targets[0];
    cr_assert(it.name == "i-a" && it.instance == "i-a" && it.startedAt == 12);
    cr_assert(it.entryRevision == 5 && it.entryEra == 2);
    cr_assert(out.services[0].pool == "listings" && out.services[0].connectionShare == 12);
    cr_assert(out.dataCentres.size() == 1 && out.evacuatedDataCentres == evacuated);
}
