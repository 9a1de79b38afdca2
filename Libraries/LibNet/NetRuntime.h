/// \file
/// Runs tasks as fibers of one thread that also waits for its sockets, so that
/// a request costs no hand-over between threads.

#ifndef BERGAMOTHOOK_LIBNET_NETRUNTIME_H
#define BERGAMOTHOOK_LIBNET_NETRUNTIME_H

#include "LibTask/Runtime.h"

#include <boost/asio/io_context.hpp>

namespace bergamothook {

/// The runtime of a service whose sockets are driven by Boost.Asio. One exists
/// in a thread. Completion handlers run between tasks; they notify events and
/// never wait.
class NetRuntime {
public:
  NetRuntime();

  /// The hooks that tasks use.
  Runtime hooks();

  /// Runs tasks until stop() is called by one of them.
  void run();

  void stop();

  boost::asio::io_context &context() { return *this->Context; }

private:
  /// Shared with the scheduler of the thread's fibers, which outlives this.
  std::shared_ptr<boost::asio::io_context> Context;
  Event Stopped;
  bool IsStopping = false;
};

} // namespace bergamothook

#endif
