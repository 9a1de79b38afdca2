/// \file
/// A server for the readiness probe and the metrics of the host.

#ifndef BERGAMOTHOOK_LIBRELAYFRONT_STATUSSERVER_H
#define BERGAMOTHOOK_LIBRELAYFRONT_STATUSSERVER_H

#include "LibNet/HttpMessage.h"
#include "LibNet/TcpListener.h"

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

  StatusServer(NetRuntime &Loop, const std::string &Address,
               ResponseHandler Handler);

  Result<void> start() { return this->Listener.start(); }
  void stop() { this->Listener.stop(); }
  std::uint16_t port() const { return this->Listener.port(); }

private:
  void serveConnection(const TcpConnection::Handle &Connection);

  Runtime Tasks;
  ResponseHandler Handler;
  TcpListener Listener;
};

} // namespace bergamothook

#endif
