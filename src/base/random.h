/// The source of random numbers as a hook, so that runs can be replayed from a seed.
#pragma once

#include <cstdint>
#include <functional>

namespace damask {

/// Gives 64 random bits. Not safe to share between threads unless its maker says so.
using RandomSource = std::function<uint64_t()>;

/// A source with its own state (Mersenne Twister); the same seed gives the same numbers.
RandomSource seededRandom(uint64_t seed);

/// A source that is safe from all threads (one state for each thread), seeded by the system.
RandomSource systemRandom();

/// A whole number from 0 to bound - 1; bound > 0.
uint64_t randomBelow(const RandomSource &random, uint64_t bound);

/// A number from 0 up to, not including, 1.
double randomUnit(const RandomSource &random);

} // namespace damask
