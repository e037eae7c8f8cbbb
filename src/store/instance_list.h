/// The platform's instance list and the records that instances write to the store, both as JSON.
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

Result<std::vector<Instance>> fetchInstances(StoreClient &store); // from the platform's instance list
Result<std::vector<Instance>> fetchRecords(StoreClient &store);   // from the store; malformed records are skipped
Result<void>                  writeRecord(StoreClient &store, const Instance &instance);
Result<void>                  removeRecord(StoreClient &store, std::string_view name);

} // namespace damask
