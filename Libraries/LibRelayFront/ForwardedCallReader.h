/// \file
/// Reads the calls that other hosts forward to this one.

#ifndef BERGAMOTHOOK_LIBRELAYFRONT_FORWARDEDCALLREADER_H
#define BERGAMOTHOOK_LIBRELAYFRONT_FORWARDEDCALLREADER_H

#include "LibRelay/ForwardSeal.h"
#include "LibRelayFront/RelayServer.h"

namespace bergamothook {

/// \returns whether a host took a forwarded call that it answered with \p
/// Status, after it refused it for \p Refusal, if it did.
PeerVerdict verdictOf(unsigned Status, RelayReason Refusal);

struct ForwardedCallHooks {
  /// Reads a request as one of a caller.
  RelayServer::Decode Decode;
  /// \returns why this host takes no call of other hosts now;
  /// RelayReason::None if it does.
  std::function<RelayReason()> Refuse = [] { return RelayReason::None; };
  /// The version of the active configuration; 0 before the first one.
  std::function<std::uint64_t()> ConfigVersion;
  /// \returns the name of a host.
  std::function<std::string(HostId)> NameOf;
};

/// The seal must outlive this object.
class ForwardedCallReader {
public:
  ForwardedCallReader(ForwardSeal &Seal, ForwardedCallHooks Hooks)
      : Seal(Seal), Hooks(std::move(Hooks)) {}

  /// See RelayServer::Decode.
  DecodedCall read(HttpRequestMessage Message, TimePoint Now);

  /// Requests that no host of the fleet has sent.
  std::uint64_t unsignedRequests() const { return this->UnsignedRequests; }

private:
  ForwardSeal &Seal;
  ForwardedCallHooks Hooks;
  std::uint64_t UnsignedRequests = 0;
};

} // namespace bergamothook

#endif
