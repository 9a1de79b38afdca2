/// \file
/// An HTTP server that handles each request in a task of the stand-in's
/// runtime.

#ifndef BERGAMOTHOOK_LIBSTANDINSERVER_STANDINSERVER_H
#define BERGAMOTHOOK_LIBSTANDINSERVER_STANDINSERVER_H

#include "LibHttp/HttpServer.h"
#include "LibStandinServer/StandinResponses.h"
#include "LibTask/RealRuntime.h"

namespace bergamothook {

class StandinServer {
public:
  /// \p Real must outlive the server.
  StandinServer(HttpServerLimits Limits, RealRuntime &Real,
                StandinHandler OnRequest);

  Result<void> start();
  void stop();

  /// Simulates a crash and restart: closes all connections, accepts none for
  /// \p Downtime, then listens on the same port again. Call it from a task.
  void restartAfter(Duration Downtime);

  /// Waits up to \p Timeout until no task handles a request. Call it from a
  /// task after stop(). \returns whether all tasks have ended.
  bool waitForTasks(Duration Timeout);

  std::uint16_t port() const { return this->Limits.Port; }

private:
  HttpServerLimits Limits;
  RealRuntime &Real;
  StandinHandler OnRequest;
  std::unique_ptr<HttpServer> Server;
  /// The number of tasks that handle a request. Used on the runtime's thread
  /// only.
  std::size_t ActiveTasks = 0;
  Event TaskEnded;
};

} // namespace bergamothook

#endif
