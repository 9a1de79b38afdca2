#include "LibTask/Runtime.h"

namespace bergamothook {

void Runtime::sleepUntil(TimePoint Time) const {
  Event Unnotified;
  this->waitUntil(Unnotified, Time, [] { return false; });
}

} // namespace bergamothook
