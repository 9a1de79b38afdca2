#include "LibRateLimit/StatedLimit.h"

#include <algorithm>

namespace bergamothook {

bool StatedLimit::onAnswer(std::optional<double> PerSecond, TimePoint SentAt,
                           TimePoint ReceivedAt) {
  const std::optional<double> &Current = this->Newest.PerSecond;
  bool IsRelaxed = Current && (!PerSecond || *PerSecond > *Current);
  if (IsRelaxed && SentAt < this->Newest.At)
    return false;
  TimePoint StatedAt = IsRelaxed || !PerSecond ? SentAt : ReceivedAt;
  bool HasChanged = PerSecond != Current;
  this->Newest = {PerSecond, std::max(this->Newest.At, StatedAt)};
  return HasChanged;
}

bool StatedLimit::merge(const LimitObservation &Other) {
  if (Other.At <= this->Newest.At)
    return false;
  bool HasChanged = Other.PerSecond != this->Newest.PerSecond;
  this->Newest = Other;
  return HasChanged;
}

} // namespace bergamothook
