/// \file
/// The fiber scheduler of the virtual runtime.

#ifndef BERGAMOTHOOK_LIBTASK_VIRTUALSCHEDULER_H
#define BERGAMOTHOOK_LIBTASK_VIRTUALSCHEDULER_H

#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>

namespace bergamothook::detail {

/// Schedules ready fibers in FIFO order and counts the ready tasks, so that the
/// runtime can tell when every task is waiting.
class VirtualScheduler final : public boost::fibers::algo::algorithm {
public:
  /// Installs this scheduler on the calling thread. Further calls have no
  /// effect.
  static void installOnThread();

  /// Returns the number of ready tasks on the calling thread.
  static std::size_t readyTasks();

  void awakened(boost::fibers::context *Fiber) noexcept override;
  boost::fibers::context *pick_next() noexcept override; // NOLINT
  bool has_ready_fibers() const noexcept override;       // NOLINT
  void suspend_until(                                    // NOLINT
      const std::chrono::steady_clock::time_point &) noexcept override {}
  void notify() noexcept override {}

private:
  boost::fibers::scheduler::ready_queue_type Ready;
};

} // namespace bergamothook::detail

#endif
