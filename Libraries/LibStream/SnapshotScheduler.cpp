#include "LibStream/SnapshotScheduler.h"

namespace bergamothook {

SnapshotScheduler::SnapshotScheduler(SnapshotStore &Store,
                                     std::function<StreamSnapshot()> Take,
                                     Runtime Tasks,
                                     SnapshotSchedulerLimits Limits,
                                     std::uint64_t Seed)
    : Store(Store), Take(std::move(Take)), Tasks(std::move(Tasks)),
      Limits(Limits), Dice(Seed) {}

Result<bool> SnapshotScheduler::step() {
  Offset Before = this->Store.newestCovered();
  BOOST_OUTCOME_TRY(Newest, this->Store.newest());
  // Another host has written since the last step.
  if (Newest && Newest->Covered > Before && Before != Offset{})
    return false;
  StreamSnapshot Present = this->Take();
  std::uint64_t Covered = Newest ? Newest->Covered.Value : 0;
  if (Present.Covered.Value < Covered + this->Limits.LeastProgress)
    return false;
  BOOST_OUTCOME_TRYV(this->Store.write(Present));
  return true;
}

void SnapshotScheduler::run() {
  Duration Wait = this->Dice.jitter(this->Limits.Interval);
  while (!this->IsStopping) {
    TimePoint Wake = this->Tasks.Now() + Wait;
    this->Tasks.waitUntil(this->Stopped, Wake,
                          [this] { return this->IsStopping; });
    if (this->IsStopping)
      return;
    bool IsDone = this->step().has_value();
    Wait = this->Dice.jitter(IsDone ? this->Limits.Interval
                                    : this->Limits.RetryInterval);
  }
}

void SnapshotScheduler::stop() {
  this->IsStopping = true;
  this->Stopped.notify();
}

} // namespace bergamothook
