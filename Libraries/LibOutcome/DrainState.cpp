#include "LibOutcome/DrainState.h"

namespace bergamothook {

DrainState::DrainState(DrainLimits Limits) : Limits(Limits) {}

void DrainState::signal(TimePoint Now) {
  this->IsForced = this->IsStopping;
  if (!this->IsStopping)
    this->StoppedAt = Now;
  this->IsStopping = true;
  this->Changed.notify();
}

DrainPhase DrainState::phase(TimePoint Now) const {
  if (!this->IsStopping)
    return DrainPhase::Serving;
  if (this->IsForced || Now - this->StoppedAt >= this->Limits.Timeout)
    return DrainPhase::Aborting;
  if (Now - this->StoppedAt < this->Limits.NotReadyPeriod)
    return DrainPhase::NotReady;
  return DrainPhase::Draining;
}

bool DrainState::isReady(TimePoint Now) const {
  return this->phase(Now) == DrainPhase::Serving;
}

bool DrainState::enter(TimePoint Now) {
  DrainPhase Current = this->phase(Now);
  if (Current == DrainPhase::Draining || Current == DrainPhase::Aborting)
    return false;
  ++this->Requests;
  return true;
}

void DrainState::leave() {
  --this->Requests;
  this->Changed.notify();
}

std::size_t DrainState::waitUntilEmpty(const Runtime &Tasks) {
  if (!this->IsStopping)
    this->signal(Tasks.Now());
  TimePoint NotReadyUntil = this->StoppedAt + this->Limits.NotReadyPeriod;
  Tasks.waitUntil(this->Changed, NotReadyUntil,
                  [this] { return this->IsForced; });
  Tasks.waitUntil(this->Changed, this->StoppedAt + this->Limits.Timeout,
                  [this] { return this->IsForced || this->Requests == 0; });
  return this->Requests;
}

} // namespace bergamothook
