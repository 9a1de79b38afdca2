/// \file
/// Runs tasks as fibers of the calling thread, on a virtual clock that advances
/// only when every task is waiting. Runs with the same seeds have the same
/// order of events.

#ifndef BERGAMOTHOOK_LIBTASK_VIRTUALRUNTIME_H
#define BERGAMOTHOOK_LIBTASK_VIRTUALRUNTIME_H

#include "LibTask/Runtime.h"

#include <map>

namespace bergamothook {

/// The runtime of tests and experiments. It must outlive its tasks: end them
/// before destroying it, for example with a stop flag and a final runFor().
class VirtualRuntime {
public:
  VirtualRuntime();

  /// Returns the hooks for tasks.
  Runtime hooks();

  TimePoint now() const { return this->CurrentTime; }

  /// Runs all tasks until the clock has advanced by \p Span.
  void runFor(Duration Span);

  /// Runs all tasks until \p Condition holds, for at most \p Timeout. \returns
  /// whether the condition holds.
  bool runUntil(const std::function<bool()> &Condition, Duration Timeout);

private:
  void spawn(std::function<void()> Task);
  void waitOn(Event &Signal, std::uint64_t SeenGeneration, TimePoint Deadline);
  void runReadyTasks();
  bool advanceTo(TimePoint EndTime);

  TimePoint CurrentTime{std::chrono::hours(1)};
  std::multimap<TimePoint, Event *> Timers;
};

} // namespace bergamothook

#endif
