/// \file
/// Measures the rate at which work leaves a queue while the queue is not empty,
/// which estimates the throughput of the targets.

#ifndef BERGAMOTHOOK_LIBROUTING_DRAINRATE_H
#define BERGAMOTHOOK_LIBROUTING_DRAINRATE_H

#include "LibBase/Time.h"

#include <optional>

namespace bergamothook {

/// A moving average over windows of one second. Not thread-safe.
class DrainRate {
public:
  /// Assumes \p InitialRate, in cost per second, until a rate is measured. If
  /// it is unset, no rate is assumed: the first window sets it, and one that is
  /// above it raises it at once, since the load before a backlog is all that is
  /// known of the throughput as the backlog begins.
  explicit DrainRate(std::optional<double> InitialRate);

  /// Records work that started. \p IsBacklogged tells whether other work was
  /// still waiting; a window that was not backlogged throughout can only raise
  /// the rate.
  void started(double Cost, bool IsBacklogged, TimePoint Now);

  /// Takes back work that started and found its target full: counted as
  /// throughput, refusals within milliseconds would make the targets seem fast.
  void putBack(double Cost);

  /// Records that work that was put back has started after all.
  void resumed(double Cost) { this->WindowCost += Cost; }

  /// Records that waiting work could not start.
  void blocked(TimePoint Now);

  /// Returns the rate; infinity while none is known.
  double perSecond() const { return this->Rate; }

private:
  void rollWindow(TimePoint Now);

  bool IsAssumed;
  double Rate;
  double WindowCost = 0;
  bool WasBacklogged = true;
  TimePoint WindowStart;
  bool HasWindow = false;
};

} // namespace bergamothook

#endif
