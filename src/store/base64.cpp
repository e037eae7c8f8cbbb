#include "store/base64.h"

#include <array>
#include <cstdint>

namespace damask {

namespace {

constexpr std::string_view Alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr uint8_t Invalid = 0xff;

constexpr std::array<uint8_t, 256> makeDecodeTable()
{
    std::array<uint8_t, 256> values{};
    values.fill(Invalid);
    for (size_t n = 0; n < Alphabet.size(); ++n) {
        values[static_cast<unsigned char>(Alphabet[n])] = static_cast<uint8_t>(n);
    }
    return values;
}

constexpr std::array<uint8_t, 256> DecodeTable = makeDecodeTable();

} // namespace

std::string toBase64(std::string_view bytes)
{
    std::string out;
    out.reserve((bytes.size() + 2) / 3 * 4);
    for (size_t n = 0; n < bytes.size(); n += 3) {
        const std::string_view group = bytes.substr(n, 3);
        uint32_t bits = 0;
        for (size_t it = 0; it < 3; ++it) {
            bits = bits << 8 | (it < group.size() ? static_cast<unsigned char>(group[it]) : 0U);
        }
        out += Alphabet[bits >> 18 & 63];
        out += Alphabet[bits >> 12 & 63];
        out += group.size() > 1 ? Alphabet[bits >> 6 & 63] : '=';
        out += group.size() > 2 ? Alphabet[bits & 63] : '=';
    }
    return out;
}

Result<std::string> fromBase64(std::string_view text)
{
    if (text.size() % 4 != 0) {
        return fail(Code::StoreBadValue, "base64: the length is not a multiple of 4");
    }
    while (!text.empty() && text.size() % 4 != 2 && text.back() == '=') {
        text.remove_suffix(1);
    }
    std::string out;
    out.reserve(text.size() / 4 * 3 + 2);
    uint32_t bits = 0;
    int pendingBits = 0; // bits decoded but not yet written
    for (const char c : text) {
        const uint8_t value = DecodeTable[static_cast<unsigned char>(c)];
        if (value == Invalid) {
            return fail(Code::StoreBadValue, "base64: invalid character");
        }
        bits = bits << 6 | value;
        pendingBits += 6;
        if (pendingBits >= 8) {
            pendingBits -= 8;
            out += static_cast<char>(bits >> pendingBits & 0xff);
        }
    }
    return out;
}

} // namespace damask
