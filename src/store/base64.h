/// Base64 with padding (RFC 4648), the encoding of keys and values in the store's JSON.
#pragma once

#include "base/result.h"

#include <string>
#include <string_view>

namespace damask {

std::string         toBase64(std::string_view bytes);
Result<std::string> fromBase64(std::string_view text); // StoreBadValue

} // namespace damask
