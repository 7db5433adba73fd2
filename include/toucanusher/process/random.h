// Random sources. Like the clock, they are passed in, so that a run can be replayed from a seed.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>

namespace toucanusher {

// Returns uniformly distributed 64-bit values.
using random_source = std::function<std::uint64_t()>;

// Returns a deterministic source for tests and experiments.
inline random_source make_seeded_random(std::uint64_t seed) {
    return [engine = std::make_shared<std::mt19937_64>(seed)] { return (*engine)(); };
}

// Returns a uniformly distributed value in [0, 1).
inline double uniform_fraction(random_source const& random) {
    constexpr double two_to_minus_53 = 0x1.0p-53;
    return static_cast<double>(random() >> 11U) * two_to_minus_53;
}

} // namespace toucanusher
