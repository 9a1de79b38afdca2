/// \file
/// Seeded random numbers, the same sequence on every machine.

#ifndef BERGAMOTHOOK_LIBBASE_RANDOM_H
#define BERGAMOTHOOK_LIBBASE_RANDOM_H

#include "LibBase/Hash.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <pcg_random.hpp>

namespace bergamothook {

/// A generator of random numbers. One object belongs to one task or to one
/// single-threaded process; it takes no lock.
class Random {
public:
  explicit Random(std::uint64_t Seed);

  /// Gives 64 random bits.
  std::uint64_t next();

  /// Gives a number from 0 to \p Limit - 1. \p Limit is not 0.
  std::uint64_t below(std::uint64_t Limit);

  /// Gives a number from 0 up to, and without, 1.
  double uniform();

  /// Tells true with the probability \p Probability.
  bool chance(double Probability);

  /// Gives a number of the exponential distribution with the mean \p Mean.
  double exponential(double Mean);

  /// Gives a time from half of \p Base to one and a half of it, so that hosts
  /// that fail together do not come back together.
  Duration jitter(Duration Base);

  Hash128 next128();

private:
  pcg64 Engine;
};

} // namespace bergamothook

#endif
