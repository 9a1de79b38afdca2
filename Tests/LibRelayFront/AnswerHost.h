/// \file
/// A host whose targets break off their answers, on ports of this machine.

#ifndef BERGAMOTHOOK_TESTS_LIBRELAYFRONT_ANSWERHOST_H
#define BERGAMOTHOOK_TESTS_LIBRELAYFRONT_ANSWERHOST_H

#include "LibRelayFront/RelayServer.h"
#include "LibRelayFront/TargetDialer.h"
#include "TargetAnswer.h"

namespace bergamothook {

/// How a caller sends its request.
struct CallerRequest {
  CallKind Kind = CallKind::Idempotent;
  bool IsResumable = false;
  std::string Method = "POST";
  std::string Version = "1.1";
  std::size_t BodyBytes = 0;
};

/// One call: what the targets sent, and what its caller received.
struct PlayedExchange {
  CallerRequest Request;
  std::string CallId;
  std::vector<SentAnswer> Sent;
  /// All bytes, up to the end of the connection.
  std::string Received;
  bool WasReset = false;
  bool HasEnded = false;
};

class AnswerHost {
public:
  AnswerHost();
  ~AnswerHost();
  AnswerHost(const AnswerHost &) = delete;
  AnswerHost &operator=(const AnswerHost &) = delete;

  /// Sends one request to the host, whose targets answer it with \p Answers, in
  /// the order in which they get it. A caller whose connection is kept sends
  /// another request behind it, which is answered with NextAnswer.
  PlayedExchange play(const CallerRequest &Request,
                      const std::vector<TargetAnswer> &Answers);

  /// Lists another server as the targets of all services from now on.
  void useTargetsAt(const std::string &Address) {
    this->TargetAddress = Address;
  }

  /// \returns how many attempts of the last exchange count as failures of their
  /// targets.
  unsigned targetFailures();

  /// The whole answer to the request that follows.
  static const std::string NextAnswer;

private:
  RelayHooks makeHooks();
  TokenHooks makeTokenHooks();
  static RelaySettings makeSettings();
  static RunQuery makeRunQuery();
  void configure();
  void listTargets();
  static std::string pathOf(CallKind Kind, bool IsResumable);
  DecodedCall decode(HttpRequestMessage Message, TimePoint Now);
  void serveTarget(const TcpConnection::Handle &Connection);
  void answer(const TcpConnection::Handle &Connection,
              const HttpRequestHead &Head);

  NetRuntime Loop;
  Runtime Tasks;
  Metrics Stats;
  TokenBroker Wallets;
  std::optional<TargetDialer> Dialer;
  RelayDispatcher Dispatcher;
  RelayServer Server;
  TcpListener Target;
  std::uint64_t Calls = 0;
  std::vector<std::string> Listed;
  std::string TargetAddress;
  /// The exchange in progress, and its answers to come.
  PlayedExchange Played;
  std::vector<TargetAnswer> Answers;
};

} // namespace bergamothook

#endif
