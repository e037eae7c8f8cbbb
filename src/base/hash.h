/// Hashes by xxHash: stable between processes and versions.
#pragma once

#include <cstdint>
#include <string_view>

namespace damask {

/// A 64-bit hash of bytes; the same on every instance.
uint64_t hashBytes(std::string_view bytes);

} // namespace damask
