/// \file
/// Writes a snapshot of a fold now and then, before the log forgets the records
/// that it replaces.

#ifndef BERGAMOTHOOK_LIBSTREAM_SNAPSHOTSCHEDULER_H
#define BERGAMOTHOOK_LIBSTREAM_SNAPSHOTSCHEDULER_H

#include "LibStream/SnapshotStore.h"

namespace bergamothook {

struct SnapshotSchedulerLimits {
  /// How old the newest snapshot may become. Must be well below the retention
  /// of the log, so that an outage of the log leaves time for another try.
  Duration Interval = std::chrono::minutes(30);
  Duration RetryInterval = std::chrono::seconds(30);
  /// Fewer new offsets than this are not worth a snapshot.
  std::uint64_t LeastProgress = 100;
};

/// The task that keeps the snapshots of one stream young. Each host may run
/// one: the times of the hosts differ, and the first to write spares the others
/// the work.
class SnapshotScheduler {
public:
  /// \p Take gives the present state of the fold.
  SnapshotScheduler(SnapshotStore &Store, std::function<StreamSnapshot()> Take,
                    Runtime Tasks, SnapshotSchedulerLimits Limits,
                    std::uint64_t Seed);

  /// Reads what others wrote, and writes if that is too old. \returns whether
  /// it wrote.
  Result<bool> step();

  /// Calls step() until stop(). Runs as a task of its own.
  void run();
  void stop();

private:
  SnapshotStore &Store;
  std::function<StreamSnapshot()> Take;
  Runtime Tasks;
  SnapshotSchedulerLimits Limits;
  Random Dice;
  Event Stopped;
  bool IsStopping = false;
};

} // namespace bergamothook

#endif
