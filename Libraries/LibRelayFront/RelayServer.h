/// \file
/// The port on which callers send their calls: one task for each connection.

#ifndef BERGAMOTHOOK_LIBRELAYFRONT_RELAYSERVER_H
#define BERGAMOTHOOK_LIBRELAYFRONT_RELAYSERVER_H

#include "LibNet/HttpReader.h"
#include "LibNet/TcpListener.h"
#include "LibRelay/RelayDispatcher.h"
#include "LibRelayFront/StopPlan.h"

namespace bergamothook {

/// A call, or why the message is none.
struct DecodedCall {
  RelayCall Call;
  /// The status of the refusal; 0 for a good call.
  unsigned RefusalStatus = 0;
  RelayReason Reason = RelayReason::None;
  std::optional<Duration> RetryAfter;
};

struct RelayServerSettings {
  TcpListenerSettings Listen;
  StopPolicy Stop;
  /// How long a connection that was closed waits for the caller's own close.
  Duration CloseTimeout = std::chrono::milliseconds(1500);
};

/// Reads requests, hands calls to the desk, and writes the answers.
class RelayServer {
public:
  /// Turns a request into a call, by the configuration in force.
  using Decode =
      std::function<DecodedCall(HttpRequestMessage Message, TimePoint Now)>;

  RelayServer(NetRuntime &Loop, RelayServerSettings Settings,
              RelayDispatcher &Desk, Decode Decoder);

  Result<void> start() { return this->Listener.start(); }

  /// Answers with a wish to close from now on; new connections are still
  /// served, since the balancer takes a while to notice. The process is killed
  /// after \p Grace.
  void beginStop(Duration Grace);

  /// Tells whether nothing keeps a host that is stopping.
  bool mayExit() const;

  /// Accepts no more connections.
  void stopListening() { this->Listener.stop(); }

  /// Requests read and not answered.
  std::size_t inProgress() const { return this->InProgress; }
  std::size_t connections() const { return this->Listener.connections(); }

private:
  struct Session;

  void serveConnection(const TcpConnection::Handle &Connection);
  bool serveRequest(Session &Of, HttpRequestMessage Message);
  bool waitForRequest(Session &Of);
  void refuseMessage(Session &Of, std::error_code Failure);
  CallerHooks callerSide(Session &Of) const;
  CallerLimits limits() const;

  NetRuntime &Loop;
  Runtime Tasks;
  RelayServerSettings Settings;
  RelayDispatcher &Desk;
  Decode Decoder;
  TcpListener Listener;
  std::set<Event *> Sessions;
  std::size_t InProgress = 0;
  StopPlan Stop;
};

} // namespace bergamothook

#endif
