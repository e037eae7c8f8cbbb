#include "base/random.h"

#include "base/check.h"

#include <memory>
#include <random>

namespace damask {

namespace {

constexpr int UnitBits = 53;                     // bits of a double's fraction
constexpr uint64_t SeedMix = 0x9e3779b97f4a7c15; // odd, spreads consecutive seeds apart

/// A RandomSource as the distributions of the library want it.
struct Generator {
    using result_type = uint64_t;
    const RandomSource &source;

    static constexpr uint64_t min()
    {
        return 0;
    }
    static constexpr uint64_t max()
    {
        return UINT64_MAX;
    }
    uint64_t operator()() const
    {
        return source();
    }
};

} // namespace

RandomSource seededRandom(uint64_t seed)
{
    auto engine = std::make_shared<std::mt19937_64>(seed * SeedMix + 1);
    return [engine] {
        return (*engine)();
    };
}

RandomSource systemRandom()
{
    return [] {
        thread_local std::mt19937_64 engine{std::random_device{}()};
        return engine();
    };
}

uint64_t randomBelow(const RandomSource &random, uint64_t bound)
{
    DAMASK_ASSERT(bound > 0, "there is no number below zero: check the list for emptiness first");
    std::uniform_int_distribution<uint64_t> distribution(0, bound - 1);
    Generator generator{random};
    return distribution(generator);
}

double randomUnit(const RandomSource &random)
{
    return static_cast<double>(random() >> (64 - UnitBits)) / static_cast<double>(uint64_t{1} << UnitBits);
}

} // namespace damask
