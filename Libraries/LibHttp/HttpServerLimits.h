/// \file
/// The limits of an HTTP server.

#ifndef BERGAMOTHOOK_LIBHTTP_HTTPSERVERLIMITS_H
#define BERGAMOTHOOK_LIBHTTP_HTTPSERVERLIMITS_H

#include "LibBase/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace bergamothook {

/// The address, the size limits and the timeouts of a server.
struct HttpServerLimits {
  /// An IP address.
  std::string Address = "127.0.0.1";
  /// 0 selects any free port.
  std::uint16_t Port = 0;
  int Threads = 2;

  std::size_t MaxHeaderBytes = 32 << 10;
  std::size_t MaxBodyBytes = 8 << 20;
  /// Connections above this number are closed immediately.
  std::size_t MaxConnections = 20000;
  /// Concurrent requests; more are rejected with status 503.
  std::size_t MaxRequests = 4096;
  /// Unsent response bytes per connection above which it is closed.
  std::size_t MaxUnsentBytes = 1 << 20;

  /// From the first byte of a request to the end of its headers.
  Duration HeaderTimeout = std::chrono::seconds(10);
  /// From the first byte of a request to the end of its body.
  Duration BodyTimeout = std::chrono::seconds(60);
  /// Without a request in progress.
  Duration IdleTimeout = std::chrono::seconds(75);
  /// Without progress in sending while there are unsent bytes.
  Duration StallTimeout = std::chrono::seconds(30);
};

} // namespace bergamothook

#endif
