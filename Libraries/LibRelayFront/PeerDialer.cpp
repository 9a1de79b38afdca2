#include "LibRelayFront/PeerDialer.h"

#include <algorithm>

namespace bergamothook {

Result<PeerExchange> PeerDialer::forward(const RosterHost &Peer,
                                         const RelayCall &Call,
                                         const CallerHooks &Caller,
                                         TimePoint Deadline) {
  HttpRequestHead Head = Call.Head;
  Head.Headers.removeConnectionFields();
  std::optional<std::chrono::milliseconds> TimeLeft;
  if (Deadline != TimePoint::max())
    TimeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::max(Deadline - this->Tasks.Now(), Duration::zero()));
  auto Signature = this->Seal.sealRequest(
      Head, Call.Body, {Peer.id(), Peer.Run}, TimeLeft, Call.Config->Version);
  if (!Signature)
    return NetError::ConnectFailed;
  Head.Headers.add("Connection", "close");
  ListedTarget Server;
  Server.Id = Peer.Name;
  Server.Address = Peer.Address;
  SendTerms Terms;
  Terms.Deadline = Deadline;
  BOOST_OUTCOME_TRY(Opened,
                    this->Dialer.open(Server, Call, Head, Caller, Terms));
  PeerExchange Exchange;
  Exchange.ReadHead = [this, Read = Opened.ReadHead, Signed = *Signature](
                          TimePoint Until) -> Result<PeerAnswer> {
    PeerAnswer Answer;
    BOOST_OUTCOME_TRY(Received, Read(Until));
    Answer.Head = std::move(Received);
    auto Verdict = this->Seal.openAnswer(Answer.Head, Signed);
    if (!Verdict)
      return NetError::Malformed;
    Answer.Verdict = Verdict.value();
    return Answer;
  };
  Exchange.ReadBody = Opened.ReadBody;
  Exchange.Close = Opened.Abort;
  return Exchange;
}

} // namespace bergamothook
