/// \file
/// Sends calls to targets over kept connections.

#ifndef BERGAMOTHOOK_LIBRELAYFRONT_TARGETDIALER_H
#define BERGAMOTHOOK_LIBRELAYFRONT_TARGETDIALER_H

#include "LibNet/HttpConnectionPool.h"
#include "LibRelay/RelayHooks.h"

namespace bergamothook {

struct DialerLimits {
  HttpConnectionPoolLimits Pool;
  TcpLimits Connection;
  /// A target that does not take a connection within this time is not there:
  /// the round trip is a few milliseconds.
  Duration ConnectTimeout = std::chrono::milliseconds(600);
  /// How long a connection may have lain idle for a call that may not be
  /// repeated. If the target closes it as the call is sent, the outcome of the
  /// call is unknown.
  Duration MaxIdleForSingleRun = std::chrono::milliseconds(1500);
};

/// The connections of one host to its targets. All calls come from tasks of one
/// runtime, which outlives it.
class TargetDialer {
public:
  TargetDialer(NetRuntime &Loop, DialerLimits Limits);

  /// See RelayHooks::Open.
  Result<TargetExchange> open(const ListedTarget &Target, const RelayCall &Call,
                              const HttpRequestHead &Head,
                              const CallerSide &Caller, TimePoint Deadline);

  /// Closes idle connections that are too old. A task of its own.
  void runExpiry(const std::function<bool()> &IsStopped);

  std::uint64_t connectionsMade() const { return this->Made; }
  std::size_t idle() const { return this->Idle.size(); }

private:
  Result<TcpConnection::Handle> connect(const ListedTarget &Target,
                                        const RelayCall &Call,
                                        TimePoint Deadline);

  NetRuntime &Loop;
  Runtime Tasks;
  DialerLimits Limits;
  HttpConnectionPool Idle;
  std::uint64_t Made = 0;
};

} // namespace bergamothook

#endif
