#include "LibRouting/OutlierDetector.h"

#include "LibRouting/Seconds.h"

#include <algorithm>
#include <cmath>

namespace bergamothook {

namespace {

/// The weight of a new observation in the moving average.
constexpr double ObservationWeight = 0.25;

/// The ratio of an observation is capped at this value and at its inverse.
constexpr double MaxSlownessRatio = 20;

/// Expected times are raised to this minimum, since ratios of shorter times are
/// mostly noise.
constexpr Duration MinExpected = std::chrono::milliseconds(50);

constexpr Duration MedianPeriod = std::chrono::seconds(1);

} // namespace

OutlierDetector::OutlierDetector(OutlierSettings Settings)
    : Settings(Settings) {}

void OutlierDetector::add(TargetTable::Slot SlotIndex, TimePoint Now) {
  if (SlotIndex >= this->Stats.size())
    this->Stats.resize(SlotIndex + 1);
  if (!this->Stats[SlotIndex].IsUsed)
    ++this->TargetCount;
  this->Stats[SlotIndex] = TargetStats();
  this->Stats[SlotIndex].IsUsed = true;
  this->Stats[SlotIndex].SlownessUpdatedAt = Now;
  this->Stats[SlotIndex].SlowStartAt = Now;
}

void OutlierDetector::remove(TargetTable::Slot SlotIndex) {
  if (SlotIndex >= this->Stats.size() || !this->Stats[SlotIndex].IsUsed)
    return;
  this->Stats[SlotIndex] = TargetStats();
  --this->TargetCount;
}

void OutlierDetector::observe(TargetTable::Slot SlotIndex, Duration Expected,
                              Duration Observed, TimePoint Now) {
  if (SlotIndex >= this->Stats.size())
    return;
  TargetStats &Target = this->Stats[SlotIndex];
  double ExpectedSeconds = detail::toSeconds(std::max(Expected, MinExpected));
  double SlownessRatio =
      std::clamp(detail::toSeconds(Observed) / ExpectedSeconds,
                 1 / MaxSlownessRatio, MaxSlownessRatio);
  double Previous = this->decayedSlowness(Target, Now);
  Target.SlownessRatio =
      Previous + ObservationWeight * (SlownessRatio - Previous);
  Target.SlownessUpdatedAt = Now;
  ++Target.Observations;
  this->refreshMedian(Now);
  bool HasEnoughObservations =
      Target.Observations >= this->Settings.MinObservations;
  double SlowLimit =
      this->Settings.SlowFactor * std::max(1.0, this->MedianSlowness);
  if (HasEnoughObservations && Target.SlownessRatio > SlowLimit)
    this->eject(Target, Now);
}

void OutlierDetector::failed(TargetTable::Slot SlotIndex, TimePoint Now) {
  if (SlotIndex >= this->Stats.size())
    return;
  TargetStats &Target = this->Stats[SlotIndex];
  ++Target.ConsecutiveFailures;
  if (Target.ConsecutiveFailures >= this->Settings.FailuresToEject)
    this->eject(Target, Now);
}

void OutlierDetector::unreachable(TargetTable::Slot SlotIndex, TimePoint Now) {
  if (SlotIndex >= this->Stats.size())
    return;
  ++this->Stats[SlotIndex].ConsecutiveFailures;
  this->eject(this->Stats[SlotIndex], Now);
}

void OutlierDetector::succeeded(TargetTable::Slot SlotIndex) {
  if (SlotIndex >= this->Stats.size())
    return;
  TargetStats &Target = this->Stats[SlotIndex];
  Target.ConsecutiveFailures = 0;
  if (Target.SlownessRatio < this->Settings.SlowFactor)
    Target.Ejections = 0;
}

bool OutlierDetector::isEjected(TargetTable::Slot SlotIndex,
                                TimePoint Now) const {
  return SlotIndex < this->Stats.size() &&
         this->Stats[SlotIndex].EjectedUntil > Now;
}

double OutlierDetector::loadShare(TargetTable::Slot SlotIndex,
                                  TimePoint Now) const {
  if (SlotIndex >= this->Stats.size() || !this->Stats[SlotIndex].IsUsed)
    return 1;
  double Progress =
      detail::toSeconds(Now - this->Stats[SlotIndex].SlowStartAt) /
      detail::toSeconds(this->Settings.SlowStart);
  double Initial = this->Settings.InitialShare;
  return std::clamp(Initial + (1 - Initial) * Progress, Initial, 1.0);
}

double OutlierDetector::slowness(TargetTable::Slot SlotIndex,
                                 TimePoint Now) const {
  if (SlotIndex >= this->Stats.size())
    return 1;
  double SlownessRatio = this->decayedSlowness(this->Stats[SlotIndex], Now);
  return std::max(1.0, SlownessRatio / std::max(1.0, this->MedianSlowness));
}

std::size_t OutlierDetector::ejectedCount(TimePoint Now) const {
  return static_cast<std::size_t>(std::count_if(
      this->Stats.begin(), this->Stats.end(),
      [Now](const TargetStats &Target) { return Target.EjectedUntil > Now; }));
}

void OutlierDetector::eject(TargetStats &Target, TimePoint Now) {
  if (Target.EjectedUntil > Now)
    return;
  double EjectedAfter = static_cast<double>(this->ejectedCount(Now) + 1);
  double MaxEjected =
      this->Settings.MaxEjectedShare * static_cast<double>(this->TargetCount);
  if (EjectedAfter > MaxEjected)
    return;
  constexpr std::uint32_t MaxDoublings = 8;
  auto Factor = 1U << std::min(Target.Ejections, MaxDoublings);
  Duration Length = std::min(this->Settings.BaseEjection * Factor,
                             this->Settings.MaxEjection);
  ++Target.Ejections;
  Target.EjectedUntil = Now + Length;
  Target.SlowStartAt = Target.EjectedUntil;
  // Slowness is judged by new observations only; a single further failure
  // ejects the target again.
  Target.Observations = 0;
  Target.ConsecutiveFailures = this->Settings.FailuresToEject - 1;
}

double OutlierDetector::decayedSlowness(const TargetStats &Target,
                                        TimePoint Now) const {
  double HalfLives = detail::toSeconds(std::max(
                         Duration::zero(), Now - Target.SlownessUpdatedAt)) /
                     detail::toSeconds(this->Settings.SlownessHalfLife);
  return 1 + (Target.SlownessRatio - 1) * std::exp2(-HalfLives);
}

void OutlierDetector::refreshMedian(TimePoint Now) {
  if (Now - this->MedianUpdatedAt < MedianPeriod)
    return;
  this->MedianUpdatedAt = Now;
  std::vector<double> SlownessRatios;
  for (const TargetStats &Target : this->Stats)
    if (Target.IsUsed && Target.Observations > 0)
      SlownessRatios.push_back(this->decayedSlowness(Target, Now));
  if (SlownessRatios.empty())
    return;
  auto Middle = SlownessRatios.begin() +
                static_cast<std::ptrdiff_t>(SlownessRatios.size() / 2);
  std::nth_element(SlownessRatios.begin(), Middle, SlownessRatios.end());
  this->MedianSlowness = *Middle;
}

} // namespace bergamothook
