/// The JSON of the stand-in's answers: 64-bit numbers as strings, keys and values in base64.
#pragma once

#include "damask-store/key_values.h"
#include "member/instance.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace damask::standin {

using Json = nlohmann::json;

/// A field that is missing or of another type reads as 0 or empty.
uint64_t    numberOf(const Json &object, std::string_view field);
std::string textOf(const Json &object, std::string_view field);
std::string bytesOf(const Json &object, std::string_view field); // from base64

Json     header(uint64_t revision);
Json     toJson(const KeyValue &kv);
Json     toJson(const Instance &it);
Instance instanceOf(const Json &json);

} // namespace damask::standin
