#include "follow/packed_value.h"

#include "base/hash.h"

#include <algorithm>
#include <bit>
#include <memory>
#include <zstd.h>

namespace damask {

namespace {

constexpr int CompressionLevel = 1;

using Compressor = std::unique_ptr<ZSTD_CCtx, size_t (*)(ZSTD_CCtx *)>;
using Decompressor = std::unique_ptr<ZSTD_DCtx, size_t (*)(ZSTD_DCtx *)>;

std::string messageOf(size_t ec)
{
    return ZSTD_getErrorName(ec);
}

/// log2 of a window from the end of the value back to the start of its base.
int windowLogFor(size_t bytes)
{
    const ZSTD_bounds bounds = ZSTD_cParam_getBounds(ZSTD_c_windowLog);
    return std::clamp(static_cast<int>(std::bit_width(bytes)), bounds.lowerBound, bounds.upperBound);
}

} // namespace

Result<PackedValue> packValue(std::string_view value, std::string_view base)
{
    if (value.size() > MaxPackedValueBytes || base.size() > MaxPackedValueBytes) {
        return fail(Code::OverBudget, "a value of " + std::to_string(std::max(value.size(), base.size()))
                                          + " bytes; at most " + std::to_string(MaxPackedValueBytes) + " are packed");
    }
    const Compressor context(ZSTD_createCCtx(), ZSTD_freeCCtx);
    if (!context) {
        return fail(Code::SystemError, "no memory for the compressor");
    }
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, CompressionLevel);
    if (!base.empty()) {
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLogFor(value.size() + base.size()));
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
        ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    }
    PackedValue out{
        .bytes = std::string(ZSTD_compressBound(value.size()), '\0'), .size = value.size(), .digest = hashBytes(value)};
    const size_t n = ZSTD_compress2(context.get(), out.bytes.data(), out.bytes.size(), value.data(), value.size());
    if (ZSTD_isError(n) != 0) {
        return fail(Code::SystemError, "the compressor failed: " + messageOf(n));
    }
    out.bytes.resize(n);
    out.bytes.shrink_to_fit();
    return out;
}

Result<std::string> unpackValue(const PackedValue &packed, std::string_view base)
{
    if (packed.size > MaxPackedValueBytes) {
        return fail(Code::BadMessage, "a packed value of " + std::to_string(packed.size) + " bytes; at most "
                                          + std::to_string(MaxPackedValueBytes) + " are allowed");
    }
    const Decompressor context(ZSTD_createDCtx(), ZSTD_freeDCtx);
    if (!context) {
        return fail(Code::SystemError, "no memory for the decompressor");
    }
    if (!base.empty()) {
        ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, windowLogFor(2 * MaxPackedValueBytes));
        ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    }
    std::string out(packed.size, '\0');
    const size_t n =
        ZSTD_decompressDCtx(context.get(), out.data(), out.size(), packed.bytes.data(), packed.bytes.size());
    if (ZSTD_isError(n) != 0) {
        return fail(Code::BadMessage, "the packed value is malformed: " + messageOf(n));
    }
    if (n != packed.size || hashBytes(out) != packed.digest) {
        return fail(Code::BadMessage, "the unpacked value differs from the one that was packed");
    }
    return out;
}

} // namespace damask
