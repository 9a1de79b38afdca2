/// \file
/// Crashes, pauses and partitions of one simulated host.

#ifndef BERGAMOTHOOK_LIBREPLAY_SIMULATEDPROCESS_H
#define BERGAMOTHOOK_LIBREPLAY_SIMULATEDPROCESS_H

#include "LibTask/Runtime.h"

namespace bergamothook {

/// The process state of one host. Every task of the host calls
/// waitUntilRunning() before each effect: it blocks while the host is paused,
/// and ends the task if the host is dead.
class SimulatedProcess {
public:
  /// Thrown to unwind the tasks of a dead host.
  struct ProcessKilled {};

  explicit SimulatedProcess(Runtime Base);

  /// \returns the hooks that the host's tasks must use instead of the base
  /// ones.
  Runtime hooks();

  /// Blocks while the host is paused. Throws ProcessKilled if it is dead.
  void waitUntilRunning();

  void kill();
  void pauseUntil(TimePoint When);
  /// Partitions the host from the log and from all targets.
  void partitionUntil(TimePoint When);

  bool isDead() const { return this->Dead; }
  bool isPartitioned() const { return this->Base.Now() < this->PartitionEnd; }

private:
  Runtime Base;
  bool Dead = false;
  TimePoint PauseEnd{};
  TimePoint PartitionEnd{};
};

} // namespace bergamothook

#endif
