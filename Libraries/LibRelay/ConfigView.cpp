#include "LibRelay/ConfigView.h"

#include <algorithm>

namespace bergamothook {

void ConfigView::onCurrent(TimePoint AsOf) {
  this->ReceivedAsOf = std::max(this->ReceivedAsOf.value_or(AsOf), AsOf);
  if (this->IsNewestReadable)
    this->CurrentAsOf = this->ReceivedAsOf;
}

bool ConfigView::hasReceived(TimePoint Now) const {
  return this->ReceivedAsOf && Now - *this->ReceivedAsOf <= this->Policy.MaxAge;
}

std::optional<Duration> ConfigView::age(TimePoint Now) const {
  if (!this->CurrentAsOf)
    return std::nullopt;
  return std::max(Now - *this->CurrentAsOf, Duration::zero());
}

bool ConfigView::isCurrent(TimePoint Now) const {
  auto Age = this->age(Now);
  return Age && *Age <= this->Policy.MaxAge;
}

bool ConfigView::acceptsKeys(TimePoint Now) const {
  if (!this->Policy.MaxKeyAge)
    return true;
  auto Age = this->age(Now);
  return Age && *Age <= *this->Policy.MaxKeyAge;
}

bool ConfigView::hasChanged(TimePoint Now) {
  bool IsCurrent = this->isCurrent(Now);
  if (!this->CurrentAsOf || IsCurrent == this->WasCurrent)
    return false;
  this->WasCurrent = IsCurrent;
  return true;
}

} // namespace bergamothook
