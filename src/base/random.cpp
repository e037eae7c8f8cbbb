#include "base/random.h"

#include "base/check.h"

#include <memory>
#include <random>

namespace damask {

namespace {

constexpr int UnitBits = 53;                     // precision of a double's significand
constexpr uint64_t SeedMix = 0x9e3779b97f4a7c15; // odd; spreads consecutive seeds over the range

/// Adapts a RandomSource to the generator interface of the standard library's distributions.
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
    DAMASK_ASSERT(bound > 0, "no number lies below a bound of zero: check that the list is not empty first");
    std::uniform_int_distribution<uint64_t> distribution(0, bound - 1);
    Generator generator{random};
    return distribution(generator);
}

double randomUnit(const RandomSource &random)
{
    return static_cast<double>(random() >> (64 - UnitBits)) / static_cast<double>(uint64_t{1} << UnitBits);
}

} // namespace damask
