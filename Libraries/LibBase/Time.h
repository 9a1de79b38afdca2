/// \file
/// The time types used throughout the project. Decision code takes the current
/// time as an argument; only the functions named read...Clock() read a
/// clock.

#ifndef BERGAMOTHOOK_LIBBASE_TIME_H
#define BERGAMOTHOOK_LIBBASE_TIME_H

#include <chrono>
#include <ctime>

namespace bergamothook {

using Duration = std::chrono::nanoseconds;

/// A monotonic clock reading. It can't be compared with another host's.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A wall clock reading, for display only. No decision depends on it.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

/// Converts a duration to seconds, as rate computations need it.
inline double secondsOf(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

inline TimePoint readMonotonicClock() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

/// Like readMonotonicClock(), but counts the time during which the machine was
/// suspended. For leases, which end for others in that time.
inline TimePoint readLeaseClock() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return TimePoint(std::chrono::seconds(Now.tv_sec) +
                   std::chrono::nanoseconds(Now.tv_nsec));
}

inline WallTime readWallClock() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

} // namespace bergamothook

#endif
