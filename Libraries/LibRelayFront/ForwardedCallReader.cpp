#include "LibRelayFront/ForwardedCallReader.h"

#include "LibObserve/StructuredLog.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

PeerVerdict verdictOf(unsigned Status, RelayReason Refusal) {
  // Other statuses state what is true of the call, which the caller is told.
  if (Status != 503)
    return PeerVerdict::Took;
  switch (Refusal) {
  case RelayReason::OutOfReach:
  case RelayReason::TargetUnreachable:
  case RelayReason::NoTarget:
    return PeerVerdict::OutOfReach;
  case RelayReason::NoConfig:
  case RelayReason::ConfigOld:
  case RelayReason::Stopping:
  case RelayReason::HostOverloaded:
  case RelayReason::OutOfMemory:
  case RelayReason::CannotStart:
    return PeerVerdict::Busy;
  default:
    return PeerVerdict::Took;
  }
}

DecodedCall ForwardedCallReader::read(HttpRequestMessage Message,
                                      TimePoint Now) {
  auto Opened = this->Seal.openRequest(Message.Head, Message.Body);
  if (!Opened) {
    ++this->UnsignedRequests;
    logEvent(LogLevel::Warning, "forwarded_call_refused",
             {{"reason", Opened.error().message()}});
    DecodedCall Refused;
    Refused.Call.ArrivedAt = Now;
    Refused.RefusalStatus = 403;
    Refused.Reason = RelayReason::NotOfFleet;
    return Refused;
  }
  const ForwardTerms &Terms = Opened.value().Terms;
  RelayReason Refusal = this->Hooks.Refuse();
  // A caller must not meet an older version than at the host that it called.
  if (!Opened.value().IsFresh ||
      this->Hooks.ConfigVersion() < Terms.ConfigVersion)
    Refusal = RelayReason::NoConfig;
  DecodedCall Decoded = this->Hooks.Decode(std::move(Message), Now);
  Decoded.Call.ForwardedBy = this->Hooks.NameOf(Terms.From.Host);
  if (Terms.TimeLeft)
    Decoded.Call.CallerDeadline =
        std::min(Decoded.Call.CallerDeadline, Now + *Terms.TimeLeft);
  if (Refusal != RelayReason::None) {
    Decoded.RefusalStatus = 503;
    Decoded.Reason = Refusal;
    Decoded.RetryAfter.reset();
  }
  Decoded.Seal = [this, Signature = Opened.value().Signature](
                     HttpResponseHead &Head, RelayReason Reason) {
    this->Seal.sealAnswer(Head, Signature, verdictOf(Head.Status, Reason));
  };
  return Decoded;
}

} // namespace bergamothook
