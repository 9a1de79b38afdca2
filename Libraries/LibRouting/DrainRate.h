/// \file
/// Measures how much work per second leaves a queue while the queue is not
/// empty, which is what the targets can take.

#ifndef BERGAMOTHOOK_LIBROUTING_DRAINRATE_H
#define BERGAMOTHOOK_LIBROUTING_DRAINRATE_H

#include "LibBase/Time.h"

namespace bergamothook {

/// A moving average over windows of one second. Not thread-safe.
class DrainRate {
public:
  /// Starts with \p InitialRate work per second.
  explicit DrainRate(double InitialRate);

  /// Counts work that started. \p IsBacklogged tells whether other work waited
  /// on; windows that were not backlogged all along can only raise the rate.
  void started(double Cost, bool IsBacklogged, TimePoint Now);

  /// Tells that nothing could start although work waits.
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
