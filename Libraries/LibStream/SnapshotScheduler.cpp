#include "LibStream/SnapshotScheduler.h"

namespace bergamothook {

SnapshotScheduler::SnapshotScheduler(SnapshotStore &Store,
                                     std::function<StreamSnapshot()> Capture,
                                     Runtime Tasks,
                                     SnapshotSchedulerLimits Limits,
                                     std::uint64_t Seed)
    : Store(Store), Capture(std::move(Capture)), Tasks(std::move(Tasks)),
      Limits(Limits), Rng(Seed) {}

Result<bool> SnapshotScheduler::step() {
  Offset PreviouslyCovered = this->Store.newestCovered();
  BOOST_OUTCOME_TRY(Newest, this->Store.newest());
  // Another host has written a snapshot since the last step.
  if (Newest && Newest->Covered > PreviouslyCovered &&
      PreviouslyCovered != Offset{})
    return false;
  StreamSnapshot Current = this->Capture();
  std::uint64_t Covered = Newest ? Newest->Covered.Value : 0;
  if (Current.Covered.Value < Covered + this->Limits.MinNewOffsets)
    return false;
  BOOST_OUTCOME_TRYV(this->Store.write(Current));
  return true;
}

void SnapshotScheduler::run() {
  Duration Delay = this->Rng.jitter(this->Limits.Interval);
  while (!this->IsStopping) {
    TimePoint Wake = this->Tasks.Now() + Delay;
    this->Tasks.waitUntil(this->Stopped, Wake,
                          [this] { return this->IsStopping; });
    if (this->IsStopping)
      return;
    bool IsDone = this->step().has_value();
    Delay = this->Rng.jitter(IsDone ? this->Limits.Interval
                                    : this->Limits.RetryInterval);
  }
}

void SnapshotScheduler::stop() {
  this->IsStopping = true;
  this->Stopped.notify();
}

} // namespace bergamothook
