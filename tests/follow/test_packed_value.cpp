#include "follow/packed_value.h"

#include <criterion/criterion.h>
#include <random>

using namespace damask;

namespace {

/// A value like a configuration of many routes, whose names don't repeat.
std::string routes(int count, uint32_t seed = 1)
{
    std::mt19937 random(seed);
    std::string out;
    for (int n = 0; n < count; ++n) {
        out += R"({"name":"r)" + std::to_string(random()) + R"(","match":{"prefix":"/)" + std::to_string(random())
               + R"(/"},"action":{"service":"s","timeoutMs":800}},)";
    }
    return out;
}

} // namespace

Test(packed_value, is_restored_with_the_base_that_it_was_packed_against)
{
    const std::string before = routes(8000);
    const std::string after = before.substr(0, 300'000) + routes(100, 2) + before.substr(350'000);
    for (const std::string &base : {std::string(), before}) {
        const auto packed = packValue(after, base);
        cr_assert(packed && packed->bytes.size() < after.size() / 3, "%zu bytes", packed->bytes.size());
        cr_assert(unpackValue(*packed, base) == after);
    }
    cr_assert(packValue(after, before)->bytes.size() < after.size() / 50, "only what has changed travels");
    cr_assert(unpackValue(*packValue("", ""), "") == "");
}

Test(packed_value, another_base_and_malformed_frames_are_refused)
{
    const std::string base = routes(500);
    const std::string value = base + routes(5, 2);
    const auto packed = packValue(value, base);
    cr_assert(unpackValue(*packed, "").error().code == Code::BadMessage);
    cr_assert(unpackValue(*packed, routes(500, 3)).error().code == Code::BadMessage);
    PackedValue bad = *packed;
    ++bad.digest;
    cr_assert(unpackValue(bad, base).error().code == Code::BadMessage);
    bad = *packed;
    bad.size = MaxPackedValueBytes + 1;
    cr_assert(unpackValue(bad, base).error().code == Code::BadMessage);
    std::mt19937 random(1);
    for (int n = 0; n < 2000; ++n) {
        bad = *packed;
        bad.bytes[random() % bad.bytes.size()] ^= static_cast<char>(1 + random() % 255);
        bad.bytes.resize(random() % 4 == 0 ? random() % bad.bytes.size() : bad.bytes.size());
        const auto got = unpackValue(bad, base);
        cr_assert(!got || *got == value);
    }
    const std::string large(MaxPackedValueBytes + 1, 'x');
    cr_assert(packValue(large, "").error().code == Code::OverBudget);
    cr_assert(packValue("x", large).error().code == Code::OverBudget);
}
