/// \file
/// Runs tasks as fibers on the thread that also runs the socket event loop, so
/// that a request needs no switch between threads.

#ifndef BERGAMOTHOOK_LIBNET_NETRUNTIME_H
#define BERGAMOTHOOK_LIBNET_NETRUNTIME_H

#include "LibTask/Runtime.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <memory>

namespace bergamothook {

/// For whom a socket's bytes cross the link.
enum class TrafficClass {
  /// Callers, targets and other hosts.
  Service,
  /// The host itself: what it requests from the store.
  Own,
};

constexpr std::size_t TrafficClassCount = 2;

/// The bytes of a runtime's sockets of one class, without what the kernel adds.
struct NetTraffic {
  std::uint64_t BytesReceived = 0;
  std::uint64_t BytesSent = 0;
};

/// The runtime of a service whose sockets are driven by Boost.Asio; at most one
/// per thread. Completion handlers run between tasks; they notify events and
/// must not block.
class NetRuntime {
public:
  NetRuntime();

  /// \returns the clock, spawn and wait functions for tasks of this runtime.
  Runtime hooks();

  /// Runs tasks until one of them calls stop().
  void run();

  void stop();

  boost::asio::io_context &context() { return *this->Context; }

  /// Shared with the sockets, which may outlive this object.
  const std::shared_ptr<NetTraffic> &traffic(TrafficClass Class) const {
    return this->Traffic[static_cast<std::size_t>(Class)];
  }

private:
  /// Shared with the thread's fiber scheduler, which outlives this object.
  std::shared_ptr<boost::asio::io_context> Context;
  std::array<std::shared_ptr<NetTraffic>, TrafficClassCount> Traffic{
      std::make_shared<NetTraffic>(), std::make_shared<NetTraffic>()};
  Event Stopped;
  bool IsStopping = false;
};

} // namespace bergamothook

#endif
