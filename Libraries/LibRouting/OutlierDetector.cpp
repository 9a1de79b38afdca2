#include "LibRouting/OutlierDetector.h"

#include "LibRouting/Seconds.h"

#include <algorithm>
#include <cmath>

namespace bergamothook {

namespace {

/// The weight of a new observation in the moving average.
constexpr double ObservationWeight = 0.25;

/// An observation counts for at most this multiple of what was expected.
constexpr double MaxRatio = 20;

/// Times below this are not compared, since their ratio is mostly noise.
constexpr Duration SmallestExpected = std::chrono::milliseconds(50);

constexpr Duration MedianPeriod = std::chrono::seconds(1);

} // namespace

OutlierDetector::OutlierDetector(OutlierSettings Settings)
    : Settings(Settings) {}

void OutlierDetector::add(TargetTable::Slot Place, TimePoint Now) {
  if (Place >= this->Watches.size())
    this->Watches.resize(Place + 1);
  if (!this->Watches[Place].IsUsed)
    ++this->Watched;
  this->Watches[Place] = Watch();
  this->Watches[Place].IsUsed = true;
  this->Watches[Place].RatioAt = Now;
  this->Watches[Place].SlowStartFrom = Now;
}

void OutlierDetector::remove(TargetTable::Slot Place) {
  if (Place >= this->Watches.size() || !this->Watches[Place].IsUsed)
    return;
  this->Watches[Place] = Watch();
  --this->Watched;
}

void OutlierDetector::observe(TargetTable::Slot Place, Duration Expected,
                              Duration Observed, TimePoint Now) {
  if (Place >= this->Watches.size())
    return;
  Watch &Target = this->Watches[Place];
  double Base = detail::toSeconds(std::max(Expected, SmallestExpected));
  double Ratio =
      std::clamp(detail::toSeconds(Observed) / Base, 1 / MaxRatio, MaxRatio);
  double Before = this->decayedRatio(Target, Now);
  Target.Ratio = Before + ObservationWeight * (Ratio - Before);
  Target.RatioAt = Now;
  ++Target.Observations;
  this->refreshMedian(Now);
  bool IsKnown = Target.Observations >= this->Settings.MinObservations;
  double Limit = this->Settings.SlowFactor * std::max(1.0, this->Median);
  if (IsKnown && Target.Ratio > Limit)
    this->eject(Target, Now);
}

void OutlierDetector::failed(TargetTable::Slot Place, TimePoint Now) {
  if (Place >= this->Watches.size())
    return;
  Watch &Target = this->Watches[Place];
  ++Target.FailuresInRow;
  if (Target.FailuresInRow >= this->Settings.FailuresToEject)
    this->eject(Target, Now);
}

void OutlierDetector::unreachable(TargetTable::Slot Place, TimePoint Now) {
  if (Place >= this->Watches.size())
    return;
  ++this->Watches[Place].FailuresInRow;
  this->eject(this->Watches[Place], Now);
}

void OutlierDetector::succeeded(TargetTable::Slot Place) {
  if (Place >= this->Watches.size())
    return;
  Watch &Target = this->Watches[Place];
  Target.FailuresInRow = 0;
  if (Target.Ratio < this->Settings.SlowFactor)
    Target.Ejections = 0;
}

bool OutlierDetector::isEjected(TargetTable::Slot Place, TimePoint Now) const {
  return Place < this->Watches.size() &&
         this->Watches[Place].EjectedUntil > Now;
}

double OutlierDetector::share(TargetTable::Slot Place, TimePoint Now) const {
  if (Place >= this->Watches.size() || !this->Watches[Place].IsUsed)
    return 1;
  double Grown = detail::toSeconds(Now - this->Watches[Place].SlowStartFrom) /
                 detail::toSeconds(this->Settings.SlowStart);
  double First = this->Settings.FirstShare;
  return std::clamp(First + (1 - First) * Grown, First, 1.0);
}

double OutlierDetector::slowness(TargetTable::Slot Place, TimePoint Now) const {
  if (Place >= this->Watches.size())
    return 1;
  double Ratio = this->decayedRatio(this->Watches[Place], Now);
  return std::max(1.0, Ratio / std::max(1.0, this->Median));
}

std::size_t OutlierDetector::ejected(TimePoint Now) const {
  return static_cast<std::size_t>(std::count_if(
      this->Watches.begin(), this->Watches.end(),
      [Now](const Watch &Target) { return Target.EjectedUntil > Now; }));
}

void OutlierDetector::eject(Watch &Target, TimePoint Now) {
  if (Target.EjectedUntil > Now)
    return;
  double AfterThis = static_cast<double>(this->ejected(Now) + 1);
  double Most =
      this->Settings.MaxEjectedShare * static_cast<double>(this->Watched);
  if (AfterThis > Most)
    return;
  constexpr std::uint32_t MaxDoublings = 8;
  auto Factor = 1U << std::min(Target.Ejections, MaxDoublings);
  Duration Length = std::min(this->Settings.BaseEjection * Factor,
                             this->Settings.MaxEjection);
  ++Target.Ejections;
  Target.EjectedUntil = Now + Length;
  Target.SlowStartFrom = Target.EjectedUntil;
  // The next observations decide anew; one more failure ejects again.
  Target.Observations = 0;
  Target.FailuresInRow = this->Settings.FailuresToEject - 1;
}

double OutlierDetector::decayedRatio(const Watch &Target, TimePoint Now) const {
  double HalfLives =
      detail::toSeconds(std::max(Duration::zero(), Now - Target.RatioAt)) /
      detail::toSeconds(this->Settings.SlownessHalfLife);
  return 1 + (Target.Ratio - 1) * std::exp2(-HalfLives);
}

void OutlierDetector::refreshMedian(TimePoint Now) {
  if (Now - this->MedianAt < MedianPeriod)
    return;
  this->MedianAt = Now;
  std::vector<double> Ratios;
  for (const Watch &Target : this->Watches)
    if (Target.IsUsed && Target.Observations > 0)
      Ratios.push_back(this->decayedRatio(Target, Now));
  if (Ratios.empty())
    return;
  auto Middle = Ratios.begin() + static_cast<std::ptrdiff_t>(Ratios.size() / 2);
  std::nth_element(Ratios.begin(), Middle, Ratios.end());
  this->Median = *Middle;
}

} // namespace bergamothook
