/// \file
/// Writes snapshots of a fold periodically, before the log truncates the
/// records that they replace.

#ifndef BERGAMOTHOOK_LIBSTREAM_SNAPSHOTSCHEDULER_H
#define BERGAMOTHOOK_LIBSTREAM_SNAPSHOTSCHEDULER_H

#include "LibStream/SnapshotStore.h"

namespace bergamothook {

struct SnapshotSchedulerLimits {
  /// The maximum age of the newest snapshot. Must be well below the retention
  /// of the log, so that there is time for a retry after an outage of the log.
  Duration Interval = std::chrono::minutes(30);
  Duration RetryInterval = std::chrono::seconds(30);
  /// No snapshot is written for fewer new offsets than this.
  std::uint64_t MinNewOffsets = 100;
};

/// The task that writes the snapshots of one stream. Each host may run one: the
/// intervals are jittered, and the other hosts skip their turn once one of them
/// has written.
class SnapshotScheduler {
public:
  /// \p Capture returns the current state of the fold.
  SnapshotScheduler(SnapshotStore &Store,
                    std::function<StreamSnapshot()> Capture, Runtime Tasks,
                    SnapshotSchedulerLimits Limits, std::uint64_t Seed);

  /// Reads the newest snapshot and writes a newer one if no other host has
  /// written since the last step and at least MinNewOffsets have been added.
  /// \returns whether a snapshot was written.
  Result<bool> step();

  /// Calls step() until stop(). Runs as a task of its own.
  void run();
  void stop();

private:
  SnapshotStore &Store;
  std::function<StreamSnapshot()> Capture;
  Runtime Tasks;
  SnapshotSchedulerLimits Limits;
  Random Rng;
  Event Stopped;
  bool IsStopping = false;
};

} // namespace bergamothook

#endif
