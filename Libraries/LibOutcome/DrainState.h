/// \file
/// Graceful shutdown of a process: it reports not ready, drains the requests in
/// progress, and then exits.

#ifndef BERGAMOTHOOK_LIBOUTCOME_DRAINSTATE_H
#define BERGAMOTHOOK_LIBOUTCOME_DRAINSTATE_H

#include "LibBase/Time.h"
#include "LibTask/Runtime.h"

#include <cstddef>

namespace bergamothook {

enum class DrainPhase {
  Serving,
  /// The process reports not ready, so that the load balancer sends no new
  /// requests, but still serves those that arrive.
  NotReady,
  /// New requests are rejected as not run.
  Draining,
  /// The timeout passed or a second signal arrived: the remaining requests are
  /// aborted.
  Aborting,
};

struct DrainLimits {
  /// The time that the load balancer gets to notice that the host is not ready.
  Duration NotReadyPeriod = std::chrono::seconds(3);
  /// The timeout of the whole shutdown. A long draft may need all of it.
  Duration Timeout = std::chrono::minutes(30);
};

/// Counts the requests in progress and decides whether new ones are accepted.
/// All calls come from tasks of one runtime.
class DrainState {
public:
  explicit DrainState(DrainLimits Limits);

  /// Handles a stop signal. A second one ends the wait at once.
  void signal(TimePoint Now);

  DrainPhase phase(TimePoint Now) const;
  bool isReady(TimePoint Now) const;

  /// Registers a new request. \returns false if it must be rejected.
  bool enter(TimePoint Now);
  void leave();

  std::size_t inProgress() const { return this->Requests; }

  /// Blocks the calling task from the first signal until no request is left,
  /// the timeout passes or a second signal arrives. \returns the number of
  /// requests that are aborted.
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
