/// \file
/// Runs tasks as fibers of the calling thread, on the monotonic clock.

#ifndef BERGAMOTHOOK_LIBTASK_REALRUNTIME_H
#define BERGAMOTHOOK_LIBTASK_REALRUNTIME_H

#include "LibTask/Channel.h"
#include "LibTask/Runtime.h"

#include <atomic>

namespace bergamothook {

/// The runtime of a service. All tasks share one thread, so that the state
/// that they decide on needs no lock.
class RealRuntime {
public:
  RealRuntime();

  /// The hooks that tasks use.
  Runtime hooks();

  /// Starts a task from any thread. \returns false when the inbox is full.
  bool post(std::function<void()> Task);

  /// Starts posted tasks until stop() is called. Tasks still running then go
  /// on for as long as the caller keeps the thread in waiting calls.
  void run();

  /// Ends run(). Any thread may call it.
  void stop();

private:
  void spawn(std::function<void()> Task);

  Channel<std::function<void()>> Inbox;
  std::atomic<bool> Stopping = false;
};

} // namespace bergamothook

#endif
