/// \file
/// Authenticates calls that one host forwards to another, and the answers.
///
/// A request carries one more header field, with a signature over the whole
/// request and over both processes, and the head of its answer another one over
/// the request's signature. A request that was recorded is refused, since each
/// number of a sender is accepted once.

#ifndef BERGAMOTHOOK_LIBRELAY_FORWARDSEAL_H
#define BERGAMOTHOOK_LIBRELAY_FORWARDSEAL_H

#include "LibBase/Ids.h"
#include "LibBase/Time.h"
#include "LibNet/HttpMessage.h"
#include "LibPeer/KeyRing.h"
#include "LibPeer/ReplayWindow.h"
#include "LibRelay/PeerExchange.h"

#include <map>
#include <optional>

namespace bergamothook {

/// What the sender of a forwarded request states beside the request.
struct ForwardTerms {
  Incarnation From;
  Incarnation To;
  std::uint64_t Sequence = 0;
  /// Until the end of the call; unset if there is none.
  std::optional<std::chrono::milliseconds> TimeLeft;
  /// The version of the configuration under which the sender read the request.
  std::uint64_t ConfigVersion = 0;
};

/// The seals of one process. Not thread-safe.
class ForwardSeal {
public:
  /// The bytes that the field adds to a head, at most.
  static constexpr std::uint32_t MaxFieldBytes = 256;

  /// \p Keys is to return null until the keys are known.
  ForwardSeal(Incarnation Self, std::function<const KeyRing *()> Keys)
      : Self(Self), Keys(std::move(Keys)) {}

  /// Adds the seal to a request without connection fields. \returns the
  /// signature; nothing while the keys are not known.
  std::optional<std::string>
  sealRequest(HttpRequestHead &Head, std::string_view Body, Incarnation To,
              std::optional<std::chrono::milliseconds> TimeLeft,
              std::uint64_t ConfigVersion);

  struct OpenedRequest {
    ForwardTerms Terms;
    std::string Signature;
    /// It was sent to this process, and for the first time.
    bool IsFresh = false;
  };

  /// Verifies a request and removes the seal and the connection fields. Fails
  /// with a PeerError unless a host of this fleet has sent it.
  Result<OpenedRequest> openRequest(HttpRequestHead &Head,
                                    std::string_view Body);

  /// Adds the seal to the answer of a request with \p Signature.
  void sealAnswer(HttpResponseHead &Head, const std::string &Signature,
                  PeerVerdict Verdict) const;

  /// Verifies an answer and removes the seal.
  Result<PeerVerdict> openAnswer(HttpResponseHead &Head,
                                 const std::string &Signature) const;

private:
  /// Far more than hosts start within the life of one process.
  static constexpr std::size_t MaxSenders = 65536;

  bool acceptOnce(const Incarnation &From, std::uint64_t Sequence);

  Incarnation Self;
  std::function<const KeyRing *()> Keys;
  std::uint64_t LastSequence = 0;
  /// Kept for the life of the process: a window that is forgotten would accept
  /// recorded requests again.
  std::map<Incarnation, ReplayWindow> Senders;
};

} // namespace bergamothook

#endif
