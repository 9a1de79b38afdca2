/// \file
/// The limits of an HTTP server.

#ifndef BERGAMOTHOOK_LIBHTTP_HTTPSERVERLIMITS_H
#define BERGAMOTHOOK_LIBHTTP_HTTPSERVERLIMITS_H

#include "LibBase/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace bergamothook {

/// Where a server listens and what it takes from its callers.
struct HttpServerLimits {
  /// An IP number.
  std::string Address = "127.0.0.1";
  /// 0 lets the system choose a free port.
  std::uint16_t Port = 0;
  int Threads = 2;

  std::size_t MaxHeaderBytes = 32 << 10;
  std::size_t MaxBodyBytes = 8 << 20;
  /// Connections above this number are closed at once.
  std::size_t MaxConnections = 20000;
  /// Requests being answered at once; more are refused with status 503.
  std::size_t MaxRequests = 4096;
  /// What one caller may leave unread before its connection is closed.
  std::size_t MaxUnsentBytes = 1 << 20;

  /// From the first byte of a request to the end of its headers.
  Duration HeaderTimeout = std::chrono::seconds(10);
  /// From the first byte of a request to the end of its body.
  Duration BodyTimeout = std::chrono::seconds(60);
  /// Without any request.
  Duration IdleTimeout = std::chrono::seconds(75);
  /// With bytes to send of which the caller reads none.
  Duration StallTimeout = std::chrono::seconds(30);
};

} // namespace bergamothook

#endif
