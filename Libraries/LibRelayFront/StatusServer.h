/// \file
/// A server for the readiness probe and the metrics of the host.

#ifndef BERGAMOTHOOK_LIBRELAYFRONT_STATUSSERVER_H
#define BERGAMOTHOOK_LIBRELAYFRONT_STATUSSERVER_H

#include "LibNet/HttpMessage.h"
#include "LibNet/TcpListener.h"
#include "LibRelayFront/ConnectionRoster.h"

namespace bergamothook {

struct StatusResponse {
  unsigned Status = 404;
  std::string ContentType = "text/plain";
  std::string Body;
};

/// Answers GET requests, one task for each connection.
class StatusServer {
public:
  using ResponseHandler =
      std::function<StatusResponse(const std::string &Path)>;

  /// \p Memory bounds what all connections hold, together with other users of
  /// the budget.
  StatusServer(NetRuntime &Loop, const std::string &Address,
               MemoryBudgetHandle Memory, ResponseHandler Handler);

  Result<void> start() { return this->Listener.start(); }
  void stop() { this->Listener.stop(); }
  /// Connections that were closed to accept others.
  std::uint64_t evictions() const { return this->Roster.evictions(); }
  std::uint16_t port() const { return this->Listener.port(); }

private:
  TcpListenerSettings listenerSettings(const std::string &Address,
                                       MemoryBudgetHandle Memory);
  void serveConnection(const TcpConnection::Handle &Connection);

  Runtime Tasks;
  ResponseHandler Handler;
  ConnectionRoster Roster;
  TcpListener Listener;
};

} // namespace bergamothook

#endif
