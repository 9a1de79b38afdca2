/// \file
/// A pool of persistent client connections to HTTP servers.

#ifndef BERGAMOTHOOK_LIBNET_HTTPCONNECTIONPOOL_H
#define BERGAMOTHOOK_LIBNET_HTTPCONNECTIONPOOL_H

#include "LibNet/TcpConnection.h"

#include <deque>
#include <map>
#include <optional>

namespace bergamothook {

struct HttpConnectionPoolLimits {
  /// How long a connection may be idle when the server states no idle timeout.
  Duration IdleTime = std::chrono::seconds(4);
  /// Subtracted from the idle timeout that the server states, since a request
  /// sent while the server closes the connection is lost.
  Duration IdleMargin = std::chrono::milliseconds(700);
  std::size_t MaxIdlePerAddress = 64;
};

/// Idle connections by address. The most recently used one is acquired first,
/// so that surplus connections expire.
class HttpConnectionPool {
public:
  explicit HttpConnectionPool(HttpConnectionPoolLimits Limits)
      : Limits(Limits) {}

  /// Closes all idle connections; their pending reads would keep them open.
  ~HttpConnectionPool();
  HttpConnectionPool(const HttpConnectionPool &) = delete;
  HttpConnectionPool &operator=(const HttpConnectionPool &) = delete;

  /// \returns an idle connection that was last used within \p MaxIdle, or null.
  TcpConnection::Handle acquire(const std::string &Address, Duration MaxIdle,
                                TimePoint Now);

  /// Returns a connection to the pool. \p ServerIdleTime is the idle timeout
  /// that the server stated, if any.
  void release(const std::string &Address, TcpConnection::Handle Connection,
               std::optional<Duration> ServerIdleTime, TimePoint Now);

  /// Closes all idle connections to \p Address.
  void closeAll(const std::string &Address);

  /// Closes connections that have expired or that the server has closed.
  void closeExpired(TimePoint Now);

  std::size_t size() const;

private:
  struct Idle {
    TcpConnection::Handle Connection;
    TimePoint IdleSince;
    TimePoint ExpiresAt;
  };

  HttpConnectionPoolLimits Limits;
  std::map<std::string, std::deque<Idle>> ByAddress;
};

} // namespace bergamothook

#endif
