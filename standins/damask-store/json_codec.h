/// JSON encoding of the stand-in's protocol: 64-bit numbers as strings, keys and values in base64.
#pragma once

#include "damask-store/key_values.h"
#include "member/instance.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace damask::standin {

using Json = nlohmann::json;

/// Missing fields and fields of another type give 0 or an empty string.
uint64_t    numberOf(const Json &object, std::string_view field);
std::string textOf(const Json &object, std::string_view field);
std::string bytesOf(const Json &object, std::string_view field); // decoded from base64

Json     header(uint64_t revision);
Json     toJson(const KeyValue &kv);
Json     toJson(const Instance &it);
Instance instanceOf(const Json &json);

} // namespace damask::standin
