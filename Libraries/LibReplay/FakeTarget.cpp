#include "LibReplay/FakeTarget.h"

#include <algorithm>

namespace bergamothook {

FakeTarget::FakeTarget(TargetId Id, Runtime Base, StepHook OnStep)
    : Id(Id), Base(std::move(Base)), OnStep(std::move(OnStep)) {}

void FakeTarget::crash(Duration Downtime) {
  ++this->CrashCount;
  this->DownEnd = this->Base.Now() + Downtime;
  this->Changed.notify();
}

void FakeTarget::refuseUntil(TimePoint When) {
  this->RefuseEnd = std::max(this->RefuseEnd, When);
}

void FakeTarget::stallConnections() {
  ++this->StallCount;
  this->Changed.notify();
}

void FakeTarget::slowUntil(TimePoint When, Duration Delay) {
  this->SlowEnd = When;
  this->SlowDelay = Delay;
}

FakeTarget::Connection FakeTarget::connect() const {
  return {this->CrashCount, this->StallCount};
}

bool FakeTarget::isLost(const Connection &Open) const {
  return Open.CrashCount != this->CrashCount;
}

bool FakeTarget::isStalled(const Connection &Open) const {
  return Open.StallCount != this->StallCount;
}

Duration FakeTarget::delay() const {
  return this->Base.Now() < this->SlowEnd ? this->SlowDelay : Duration::zero();
}

} // namespace bergamothook
