#include "LibRelayFront/StopPlan.h"

namespace bergamothook {

void StopPlan::begin(Duration Grace, TimePoint Now) {
  if (this->BegunAt)
    return;
  this->BegunAt = Now;
  this->EndsAt = Now + Grace - this->Policy.Reserve;
}

bool StopPlan::takes(TimePoint Deadline, TimePoint Now) const {
  return !this->BegunAt || Deadline <= this->EndsAt ||
         Now < *this->BegunAt + this->Policy.BalancerDelay;
}

bool StopPlan::mayExit(std::size_t InProgress, std::size_t Connections,
                       TimePoint Now) const {
  if (!this->BegunAt)
    return false;
  return Now >= this->EndsAt ||
         (InProgress == 0 && Connections == 0 &&
          Now >= *this->BegunAt + this->Policy.BalancerDelay);
}

} // namespace bergamothook
