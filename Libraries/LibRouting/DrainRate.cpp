#include "LibRouting/DrainRate.h"

#include <algorithm>

namespace bergamothook {

namespace {

constexpr Duration WindowLength = std::chrono::seconds(1);

/// A window this long includes a pause, so it can only raise the rate.
constexpr double MaxWindowSeconds = 5;

constexpr double NewWindowWeight = 0.3;

/// The minimum rate in cost per second, which keeps estimates of the wait
/// finite.
constexpr double MinRate = 1;

} // namespace

DrainRate::DrainRate(double InitialRate) : Rate(InitialRate) {}

void DrainRate::started(double Cost, bool IsBacklogged, TimePoint Now) {
  this->rollWindow(Now);
  this->WindowCost += Cost;
  this->WasBacklogged = this->WasBacklogged && IsBacklogged;
}

void DrainRate::blocked(TimePoint Now) { this->rollWindow(Now); }

void DrainRate::rollWindow(TimePoint Now) {
  if (!this->HasWindow) {
    this->HasWindow = true;
    this->WindowStart = Now;
    return;
  }
  Duration Elapsed = Now - this->WindowStart;
  if (Elapsed < WindowLength)
    return;
  double Seconds = std::chrono::duration<double>(Elapsed).count();
  double Measured = this->WindowCost / Seconds;
  bool IsMeasured = this->WasBacklogged && Seconds < MaxWindowSeconds;
  if (IsMeasured || Measured > this->Rate)
    this->Rate += NewWindowWeight * (Measured - this->Rate);
  this->Rate = std::max(this->Rate, MinRate);
  this->WindowCost = 0;
  this->WasBacklogged = true;
  this->WindowStart = Now;
}

} // namespace bergamothook
