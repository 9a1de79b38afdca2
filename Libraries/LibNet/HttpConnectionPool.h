/// \file
/// Connections to other HTTP servers, kept open between exchanges.

#ifndef BERGAMOTHOOK_LIBNET_HTTPCONNECTIONPOOL_H
#define BERGAMOTHOOK_LIBNET_HTTPCONNECTIONPOOL_H

#include "LibNet/TcpConnection.h"

#include <deque>
#include <map>
#include <optional>

namespace bergamothook {

struct HttpConnectionPoolLimits {
  /// How long a connection may lie idle when the server does not say.
  Duration IdleTime = std::chrono::seconds(4);
  /// Subtracted from the idle time that the server tells, so that the two ends
  /// do not meet: a request that crosses the server's close is lost.
  Duration IdleMargin = std::chrono::milliseconds(700);
  std::size_t MaxIdlePerAddress = 64;
};

/// Idle connections by address. The newest is taken first, so that the others
/// can age and go.
class HttpConnectionPool {
public:
  explicit HttpConnectionPool(HttpConnectionPoolLimits Limits)
      : Limits(Limits) {}

  /// Closes all idle connections; a read that waits would keep them open.
  ~HttpConnectionPool();
  HttpConnectionPool(const HttpConnectionPool &) = delete;
  HttpConnectionPool &operator=(const HttpConnectionPool &) = delete;

  /// Takes an idle connection that was used within \p MaxIdle.
  TcpConnection::Handle acquire(const std::string &Address, Duration MaxIdle,
                                TimePoint Now);

  /// Puts a connection back. \p ServerIdleTime is what the server told of it.
  void release(const std::string &Address, TcpConnection::Handle Connection,
               std::optional<Duration> ServerIdleTime, TimePoint Now);

  /// Closes all idle connections to \p Address.
  void closeAll(const std::string &Address);

  /// Closes what is too old or has ended.
  void closeExpired(TimePoint Now);

  std::size_t size() const;

private:
  struct Idle {
    TcpConnection::Handle Connection;
    TimePoint Since;
    TimePoint Until;
  };

  HttpConnectionPoolLimits Limits;
  std::map<std::string, std::deque<Idle>> ByAddress;
};

} // namespace bergamothook

#endif
