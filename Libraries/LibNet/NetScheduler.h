/// \file
/// The fiber scheduler of NetRuntime.

#ifndef BERGAMOTHOOK_LIBNET_NETSCHEDULER_H
#define BERGAMOTHOOK_LIBNET_NETSCHEDULER_H

#include <boost/asio/io_context.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>
#include <memory>

namespace bergamothook::detail {

/// Runs ready fibers in FIFO order and runs the I/O context while none is
/// ready.
class NetScheduler final : public boost::fibers::algo::algorithm {
public:
  explicit NetScheduler(std::shared_ptr<boost::asio::io_context> Context)
      : Context(std::move(Context)) {}

  void awakened(boost::fibers::context *Fiber) noexcept override;
  boost::fibers::context *pick_next() noexcept override; // NOLINT
  bool has_ready_fibers() const noexcept override;       // NOLINT
  void suspend_until(                                    // NOLINT
      const std::chrono::steady_clock::time_point &When) noexcept override;
  void notify() noexcept override {}

private:
  std::shared_ptr<boost::asio::io_context> Context;
  boost::fibers::scheduler::ready_queue_type Ready;
};

} // namespace bergamothook::detail

#endif
