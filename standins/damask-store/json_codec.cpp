#include "damask-store/json_codec.h"

#include "store/base64.h"

#include <charconv>

namespace damask::standin {

uint64_t numberOf(const Json &object, std::string_view field)
{
    const auto it = object.find(field);
    if (it == object.end()) {
        return 0;
    }
    if (it->is_number_unsigned()) {
        return it->get<uint64_t>();
    }
    uint64_t number = 0;
    if (it->is_string()) {
        const auto &text = it->get_ref<const std::string &>();
        std::from_chars(text.data(), text.data() + text.size(), number);
    }
    return number;
}

std::string textOf(const Json &object, std::string_view field)
{
    const auto it = object.find(field);
    return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::string bytesOf(const Json &object, std::string_view field)
{
    return fromBase64(textOf(object, field)).value_or(std::string());
}

Json header(uint64_t revision)
{
    return {{"cluster_id", "1"}, {"member_id", "1"}, {"revision", std::to_string(revision)}, {"raft_term", "1"}};
}

Json toJson(const KeyValue &kv)
{
    Json out{{"key", toBase64(kv.key)}, {"mod_revision", std::to_string(kv.modRevision)}};
    if (!kv.deleted) {
        out["value"] = toBase64(kv.value);
        out["create_revision"] = std::to_string(kv.createRevision);
        out["version"] = std::to_string(kv.version);
        out["lease"] = std::to_string(kv.lease);
    }
    return out;
}

Json toJson(const Instance &it)
{
    return {{"name", it.name},
            {"dataCentre", it.dataCentre},
            {"region", it.region},
            {"keeper", it.keeper},
            {"entry", it.entry},
            {"incarnation", it.incarnation},
            {"state", it.state == InstanceState::Live ? "live" : "leaving"}};
}

Instance instanceOf(const Json &json)
{
    return {.name = textOf(json, "name"),
            .dataCentre = textOf(json, "dataCentre"),
            .region = textOf(json, "region"),
            .keeper = textOf(json, "keeper"),
            .entry = textOf(json, "entry"),
            .incarnation = numberOf(json, "incarnation"),
            .state = textOf(json, "state") == "leaving" ? InstanceState::Leaving : InstanceState::Live};
}

} // namespace damask::standin
