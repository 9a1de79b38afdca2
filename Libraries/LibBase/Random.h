/// \file
/// A seeded random number generator with the same sequence on every machine.

#ifndef BERGAMOTHOOK_LIBBASE_RANDOM_H
#define BERGAMOTHOOK_LIBBASE_RANDOM_H

#include "LibBase/Hash.h"
#include "LibBase/Time.h"

#include <cstdint>
#include <pcg_random.hpp>

namespace bergamothook {

/// A pseudo-random number generator. Not thread-safe: each task or
/// single-threaded process has its own.
class Random {
public:
  explicit Random(std::uint64_t Seed);

  /// Returns 64 random bits.
  std::uint64_t next();

  /// Returns a uniformly distributed integer in [0, \p Limit). \p Limit must
  /// not be 0.
  std::uint64_t below(std::uint64_t Limit);

  /// Returns a uniformly distributed number in [0, 1).
  double uniform();

  /// Returns true with the probability \p Probability.
  bool chance(double Probability);

  /// Returns an exponentially distributed number with the mean \p Mean.
  double exponential(double Mean);

  /// Returns a uniformly distributed duration between 0.5 and 1.5 times
  /// \p Base, so that hosts that fail at the same time do not all retry at the
  /// same time.
  Duration jitter(Duration Base);

  Hash128 next128();

private:
  pcg64 Engine;
};

} // namespace bergamothook

#endif
