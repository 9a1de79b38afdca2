/// \file
/// The death, the pauses and the partitions of one simulated host.

#ifndef BERGAMOTHOOK_LIBREPLAY_HOSTGATE_H
#define BERGAMOTHOOK_LIBREPLAY_HOSTGATE_H

#include "LibTask/Runtime.h"

namespace bergamothook {

/// Every task of a host passes the gate of its host before each effect: there a
/// paused host waits, and a task of a dead host ends.
class HostGate {
public:
  /// Thrown through the tasks of a dead host.
  struct HostGone {};

  explicit HostGate(Runtime Base);

  /// The hooks that the host's tasks use in place of the base ones.
  Runtime hooks();

  /// Waits while the host is paused. Throws HostGone when it is dead.
  void pass();

  void kill();
  void pauseUntil(TimePoint When);
  /// Cuts the host off from the log and from all targets.
  void cutUntil(TimePoint When);

  bool isDead() const { return this->Dead; }
  bool isCut() const { return this->Base.Now() < this->CutEnd; }

private:
  Runtime Base;
  bool Dead = false;
  TimePoint PauseEnd{};
  TimePoint CutEnd{};
};

} // namespace bergamothook

#endif
