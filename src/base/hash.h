/// xxHash (XXH3). Hashes are the same in all processes and versions.
#pragma once

#include <cstdint>
#include <string_view>

namespace damask {

/// The 64-bit hash of the bytes; the same on every instance.
uint64_t hashBytes(std::string_view bytes);

} // namespace damask
