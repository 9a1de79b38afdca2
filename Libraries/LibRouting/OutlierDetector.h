/// \file
/// Finds targets that fail or are slow beyond the others, takes them out of the
/// choice for a while, and lets them come back slowly.
///
/// Slowness is the observed time to the first token over the expected one, and
/// is judged against the median of all targets, so that an overload of all of
/// them ejects none. At most a share of the targets is ever ejected.

#ifndef BERGAMOTHOOK_LIBROUTING_OUTLIERDETECTOR_H
#define BERGAMOTHOOK_LIBROUTING_OUTLIERDETECTOR_H

#include "LibBase/Time.h"
#include "LibRouting/TargetTable.h"

#include <cstdint>
#include <vector>

namespace bergamothook {

struct OutlierSettings {
  /// Failures in a row that eject a target.
  std::uint32_t FailuresToEject = 3;
  /// The multiple of the median slowness that ejects a target.
  double SlowFactor = 4;
  /// Observations before slowness may eject.
  std::uint32_t MinObservations = 4;
  /// The largest share of the targets that may be ejected at one time.
  double MaxEjectedShare = 0.5;
  /// The length of a first ejection; each further one takes twice as long.
  Duration BaseEjection = std::chrono::seconds(5);
  Duration MaxEjection = std::chrono::seconds(60);
  /// How long a new or returning target is given less work.
  Duration SlowStart = std::chrono::seconds(10);
  /// The share of work at the start of a slow start.
  double InitialShare = 0.2;
  /// The time in which a slowness halves while nothing is observed.
  Duration SlownessHalfLife = std::chrono::seconds(30);
};

/// The detector of one host, addressed by the slots of its TargetTable. Not
/// thread-safe.
class OutlierDetector {
public:
  explicit OutlierDetector(OutlierSettings Settings);

  /// Starts to watch a target that joined or took over a slot.
  void add(TargetTable::Slot SlotIndex, TimePoint Now);

  /// Stops watching a slot.
  void remove(TargetTable::Slot SlotIndex);

  /// Counts a request that reached its first token \p Observed after it was
  /// sent, where \p Expected was estimated. Call it also when the first token
  /// is overdue, with the time waited so far.
  void observe(TargetTable::Slot SlotIndex, Duration Expected,
               Duration Observed, TimePoint Now);

  /// Counts a request that the target failed.
  void failed(TargetTable::Slot SlotIndex, TimePoint Now);

  /// Counts a request that found no connection. The target is ejected at once,
  /// since another one can take the request, which has not run.
  void unreachable(TargetTable::Slot SlotIndex, TimePoint Now);

  /// Counts a request that the target did not fail.
  void succeeded(TargetTable::Slot SlotIndex);

  /// Tells whether the target gets no new work at present.
  bool isEjected(TargetTable::Slot SlotIndex, TimePoint Now) const;

  /// Gives the share of its usual work that a target may get, above 0 and up
  /// to 1.
  double loadShare(TargetTable::Slot SlotIndex, TimePoint Now) const;

  /// Gives how many times longer than the median the target takes, at least 1.
  double slowness(TargetTable::Slot SlotIndex, TimePoint Now) const;

  /// Gives the number of targets ejected at present.
  std::size_t ejected(TimePoint Now) const;

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
