/// \file
/// The graceful stop of a process: first not ready, then empty, then gone.

#ifndef BERGAMOTHOOK_LIBOUTCOME_DRAINSTATE_H
#define BERGAMOTHOOK_LIBOUTCOME_DRAINSTATE_H

#include "LibBase/Time.h"
#include "LibTask/Runtime.h"

#include <cstddef>

namespace bergamothook {

enum class DrainPhase {
  Serving,
  /// Not ready, so that the balancer sends nothing new, but requests that come
  /// nevertheless are still served.
  NotReady,
  /// New requests are refused as not run.
  Draining,
  /// The bound passed, or a second signal came: what is left is cut.
  Cutting,
};

struct DrainLimits {
  /// How long the balancer gets to notice that the host is not ready.
  Duration NotReadyTime = std::chrono::seconds(3);
  /// The bound of the whole stop. A long draft may use all of it.
  Duration Bound = std::chrono::minutes(30);
};

/// Counts the requests in progress and says what is allowed. All calls come
/// from tasks of one runtime.
class DrainState {
public:
  explicit DrainState(DrainLimits Limits);

  /// Takes a stop signal. A second one ends the wait at once.
  void signal(TimePoint Now);

  DrainPhase phase(TimePoint Now) const;
  bool isReady(TimePoint Now) const;

  /// Counts one more request in. \returns false when it must be refused.
  bool enter(TimePoint Now);
  void leave();

  std::size_t inProgress() const { return this->Requests; }

  /// Blocks the calling task from the first signal until no request is left,
  /// the bound passed or a second signal came. \returns the number of requests
  /// that are cut.
  std::size_t waitUntilEmpty(const Runtime &Tasks);

private:
  DrainLimits Limits;
  std::size_t Requests = 0;
  bool IsStopping = false;
  bool IsForced = false;
  TimePoint StoppedAt{};
  Event Changed;
};

} // namespace bergamothook

#endif
