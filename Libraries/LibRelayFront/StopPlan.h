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
  /// How long a new connection is kept for its first request.
  Duration FirstRequestGrace = std::chrono::seconds(1);
  /// The time before the exit for answering what can't be completed.
  Duration AnswerTime = std::chrono::milliseconds(200);
  /// The time reserved before the process is killed for returning budgets.
  Duration Reserve = std::chrono::milliseconds(300);
  /// Neither of the two takes more than the grace divided by this, so that
  /// targets can use most of a short one.
  int GraceDivisor = 16;
  /// What writing the answers takes at least.
  Duration MinAnswerTime = std::chrono::milliseconds(10);
};

/// The shutdown of one host. A call that may not be repeated is accepted, and
/// passed on, only if it ends before the host does. One that may be repeated is
/// also accepted while the load balancer still sends connections here: if it
/// takes too long, it is answered before the exit, and its caller repeats it.
/// Everything else is refused as not executed.
class StopPlan {
public:
  explicit StopPlan(StopPolicy Policy) : Policy(Policy) {}

  /// Begins the shutdown; the process is killed after \p Grace.
  void begin(Duration Grace, TimePoint Now);

  bool hasStarted() const { return this->StartedAt.has_value(); }

  /// Tells whether a call that ends at \p Deadline at the latest is accepted.
  bool accepts(TimePoint Deadline, bool MayRepeat, TimePoint Now) const;

  /// Tells whether a call that was accepted, and ends at \p Deadline at the
  /// latest, may be passed on.
  bool maySend(TimePoint Deadline, bool MayRepeat) const;

  /// Tells whether calls in progress are to be answered now, whatever is known
  /// of them.
  bool mustAnswer(TimePoint Now) const { return Now >= this->AnswerDeadline; }

  /// When mustAnswer() begins to hold.
  TimePoint answerDeadline() const { return this->AnswerDeadline; }

  /// Tells whether the host may exit, with \p InProgress calls and \p
  /// Connections still open.
  bool mayExit(std::size_t InProgress, std::size_t Connections,
               TimePoint Now) const;

  /// When a connection is closed on which no request arrives. \p OpenedAt is
  /// unset if it has carried one before.
  TimePoint idleDeadline(std::optional<TimePoint> OpenedAt) const;

  /// When the remaining calls and connections are aborted.
  TimePoint exitDeadline() const { return this->ExitDeadline; }

private:
  StopPolicy Policy;
  std::optional<TimePoint> StartedAt;
  TimePoint ExitDeadline = TimePoint::max();
  TimePoint AnswerDeadline = TimePoint::max();
};

} // namespace bergamothook

#endif
