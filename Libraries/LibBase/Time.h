/// \file
/// The time types of every signature. Decisions take the present time as an
/// argument, so nothing here reads a clock except for the two functions whose
/// names say so.

#ifndef BERGAMOTHOOK_LIBBASE_TIME_H
#define BERGAMOTHOOK_LIBBASE_TIME_H

#include <chrono>

namespace bergamothook {

using Duration = std::chrono::nanoseconds;

/// A point of the monotonic clock. It says nothing about another host's clock.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A point of the wall clock, for people to read. No decision rests on it.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

/// Gives a span in seconds, as rates need it.
inline double secondsOf(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

/// Reads the monotonic clock of this machine.
inline TimePoint readMonotonicClock() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

/// Reads the wall clock of this machine.
inline WallTime readWallClock() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

} // namespace bergamothook

#endif
