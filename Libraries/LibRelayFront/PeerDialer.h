/// \file
/// Forwards calls to other hosts.

#ifndef BERGAMOTHOOK_LIBRELAYFRONT_PEERDIALER_H
#define BERGAMOTHOOK_LIBRELAYFRONT_PEERDIALER_H

#include "LibRelay/ForwardSeal.h"
#include "LibRelayFront/TargetDialer.h"

namespace bergamothook {

/// Each call has a connection of its own, which ends with it: on one that is
/// kept, a call could cross the end of its idle time, and its outcome would be
/// unknown. Dialer and seal must outlive this object.
class PeerDialer {
public:
  PeerDialer(TargetDialer &Dialer, ForwardSeal &Seal, Runtime Tasks)
      : Dialer(Dialer), Seal(Seal), Tasks(std::move(Tasks)) {}

  /// See RelayHooks::Forward.
  Result<PeerExchange> forward(const RosterHost &Peer, const RelayCall &Call,
                               const CallerHooks &Caller, TimePoint Deadline);

private:
  TargetDialer &Dialer;
  ForwardSeal &Seal;
  Runtime Tasks;
};

} // namespace bergamothook

#endif
