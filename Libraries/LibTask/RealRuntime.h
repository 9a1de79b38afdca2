/// \file
/// Runs tasks as fibers of the calling thread, on the monotonic clock.

#ifndef BERGAMOTHOOK_LIBTASK_REALRUNTIME_H
#define BERGAMOTHOOK_LIBTASK_REALRUNTIME_H

#include "LibTask/Channel.h"
#include "LibTask/Runtime.h"

#include <atomic>

namespace bergamothook {

/// The runtime of a service. All tasks run on one thread, so that the state
/// they share needs no lock.
class RealRuntime {
public:
  RealRuntime();

  /// Returns the hooks for tasks.
  Runtime hooks();

  /// Starts a task; thread-safe. \returns false if the inbox is full.
  bool post(std::function<void()> Task);

  /// Starts posted tasks until stop() is called. Tasks that are still running
  /// then continue only while the calling thread blocks in fiber waits.
  void run();

  /// Makes run() return. Thread-safe.
  void stop();

private:
  void spawn(std::function<void()> Task);

  Channel<std::function<void()>> Inbox;
  std::atomic<bool> Stopping = false;
};

} // namespace bergamothook

#endif
