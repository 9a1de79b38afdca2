/// \file
/// Which calls a stopping host still accepts, and when it may exit.

#ifndef BERGAMOTHOOK_LIBRELAYFRONT_STOPPLAN_H
#define BERGAMOTHOOK_LIBRELAYFRONT_STOPPLAN_H

#include "LibBase/Time.h"

#include <optional>

namespace bergamothook {

struct StopPolicy {
  /// How long the load balancer keeps sending new connections: it probes each
  /// second and removes a host after two failed probes.
  Duration BalancerDelay = std::chrono::milliseconds(2300);
  /// How long an idle connection is kept for a request that is already in
  /// transit.
  Duration IdleGrace = std::chrono::milliseconds(400);
  /// The time reserved before the process is killed for returning budgets.
  Duration Reserve = std::chrono::milliseconds(300);
};

/// The shutdown of one host. An accepted call is completed: a call that could
/// outlast the host is refused as not executed as soon as callers can reach
/// other hosts.
class StopPlan {
public:
  explicit StopPlan(StopPolicy Policy) : Policy(Policy) {}

  /// Begins the shutdown; the process is killed after \p Grace.
  void begin(Duration Grace, TimePoint Now);

  bool hasStarted() const { return this->StartedAt.has_value(); }

  /// Tells whether a call that ends at \p Deadline at the latest is accepted.
  bool accepts(TimePoint Deadline, TimePoint Now) const;

  /// Tells whether the host may exit, with \p InProgress calls and \p
  /// Connections still open.
  bool mayExit(std::size_t InProgress, std::size_t Connections,
               TimePoint Now) const;

  /// When idle connections are closed.
  TimePoint idleDeadline() const {
    return *this->StartedAt + this->Policy.IdleGrace;
  }

  /// When the remaining calls and connections are aborted.
  TimePoint exitDeadline() const { return this->ExitDeadline; }

private:
  StopPolicy Policy;
  std::optional<TimePoint> StartedAt;
  TimePoint ExitDeadline = TimePoint::max();
};

} // namespace bergamothook

#endif
