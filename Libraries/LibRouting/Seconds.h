/// \file
/// Conversions between durations and the seconds used in estimates.

#ifndef BERGAMOTHOOK_LIBROUTING_SECONDS_H
#define BERGAMOTHOOK_LIBROUTING_SECONDS_H

#include "LibBase/Time.h"

#include <algorithm>

namespace bergamothook::detail {

/// Estimates are capped at this value.
constexpr double MaxEstimateSeconds = 86400;

inline double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

inline Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(Seconds, MaxEstimateSeconds)));
}

} // namespace bergamothook::detail

#endif
