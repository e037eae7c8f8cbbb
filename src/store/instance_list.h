/// The platform's instance list and the records that instances leave in the store, as JSON.
#pragma once

#include "base/result.h"
#include "member/instance.h"
#include "store/client.h"

#include <string>
#include <string_view>
#include <vector>

namespace damask {

constexpr std::string_view MembersPrefix = "/damask/members/";

Result<std::vector<Instance>> parseInstances(std::string_view json); // StoreBadValue
std::string                   encodeInstance(const Instance &instance);
Result<Instance>              decodeInstance(std::string_view json); // StoreBadValue

Result<std::vector<Instance>> fetchInstances(StoreClient &store); // the instance list
Result<std::vector<Instance>> fetchRecords(StoreClient &store);   // the records; a bad one is left out
Result<void>                  writeRecord(StoreClient &store, const Instance &instance);
Result<void>                  removeRecord(StoreClient &store, std::string_view name);

} // namespace damask
