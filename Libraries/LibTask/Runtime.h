/// \file
/// The hooks through which a task reads the time, waits and starts other tasks.
/// The same blocking code runs on real time in a service and on virtual time in
/// a test.

#ifndef BERGAMOTHOOK_LIBTASK_RUNTIME_H
#define BERGAMOTHOOK_LIBTASK_RUNTIME_H

#include "LibBase/Time.h"
#include "LibTask/Event.h"

#include <functional>
#include <memory>

namespace bergamothook {

/// The hooks of a runtime. Copies refer to the same runtime.
struct Runtime {
  /// Returns the current time.
  std::function<TimePoint()> Now;

  /// Starts a task on the runtime's thread. Must be called from that thread.
  std::function<void(std::function<void()>)> Spawn;

  /// Blocks the calling task until the event's generation differs from the
  /// given one, or until the deadline. May return spuriously.
  std::function<void(Event &, std::uint64_t, TimePoint)> WaitOn;

  /// Blocks the calling task until \p Time.
  void sleepUntil(TimePoint Time) const;

  /// Blocks the calling task until \p Condition holds or \p Deadline has
  /// passed. \returns whether the condition holds.
  template <typename Predicate>
  bool waitUntil(Event &Signal, TimePoint Deadline, Predicate Condition) const {
    for (;;) {
      std::uint64_t SeenGeneration = Signal.generation();
      if (Condition())
        return true;
      if (this->Now() >= Deadline)
        return false;
      this->WaitOn(Signal, SeenGeneration, Deadline);
    }
  }
};

} // namespace bergamothook

#endif
