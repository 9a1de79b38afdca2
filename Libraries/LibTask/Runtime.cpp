#include "LibTask/Runtime.h"

namespace bergamothook {

void Runtime::sleepUntil(TimePoint When) const {
  Event Never;
  this->waitUntil(Never, When, [] { return false; });
}

} // namespace bergamothook
