#include "LibRouting/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bergamothook {

namespace {

/// The most that a limit on demand grows by in one period.
constexpr double MaxGrowth = 0.5;
/// The signs of overload in one period that reduce a limit on demand.
constexpr std::uint64_t MinSignsToReduce = 2;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyLimitSettings Settings)
    : Settings(Settings), Limit(Settings.Initial),
      IsActive(Settings.SignsToBegin == 0) {}

double ConcurrencyLimit::limit() const {
  return this->IsActive ? this->Limit : std::numeric_limits<double>::infinity();
}

bool ConcurrencyLimit::permits(std::size_t Running) {
  bool IsPermitted = static_cast<double>(Running) < this->limit();
  this->WasLimiting = this->WasLimiting || !IsPermitted;
  return IsPermitted;
}

void ConcurrencyLimit::firstToken(Duration Waited, TimePoint Now) {
  this->observe(Waited > this->Settings.FirstTokenTarget, Now, 0, Now);
}

void ConcurrencyLimit::observe(bool IsLate, TimePoint StartedAt,
                               std::size_t Running, TimePoint Now) {
  if (this->beginsOnDemand())
    return this->observeOnDemand(StartedAt, IsLate, Running, Now);
  ++this->Observed;
  if (IsLate)
    ++this->Late;
  if (Now < this->PeriodEnd)
    return;
  this->endPeriod();
  this->PeriodEnd = Now + this->Settings.Period;
}

void ConcurrencyLimit::observeOnDemand(TimePoint StartedAt, bool IsLate,
                                       std::size_t Running, TimePoint Now) {
  this->advance(Now);
  if (this->IsActive && StartedAt < this->ReducedAt)
    return;
  ++this->Observed;
  if (IsLate)
    ++this->Late;
  if (this->Late < this->Settings.SignsToBegin || !this->isOverloaded())
    return;
  if (this->IsActive)
    this->endPeriodOnDemand();
  else
    this->begin(Running);
  this->ReducedAt = Now;
  this->PeriodEnd = Now + this->Settings.Period;
}

void ConcurrencyLimit::advance(TimePoint Now) {
  if (!this->beginsOnDemand())
    return;
  while (this->IsActive && Now >= this->PeriodEnd) {
    this->endPeriodOnDemand();
    this->PeriodEnd += this->Settings.Period;
  }
  if (Now >= this->PeriodEnd) {
    this->startPeriod();
    this->PeriodEnd = Now + this->Settings.Period;
  }
}

bool ConcurrencyLimit::isOverloaded() const {
  return this->Late > this->Settings.MaxLateShare * this->Observed;
}

void ConcurrencyLimit::begin(std::size_t Running) {
  this->IsActive = true;
  this->CalmPeriods = 0;
  this->GrowingPeriods = 0;
  double Reduced =
      std::floor(static_cast<double>(Running) * this->Settings.Backoff);
  this->Limit = std::clamp(Reduced, this->Settings.Min, this->Settings.Max);
  this->startPeriod();
}

void ConcurrencyLimit::endPeriod() {
  if (this->isOverloaded())
    this->Limit *= this->Settings.Backoff;
  else if (this->WasLimiting)
    this->Limit *= 1 + this->Settings.Growth;
  this->Limit = std::clamp(this->Limit, this->Settings.Min, this->Settings.Max);
  this->startPeriod();
}

void ConcurrencyLimit::endPeriodOnDemand() {
  // A single sign among few observations is no overload.
  bool IsOverloaded = this->Late >= MinSignsToReduce && this->isOverloaded();
  bool IsCalm = !IsOverloaded && !this->WasLimiting;
  bool IsGrowing = !IsOverloaded && this->WasLimiting;
  this->CalmPeriods = IsCalm ? this->CalmPeriods + 1 : 0;
  this->GrowingPeriods = IsGrowing ? this->GrowingPeriods + 1 : 0;
  double Factor = 1;
  if (IsOverloaded)
    Factor = this->Settings.Backoff;
  else if (IsGrowing)
    // Accelerates, so that a limit far below what the targets handle since the
    // overload ended does not refuse calls for a minute.
    Factor += std::min(this->Settings.Growth * this->GrowingPeriods, MaxGrowth);
  this->Limit =
      std::clamp(this->Limit * Factor, this->Settings.Min, this->Settings.Max);
  this->IsActive = this->CalmPeriods < this->Settings.CalmPeriodsToEnd &&
                   this->Limit < this->Settings.Max;
  if (IsOverloaded)
    this->ReducedAt = this->PeriodEnd;
  this->startPeriod();
}

void ConcurrencyLimit::startPeriod() {
  this->Observed = 0;
  this->Late = 0;
  this->WasLimiting = false;
}

} // namespace bergamothook
