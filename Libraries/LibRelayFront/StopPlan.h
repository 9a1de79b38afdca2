/// \file
/// What a host that is stopping still takes.

#ifndef BERGAMOTHOOK_LIBRELAYFRONT_STOPPLAN_H
#define BERGAMOTHOOK_LIBRELAYFRONT_STOPPLAN_H

#include "LibBase/Time.h"

#include <optional>

namespace bergamothook {

struct StopPolicy {
  /// How long the balancer goes on sending new connections: it asks each second
  /// and takes a host out after two misses.
  Duration BalancerDelay = std::chrono::milliseconds(2300);
  /// How long an idle connection is kept for a request that is on its way.
  Duration IdleGrace = std::chrono::milliseconds(400);
  /// What is kept of the time before the kill for handing budgets back.
  Duration Reserve = std::chrono::milliseconds(300);
};

/// The stop of one host, from its signal to its end. A call that is taken is
/// finished: one that could outlast the host is refused as not run once callers
/// have other hosts to go to.
class StopPlan {
public:
  explicit StopPlan(StopPolicy Policy) : Policy(Policy) {}

  /// Begins the stop; the process is killed after \p Grace.
  void begin(Duration Grace, TimePoint Now);

  bool hasBegun() const { return this->BegunAt.has_value(); }

  /// Tells whether a call that ends at \p Deadline at the latest is taken.
  bool takes(TimePoint Deadline, TimePoint Now) const;

  /// Tells whether the host may end before \p InProgress calls and the open
  /// connections are over.
  bool mayExit(std::size_t InProgress, std::size_t Connections,
               TimePoint Now) const;

  /// When an idle connection is closed.
  TimePoint idleEnd() const { return *this->BegunAt + this->Policy.IdleGrace; }

  /// When what is left is cut off.
  TimePoint end() const { return this->EndsAt; }

private:
  StopPolicy Policy;
  std::optional<TimePoint> BegunAt;
  TimePoint EndsAt = TimePoint::max();
};

} // namespace bergamothook

#endif
