/// Conversion between plain values and the generated protobuf classes. Internal to wire/; forward declarations keep the
/// generated headers out.
#pragma once

#include "base/result.h"
#include "control/document.h"

#include <cstddef>
#include <string_view>

namespace damask::pb {

class Configuration;
class ControlDocument;

} // namespace damask::pb

namespace damask {

constexpr size_t  MaxNameBytes = 256;    // of a name, address, prefix or key
constexpr size_t  MaxTextBytes = 4096;   // of a comment or detail
constexpr int     MaxItems = 10000;      // in any list
constexpr int     MaxCount = 1000000;    // of slots, depth, queue limit and similar fields
constexpr int64_t MaxIntervalHours = 24; // of a deadline, wait or delay

void                  toMessage(const Configuration &from, pb::Configuration &to);
Result<Configuration> fromMessage(const pb::Configuration &from); // BadMessage

/// Checks the length of a text. If maxBytes is at most MaxNameBytes, also refuses control characters. BadMessage names
/// the field.
Result<void> checkText(std::string_view text, size_t maxBytes, std::string_view field);

} // namespace damask
