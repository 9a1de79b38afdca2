#include "LibRelayFront/StopPlan.h"

namespace bergamothook {

void StopPlan::begin(Duration Grace, TimePoint Now) {
  if (this->StartedAt)
    return;
  this->StartedAt = Now;
  this->ExitDeadline = Now + Grace - this->Policy.Reserve;
}

bool StopPlan::accepts(TimePoint Deadline, TimePoint Now) const {
  return !this->StartedAt || Deadline <= this->ExitDeadline ||
         Now < *this->StartedAt + this->Policy.BalancerDelay;
}

bool StopPlan::mayExit(std::size_t InProgress, std::size_t Connections,
                       TimePoint Now) const {
  if (!this->StartedAt)
    return false;
  return Now >= this->ExitDeadline ||
         (InProgress == 0 && Connections == 0 &&
          Now >= *this->StartedAt + this->Policy.BalancerDelay);
}

} // namespace bergamothook
