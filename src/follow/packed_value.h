/// Values in a compact form for other nodes: compressed, and as a difference from an earlier value that the receiver
/// has.
///
/// Use: `auto packed = packValue(value, base); ... unpackValue(*packed, base)` with the same base on both sides.
/// Pure. A digest of the whole value shows whether the receiver had the right base.
#pragma once

#include "base/result.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace damask {

constexpr size_t MaxPackedValueBytes = 2 * 1024 * 1024; // of a value; a larger one is neither packed nor unpacked

/// A value as one Zstandard frame.
struct PackedValue {
    std::string bytes;      // the frame
    uint64_t    size = 0;   // of the value, in bytes
    uint64_t    digest = 0; // hashBytes() of the value
};

/// OverBudget if the value is too large; SystemError if the library fails, e.g. without memory. `base` may be empty.
Result<PackedValue> packValue(std::string_view value, std::string_view base);

/// BadMessage if the frame is malformed, another base was used, or the value doesn't match its size and digest.
Result<std::string> unpackValue(const PackedValue &packed, std::string_view base);

} // namespace damask
