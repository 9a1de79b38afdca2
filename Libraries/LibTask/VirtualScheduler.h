/// \file
/// The order in which the fibers of a virtual runtime run.

#ifndef BERGAMOTHOOK_LIBTASK_VIRTUALSCHEDULER_H
#define BERGAMOTHOOK_LIBTASK_VIRTUALSCHEDULER_H

#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>

namespace bergamothook::detail {

/// Runs ready fibers first come, first served, and counts them, so that the
/// owner of the clock knows when every task waits.
class VirtualScheduler final : public boost::fibers::algo::algorithm {
public:
  /// Uses this scheduler on the calling thread. Further calls do nothing.
  static void installOnThread();

  /// The number of tasks of the calling thread that could run now.
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
