/// \file
/// The server for callers: one task for each connection.

#ifndef BERGAMOTHOOK_LIBRELAYFRONT_RELAYSERVER_H
#define BERGAMOTHOOK_LIBRELAYFRONT_RELAYSERVER_H

#include "LibNet/HttpReader.h"
#include "LibNet/TcpListener.h"
#include "LibRelay/RelayDispatcher.h"
#include "LibRelayFront/ConnectionEnd.h"
#include "LibRelayFront/ConnectionRoster.h"
#include "LibRelayFront/StopPlan.h"

namespace bergamothook {

/// A decoded call, or why the message could not be decoded as one.
struct DecodedCall {
  RelayCall Call;
  /// The status of the refusal; 0 for a valid call.
  unsigned RefusalStatus = 0;
  RelayReason Reason = RelayReason::None;
  std::optional<Duration> RetryAfter;
  /// Applied to the head of the answer, with the reason if the call is refused;
  /// empty if the head is sent as it is.
  std::function<void(HttpResponseHead &Head, RelayReason Refusal)> Seal = {};
};

/// Decisions of a host about its own load.
struct ServerLoadHooks {
  /// Decides whether the connection of the next response ends with it.
  std::function<bool()> EndsConnection = [] { return false; };
  /// Decides on a call before it starts. \returns when its caller may return if
  /// it must not start.
  std::function<std::optional<Duration>(const RelayCall &Call, TimePoint Now)>
      Refuse = [](const RelayCall &, TimePoint) { return std::nullopt; };
};

struct RelayServerSettings {
  TcpListenerSettings Listen;
  StopPolicy Stop;
  /// How long a write may block on a caller that does not read.
  Duration WriteTimeout = std::chrono::seconds(5);
  /// How much longer than the idle timeout a connection is kept for a request
  /// in transit: it may wait on a full link, or be retransmitted.
  Duration IdleGrace = std::chrono::seconds(3);
  /// How long to wait for the caller to close its side of a closed connection.
  Duration CloseTimeout = std::chrono::milliseconds(1500);
  ServerLoadHooks Load = {};
  /// Caller connections and calls in progress beyond which a call is refused;
  /// 0 if not limited.
  std::size_t MaxConnectionsAndCalls = 0;
  /// Bytes of a head beyond what callers may send.
  std::uint32_t ExtraHeadBytes = 0;
  /// Who connects, for the log.
  std::string Clients = "callers";
};

/// Reads requests, passes calls to the dispatcher and writes the responses.
class RelayServer {
public:
  /// Decodes a request by the active configuration.
  using Decode =
      std::function<DecodedCall(HttpRequestMessage Message, TimePoint Now)>;

  RelayServer(NetRuntime &Loop, RelayServerSettings Settings,
              RelayDispatcher &Dispatcher, Decode Decoder);

  Result<void> start() { return this->Listener.start(); }

  /// Sends "Connection: close" with every response from now on. New connections
  /// are still served, since the load balancer takes a while to notice. Blocks
  /// the calling task until nothing is left to wait for, or until shortly
  /// before the process is killed after \p Grace. Then accepts no more
  /// connections.
  void stop(Duration Grace);

  /// Requests read but not yet answered.
  std::size_t inProgress() const { return this->InProgress; }
  std::size_t connections() const { return this->Listener.connections(); }
  /// Connections that were closed to accept others.
  std::uint64_t evictions() const { return this->Roster.evictions(); }
  /// Calls refused for want of descriptors.
  std::uint64_t descriptorRefusals() const { return this->DescriptorRefusals; }
  std::uint16_t port() const { return this->Listener.port(); }

private:
  struct Session;

  void handleConnection(const TcpConnection::Handle &Connection);
  void serveConnection(Session &Client);
  bool serveRequest(Session &Client, HttpRequestMessage Message);
  bool waitForRequest(Session &Client);
  void refuseMessage(Session &Client, std::error_code Failure);
  /// Formats the response to a request that was not decoded.
  std::string formatRefusal(unsigned Status, const std::string &Reason,
                            RelayEnd Outcome) const;
  std::string formatEvictionRefusal() const;
  /// Answers a request whose handling failed, if no response has begun.
  void answerFailure(Session &Client);
  /// Counts and logs the end of a connection on which a request, or a part of
  /// one, was not answered.
  void recordEnd(const Session &Client);
  CallerHooks makeCallerHooks(Session &Client,
                              const DecodedCall &Decoded) const;
  CallerLimits limits() const;
  TcpListenerSettings listenerSettings();
  std::optional<Duration> refuse(const RelayCall &Call);
  bool mayExit();
  void wakeCalls();
  /// Waits until the queued end of the last response is sent, or its caller no
  /// longer reads.
  void sendRest(TcpConnection &Connection);

  NetRuntime &Loop;
  Runtime Tasks;
  RelayServerSettings Settings;
  RelayDispatcher &Dispatcher;
  Decode Decoder;
  ConnectionRoster Roster;
  TcpListener Listener;
  std::set<Event *> Sessions;
  std::size_t InProgress = 0;
  std::uint64_t DescriptorRefusals = 0;
  StopPlan Plan;
};

} // namespace bergamothook

#endif
