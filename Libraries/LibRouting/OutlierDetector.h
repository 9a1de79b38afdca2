/// \file
/// Detects targets that fail or are slower than the others, ejects them for a
/// while, and ramps their load up slowly when they return.
///
/// Slowness is the ratio of the observed to the expected time to the first
/// token. It is compared with the median of all targets, so that an overload of
/// all of them ejects none. The share of ejected targets is bounded.

#ifndef BERGAMOTHOOK_LIBROUTING_OUTLIERDETECTOR_H
#define BERGAMOTHOOK_LIBROUTING_OUTLIERDETECTOR_H

#include "LibBase/Time.h"
#include "LibRouting/TargetTable.h"

#include <cstdint>
#include <vector>

namespace bergamothook {

struct OutlierSettings {
  /// The number of consecutive failures that ejects a target.
  std::uint32_t FailuresToEject = 3;
  /// The multiple of the median slowness that ejects a target.
  double SlowFactor = 4;
  /// The number of observations before a target may be ejected for slowness.
  std::uint32_t MinObservations = 4;
  /// The largest share of the targets that may be ejected at the same time.
  double MaxEjectedShare = 0.5;
  /// The duration of the first ejection; it doubles with each further one.
  Duration BaseEjection = std::chrono::seconds(5);
  Duration MaxEjection = std::chrono::seconds(60);
  /// How long a new or returning target receives less work.
  Duration SlowStart = std::chrono::seconds(10);
  /// The share of its usual work that a target receives at the start of a slow
  /// start.
  double InitialShare = 0.2;
  /// The half-life of a target's excess slowness without new observations.
  Duration SlownessHalfLife = std::chrono::seconds(30);
};

/// The detector of one host, addressed by the slots of its TargetTable. Not
/// thread-safe.
class OutlierDetector {
public:
  explicit OutlierDetector(OutlierSettings Settings);

  /// Starts to monitor a target that joined or took over a slot.
  void add(TargetTable::Slot SlotIndex, TimePoint Now);

  /// Stops monitoring a slot.
  void remove(TargetTable::Slot SlotIndex);

  /// Records a request that reached its first token \p Observed after it was
  /// sent, where \p Expected was estimated. Call it also when the first token
  /// is overdue, with the time waited so far.
  void observe(TargetTable::Slot SlotIndex, Duration Expected,
               Duration Observed, TimePoint Now);

  /// Records a request that failed at the target.
  void failed(TargetTable::Slot SlotIndex, TimePoint Now);

  /// Records a failed connection attempt. The target is ejected immediately,
  /// since the request has not run and another target can take it.
  void unreachable(TargetTable::Slot SlotIndex, TimePoint Now);

  /// Records a request that did not fail at the target.
  void succeeded(TargetTable::Slot SlotIndex);

  /// Returns whether the target currently receives no new work.
  bool isEjected(TargetTable::Slot SlotIndex, TimePoint Now) const;

  /// Returns the share of its usual work that a target may receive, above 0 and
  /// up to 1.
  double loadShare(TargetTable::Slot SlotIndex, TimePoint Now) const;

  /// Returns the target's slowness as a multiple of the median, at least 1.
  double slowness(TargetTable::Slot SlotIndex, TimePoint Now) const;

  /// Returns the number of currently ejected targets.
  std::size_t ejectedCount(TimePoint Now) const;

private:
  struct TargetStats {
    bool IsUsed = false;
    std::uint32_t ConsecutiveFailures = 0;
    std::uint32_t Observations = 0;
    std::uint32_t Ejections = 0;
    double SlownessRatio = 1;
    TimePoint SlownessUpdatedAt;
    TimePoint EjectedUntil;
    TimePoint SlowStartAt;
  };

  void eject(TargetStats &Target, TimePoint Now);
  double decayedSlowness(const TargetStats &Target, TimePoint Now) const;
  void refreshMedian(TimePoint Now);

  OutlierSettings Settings;
  std::vector<TargetStats> Stats;
  std::size_t TargetCount = 0;
  double MedianSlowness = 1;
  TimePoint MedianUpdatedAt;
};

} // namespace bergamothook

#endif
