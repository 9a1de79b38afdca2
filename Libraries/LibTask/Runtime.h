/// \file
/// The hooks by which a task reads the time, waits and starts other tasks. The
/// same straight-line tasks run on real time in a service and on virtual time
/// in a test.

#ifndef BERGAMOTHOOK_LIBTASK_RUNTIME_H
#define BERGAMOTHOOK_LIBTASK_RUNTIME_H

#include "LibBase/Time.h"
#include "LibTask/Event.h"

#include <functional>
#include <memory>

namespace bergamothook {

/// The hooks of one runtime. Copies refer to the same runtime.
struct Runtime {
  /// Gives the present time.
  std::function<TimePoint()> Now;

  /// Starts a task on the thread of the runtime. Called from that thread.
  std::function<void(std::function<void()>)> Spawn;

  /// Blocks the calling task until the event has left the generation given, or
  /// until the deadline. It may return early.
  std::function<void(Event &, std::uint64_t, TimePoint)> WaitOn;

  /// Blocks the calling task until \p When.
  void sleepUntil(TimePoint When) const;

  /// Blocks the calling task until \p Condition holds or \p Deadline has come.
  /// \returns whether the condition holds.
  template <typename Predicate>
  bool waitUntil(Event &Signal, TimePoint Deadline, Predicate Condition) const {
    for (;;) {
      std::uint64_t Seen = Signal.generation();
      if (Condition())
        return true;
      if (this->Now() >= Deadline)
        return false;
      this->WaitOn(Signal, Seen, Deadline);
    }
  }
};

} // namespace bergamothook

#endif
