#include "LibRouting/ConcurrencyLimit.h"

#include <algorithm>

namespace bergamothook {

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyLimitSettings Settings)
    : Settings(Settings), Limit(Settings.Initial) {}

bool ConcurrencyLimit::permits(std::size_t Running) {
  bool IsPermitted = static_cast<double>(Running) < this->Limit;
  this->WasLimiting = this->WasLimiting || !IsPermitted;
  return IsPermitted;
}

void ConcurrencyLimit::firstToken(Duration Waited, TimePoint Now) {
  ++this->Observed;
  if (Waited > this->Settings.FirstTokenTarget)
    ++this->Late;
  if (Now < this->PeriodEnd)
    return;
  this->endPeriod();
  this->PeriodEnd = Now + this->Settings.Period;
}

void ConcurrencyLimit::endPeriod() {
  bool IsLate = this->Late > this->Settings.MaxLateShare * this->Observed;
  if (IsLate)
    this->Limit *= this->Settings.Backoff;
  else if (this->WasLimiting)
    this->Limit *= 1 + this->Settings.Growth;
  this->Limit = std::clamp(this->Limit, this->Settings.Min, this->Settings.Max);
  this->Observed = 0;
  this->Late = 0;
  this->WasLimiting = false;
}

} // namespace bergamothook
