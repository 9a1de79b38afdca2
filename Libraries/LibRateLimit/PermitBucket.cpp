#include "LibRateLimit/PermitBucket.h"

#include <algorithm>
#include <cmath>

namespace bergamothook {

void PermitBucket::setRate(double NewRate, TimePoint Now) {
  this->accrue(Now);
  this->PerSecond = NewRate;
}

void PermitBucket::accrue(TimePoint Now) {
  Duration Elapsed = std::max(Duration::zero(), Now - this->AccruedAt);
  this->AccruedAt = std::max(this->AccruedAt, Now);
  this->Permits += this->PerSecond * secondsOf(Elapsed);
  double Expiry = 1 + this->PerSecond * secondsOf(this->Lifetime);
  if (this->Permits >= Expiry)
    this->Permits -= std::floor(this->Permits - Expiry) + 1;
}

bool PermitBucket::take(TimePoint Now) {
  this->accrue(Now);
  if (this->Permits < 1)
    return false;
  this->Permits -= 1;
  return true;
}

std::optional<Duration> PermitBucket::untilNext(TimePoint Now) {
  this->accrue(Now);
  if (this->Permits >= 1)
    return Duration::zero();
  if (this->PerSecond <= 0)
    return std::nullopt;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>((1 - this->Permits) / this->PerSecond));
}

} // namespace bergamothook
