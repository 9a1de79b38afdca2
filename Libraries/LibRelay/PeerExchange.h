/// \file
/// A call in progress at another host that was asked to serve it.

#ifndef BERGAMOTHOOK_LIBRELAY_PEEREXCHANGE_H
#define BERGAMOTHOOK_LIBRELAY_PEEREXCHANGE_H

#include "LibBase/Result.h"
#include "LibBase/Time.h"
#include "LibNet/HttpMessage.h"

#include <functional>

namespace bergamothook {

/// Whether another host took a call that was forwarded to it.
enum class PeerVerdict {
  /// The answer is that of the call.
  Took,
  /// The call was not run: that host reaches no target of the service either.
  OutOfReach,
  /// The call was not run: that host stops, has no room or lacks a version of
  /// the configuration.
  Busy,
};

struct PeerAnswer {
  HttpResponseHead Head;
  PeerVerdict Verdict = PeerVerdict::Took;
};

/// As TargetExchange, but the answer is known to be that of the other host.
struct PeerExchange {
  std::function<Result<PeerAnswer>(TimePoint Deadline)> ReadHead;
  std::function<Result<BodyPiece>(TimePoint Deadline)> ReadBody;
  /// Closes the connection, which makes the other host abandon a call in
  /// progress.
  std::function<void()> Close;
};

} // namespace bergamothook

#endif
