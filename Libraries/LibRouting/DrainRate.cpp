#include "LibRouting/DrainRate.h"

#include <algorithm>
#include <limits>

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

DrainRate::DrainRate(std::optional<double> InitialRate)
    : IsAssumed(InitialRate.has_value()),
      Rate(InitialRate.value_or(std::numeric_limits<double>::infinity())) {}

void DrainRate::started(double Cost, bool IsBacklogged, TimePoint Now) {
  this->rollWindow(Now);
  this->WindowCost += Cost;
  this->WasBacklogged = this->WasBacklogged && IsBacklogged;
}

void DrainRate::putBack(double Cost) {
  this->WindowCost = std::max(0.0, this->WindowCost - Cost);
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
  bool IsUnknown = this->Rate == std::numeric_limits<double>::infinity();
  bool IsRaised =
      Measured > this->Rate || (IsUnknown && Seconds < MaxWindowSeconds);
  if (!this->IsAssumed && IsRaised)
    this->Rate = Measured;
  else if (IsMeasured || IsRaised)
    this->Rate += NewWindowWeight * (Measured - this->Rate);
  this->Rate = std::max(this->Rate, MinRate);
  this->WindowCost = 0;
  this->WasBacklogged = true;
  this->WindowStart = Now;
}

} // namespace bergamothook
