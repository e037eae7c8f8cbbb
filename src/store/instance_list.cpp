#include "store/instance_list.h"

#include "base/log.h"

#include <nlohmann/json.hpp>

namespace damask {

namespace {

using Json = nlohmann::json;

constexpr size_t MaxFieldBytes = 256;
constexpr size_t MaxInstances = 10000;

bool readOptionalText(const Json &json, std::string_view field, std::string &out)
{
    const auto it = json.find(field);
    if (it == json.end()) {
        return true;
    }
    if (!it->is_string() || it->get_ref<const nlohmann::json::string_t &>().size() > MaxFieldBytes) {
        return false;
    }
    out = it->get<std::string>();
    return true;
}

Result<Instance> parseInstance(const Json &json)
{
    Instance out;
    std::string state = "live";
    const bool ok = json.is_object() && readOptionalText(json, "name", out.name)
                    && readOptionalText(json, "dataCentre", out.dataCentre)
                    && readOptionalText(json, "region", out.region) && readOptionalText(json, "keeper", out.keeper)
                    && readOptionalText(json, "entry", out.entry) && readOptionalText(json, "state", state);
    if (!ok || out.name.empty() || (state != "live" && state != "leaving")) {
        return fail(Code::StoreBadValue, "malformed instance");
    }
    const auto incarnation = json.find("incarnation");
    if (incarnation != json.end() && incarnation->is_number_unsigned()) {
        out.incarnation = incarnation->get<uint64_t>();
    }
    out.state = state == "leaving" ? InstanceState::Leaving : InstanceState::Live;
    return out;
}

} // namespace

Result<std::vector<Instance>> parseInstances(std::string_view json)
{
    const Json list = Json::parse(json, nullptr, false);
    const auto instances = list.is_object() ? list.find("instances") : list.end();
    if (!list.is_object() || instances == list.end() || !instances->is_array() || instances->size() > MaxInstances) {
        return fail(Code::StoreBadValue, "malformed instance list");
    }
    std::vector<Instance> out;
    for (const Json &it : *instances) {
        auto instance = parseInstance(it);
        if (!instance) {
            return tl::make_unexpected(instance.error());
        }
        out.push_back(std::move(*instance));
    }
    return out;
}

std::string encodeInstance(const Instance &instance)
{
    const Json json{{"name", instance.name},     {"dataCentre", instance.dataCentre},
                    {"region", instance.region}, {"keeper", instance.keeper},
                    {"entry", instance.entry},   {"incarnation", instance.incarnation}};
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<Instance> decodeInstance(std::string_view json)
{
    return parseInstance(Json::parse(json, nullptr, false));
}

Result<std::vector<Instance>> fetchInstances(StoreClient &store)
{
    const auto text = store.fetch("/instances");
    return text ? parseInstances(*text) : Result<std::vector<Instance>>(tl::make_unexpected(text.error()));
}

Result<std::vector<Instance>> fetchRecords(StoreClient &store)
{
    const auto read = store.list(MembersPrefix);
    if (!read) {
        return tl::make_unexpected(read.error());
    }
    std::vector<Instance> out;
    for (const StoreEntry &it : read->entries) {
        auto instance = decodeInstance(it.value);
        if (instance) {
            out.push_back(std::move(*instance));
        } else {
            logEvent(Severity::Error, "store-bad-value",
                     {{"code", codeNumber(Code::StoreBadValue)}, {"key", it.key}, {"version", it.version}});
        }
    }
    return out;
}

Result<void> writeRecord(StoreClient &store, const Instance &instance)
{
    const auto written = store.put(std::string(MembersPrefix) + instance.name, encodeInstance(instance));
    return written ? Result<void>() : tl::make_unexpected(written.error());
}

Result<void> removeRecord(StoreClient &store, std::string_view name)
{
    return store.remove(std::string(MembersPrefix) + std::string(name));
}

} // namespace damask
