/// Random number sources as hooks, so that a run can be replayed from its seed.
#pragma once

#include <cstdint>
#include <functional>

namespace damask {

/// Returns 64 random bits. Not thread-safe unless the function that creates it says so.
using RandomSource = std::function<uint64_t()>;

/// A source with its own state (Mersenne Twister); equal seeds give equal sequences. Not thread-safe.
RandomSource seededRandom(uint64_t seed);

/// A thread-safe source with one state per thread, each seeded by the operating system.
RandomSource systemRandom();

/// A uniformly distributed integer from 0 to bound - 1; bound > 0.
uint64_t randomBelow(const RandomSource &random, uint64_t bound);

/// A uniformly distributed number from 0 (inclusive) to 1 (exclusive).
double randomUnit(const RandomSource &random);

} // namespace damask
