/// \file
/// Serves the requests of one stand-in as tasks of its runtime.

#ifndef BERGAMOTHOOK_LIBSTANDINSERVER_STANDINSERVER_H
#define BERGAMOTHOOK_LIBSTANDINSERVER_STANDINSERVER_H

#include "LibHttp/HttpServer.h"
#include "LibStandinServer/Answers.h"
#include "LibTask/RealRuntime.h"

namespace bergamothook {

class StandinServer {
public:
  /// \p Real must outlive the server.
  StandinServer(HttpServerLimits Limits, RealRuntime &Real,
                StandinHandler OnRequest);

  Result<void> start();
  void stop();

  /// Closes every connection, takes no new one for \p Pause, and serves again
  /// on the same port, as a process that crashed and was started again. Called
  /// from a task.
  void restartAfter(Duration Pause);

  /// Waits until no task serves a request, for at most \p Limit. Called from a
  /// task after stop(). \returns whether none does.
  bool waitForTasks(Duration Limit);

  std::uint16_t port() const { return this->Limits.Port; }

private:
  HttpServerLimits Limits;
  RealRuntime &Real;
  StandinHandler OnRequest;
  std::unique_ptr<HttpServer> Server;
  /// Counts the tasks that serve a request; used on the runtime's thread only.
  std::size_t ActiveTasks = 0;
  Event TaskEnded;
};

} // namespace bergamothook

#endif
