/// \file
/// Sends calls to targets over persistent connections.

#ifndef BERGAMOTHOOK_LIBRELAYFRONT_TARGETDIALER_H
#define BERGAMOTHOOK_LIBRELAYFRONT_TARGETDIALER_H

#include "LibNet/HttpConnectionPool.h"
#include "LibRelay/RelayHooks.h"

namespace bergamothook {

namespace detail {
struct ExchangeState;
} // namespace detail

struct DialerLimits {
  HttpConnectionPoolLimits Pool;
  TcpLimits Connection;
  /// A target that does not accept a connection within this time is considered
  /// unreachable: the round trip is a few milliseconds.
  Duration ConnectTimeout = std::chrono::milliseconds(600);
  /// The longest time that a connection may have been idle if it is used for a
  /// call that may not be repeated. If the target closes it while the call is
  /// sent, the outcome of the call is unknown.
  Duration MaxIdleForNonIdempotent = std::chrono::milliseconds(1500);
  /// How long a target may take to say which run it is. It needs no slot for
  /// that.
  Duration RunQueryTimeout = std::chrono::milliseconds(300);
  /// How long a target may take to answer a health request. A cold one is slow.
  Duration HealthTimeout = std::chrono::milliseconds(600);
  std::size_t MaxRunAnswerBytes = 64 * 1024;
};

/// How a target is asked which run of it answers.
struct RunQuery {
  std::function<HttpRequestHead(const ListedTarget &Target)> MakeHead;
  std::function<RunAnswer(const ListedTarget &Target,
                          const HttpResponseHead &Head,
                          const std::string &Body)>
      ReadAnswer;
};

/// The connections of one host to its targets. All member functions are called
/// from tasks of one runtime, which must outlive the dialer.
class TargetDialer {
public:
  TargetDialer(NetRuntime &Loop, DialerLimits Limits, RunQuery Query = {});

  /// See RelayHooks::Open.
  Result<TargetExchange> open(const ListedTarget &Target, const RelayCall &Call,
                              const HttpRequestHead &Head,
                              const CallerHooks &Caller,
                              const SendTerms &Terms);

  /// Sends a request without a body on a connection of its own, unless \p
  /// IsGivenUp holds once it is connected. \returns the head of the response;
  /// nothing if none came within HealthTimeout.
  std::optional<HttpResponseHead> ask(const ListedTarget &Target,
                                      const HttpRequestHead &Head,
                                      const CallerHooks &Caller,
                                      TimePoint Deadline,
                                      const std::function<bool()> &IsGivenUp);

  /// Connects to a target and closes the connection. See ReachHooks::Probe.
  bool probe(const ListedTarget &Target, TimePoint Deadline);

  /// Closes idle connections that have expired. Runs as a task of its own.
  void runExpiry(const std::function<bool()> &IsStopped);

  std::uint64_t connectionsMade() const { return this->ConnectionsMade; }
  std::uint64_t runQueries() const { return this->RunQueries; }
  std::size_t idle() const { return this->Idle.size(); }

private:
  Result<TcpConnection::Handle> connect(const ListedTarget &Target,
                                        const RelayCall &Call,
                                        const CallerHooks &Caller,
                                        TimePoint Deadline,
                                        const std::function<bool()> &IsGivenUp);

  /// Connects to a target and checks its run, if \p Terms say so, on the
  /// connection of the call: no other run can take its place in between.
  Result<std::shared_ptr<detail::ExchangeState>>
  connectToRun(const ListedTarget &Target, const RelayCall &Call,
               const HttpRequestHead &Head, const CallerHooks &Caller,
               const SendTerms &Terms, const std::function<bool()> &IsGivenUp);

  /// Asks a target which run of it answers on the connection of \p State.
  RunAnswer askRun(detail::ExchangeState &State, const ListedTarget &Target,
                   TimePoint Deadline, const std::function<bool()> &IsGivenUp);

  /// More than are refused while a connection is idle.
  static constexpr std::size_t MaxRefusals = 4096;

  static std::uint64_t refusalKey(const TcpConnection::Handle &Connection,
                                  const RelayCall &Call);

  NetRuntime &Loop;
  Runtime Tasks;
  DialerLimits Limits;
  RunQuery Query;
  HttpConnectionPool Idle;
  /// Calls that were refused, with the connections that carried them.
  RecentMap<std::uint64_t, bool> Refusals{MaxRefusals};
  std::uint64_t ConnectionsMade = 0;
  std::uint64_t RunQueries = 0;
};

} // namespace bergamothook

#endif
