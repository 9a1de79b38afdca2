/// \file
/// Runs tasks as fibers of the calling thread, on a clock that only moves when
/// every task waits. A run with the same seeds gives the same order of events.

#ifndef BERGAMOTHOOK_LIBTASK_VIRTUALRUNTIME_H
#define BERGAMOTHOOK_LIBTASK_VIRTUALRUNTIME_H

#include "LibTask/Runtime.h"

#include <map>

namespace bergamothook {

/// The runtime of tests and experiments. It must outlive its tasks: end them
/// before it goes, for example by a stop flag and a last runFor().
class VirtualRuntime {
public:
  VirtualRuntime();

  /// The hooks that tasks use.
  Runtime hooks();

  TimePoint now() const { return this->Present; }

  /// Runs all tasks until the clock has moved by \p Span.
  void runFor(Duration Span);

  /// Runs all tasks until \p Condition holds, for at most \p Limit. \returns
  /// whether the condition holds.
  bool runUntil(const std::function<bool()> &Condition, Duration Limit);

private:
  void spawn(std::function<void()> Task);
  void waitOn(Event &Signal, std::uint64_t Seen, TimePoint Deadline);
  void runReadyTasks();
  bool advanceTo(TimePoint Limit);

  TimePoint Present{std::chrono::hours(1)};
  std::multimap<TimePoint, Event *> Timers;
};

} // namespace bergamothook

#endif
