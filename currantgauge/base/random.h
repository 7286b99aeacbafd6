// A seeded random number generator. It is part of the node's state, so that
// replaying the same events produces the same effects.
//
//   Random Source(Seed);
//   std::uint64_t Index = uniformBelow(Source, Servers.size());
#ifndef CURRANTGAUGE_BASE_RANDOM_H
#define CURRANTGAUGE_BASE_RANDOM_H

#include <cstdint>
#include <random>

namespace currantgauge::base {

using Random = std::mt19937_64;

// uniformBelow() returns a number in [0, Bound), or 0 if Bound is 0. The
// distributions of <random> vary between standard libraries; this does not.
inline std::uint64_t uniformBelow(Random &Source, std::uint64_t Bound) {
  return Bound == 0 ? 0 : Source() % Bound;
}

// uniformUnit() returns a number in [0, 1).
inline double uniformUnit(Random &Source) {
  return static_cast<double>(Source() >> 11) * 0x1.0p-53;
}

} // namespace currantgauge::base

#endif // CURRANTGAUGE_BASE_RANDOM_H
