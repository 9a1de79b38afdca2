#include "LibReplay/FakeTarget.h"

#include <algorithm>

namespace bergamothook {

FakeTarget::FakeTarget(TargetId Id, Runtime Base, StepHook Reach)
    : Id(Id), Base(std::move(Base)), Reach(std::move(Reach)) {}

void FakeTarget::crash(Duration Downtime) {
  ++this->Epoch;
  this->DownEnd = this->Base.Now() + Downtime;
  this->Changed.notify();
}

void FakeTarget::refuseUntil(TimePoint When) {
  this->RefuseEnd = std::max(this->RefuseEnd, When);
}

void FakeTarget::silence() {
  ++this->Silences;
  this->Changed.notify();
}

void FakeTarget::slowUntil(TimePoint When, Duration Delay) {
  this->SlowEnd = When;
  this->SlowDelay = Delay;
}

FakeTarget::Connection FakeTarget::connect() const {
  return {this->Epoch, this->Silences};
}

bool FakeTarget::isLost(const Connection &Open) const {
  return Open.Epoch != this->Epoch;
}

bool FakeTarget::isSilent(const Connection &Open) const {
  return Open.SilenceCount != this->Silences;
}

Duration FakeTarget::delay() const {
  return this->Base.Now() < this->SlowEnd ? this->SlowDelay : Duration::zero();
}

} // namespace bergamothook
