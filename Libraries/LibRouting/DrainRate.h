/// \file
/// Measures the rate at which work leaves a queue while the queue is not empty,
/// which estimates the throughput of the targets.

#ifndef BERGAMOTHOOK_LIBROUTING_DRAINRATE_H
#define BERGAMOTHOOK_LIBROUTING_DRAINRATE_H

#include "LibBase/Time.h"

namespace bergamothook {

/// A moving average over windows of one second. Not thread-safe.
class DrainRate {
public:
  /// Assumes \p InitialRate, in cost per second, until a rate is measured.
  explicit DrainRate(double InitialRate);

  /// Records work that started. \p IsBacklogged tells whether other work was
  /// still waiting; a window that was not backlogged throughout can only raise
  /// the rate.
  void started(double Cost, bool IsBacklogged, TimePoint Now);

  /// Records that waiting work could not start.
  void blocked(TimePoint Now);

  double perSecond() const { return this->Rate; }

private:
  void rollWindow(TimePoint Now);

  double Rate;
  double WindowCost = 0;
  bool WasBacklogged = true;
  TimePoint WindowStart;
  bool HasWindow = false;
};

} // namespace bergamothook

#endif
