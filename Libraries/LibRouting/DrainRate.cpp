#include "LibRouting/DrainRate.h"

#include <algorithm>

namespace bergamothook {

namespace {

constexpr Duration Window = std::chrono::seconds(1);

/// A pause of this many windows starts the measurement anew.
constexpr double MaxWindows = 5;

constexpr double NewWindowWeight = 0.3;

/// The rate never falls below this share of the work of one small request, so
/// that an estimate of the wait stays finite.
constexpr double SmallestRate = 1;

} // namespace

DrainRate::DrainRate(double Assumed) : Rate(Assumed) {}

void DrainRate::started(double Cost, bool IsBacklogged, TimePoint Now) {
  this->roll(Now);
  this->InWindow += Cost;
  this->WasBacklogged = this->WasBacklogged && IsBacklogged;
}

void DrainRate::blocked(TimePoint Now) { this->roll(Now); }

void DrainRate::roll(TimePoint Now) {
  if (!this->HasWindow) {
    this->HasWindow = true;
    this->WindowStart = Now;
    return;
  }
  Duration Passed = Now - this->WindowStart;
  if (Passed < Window)
    return;
  double Seconds = std::chrono::duration<double>(Passed).count();
  double Measured = this->InWindow / Seconds;
  bool IsMeasured = this->WasBacklogged && Seconds < MaxWindows;
  if (IsMeasured || Measured > this->Rate)
    this->Rate += NewWindowWeight * (Measured - this->Rate);
  this->Rate = std::max(this->Rate, SmallestRate);
  this->InWindow = 0;
  this->WasBacklogged = true;
  this->WindowStart = Now;
}

} // namespace bergamothook
