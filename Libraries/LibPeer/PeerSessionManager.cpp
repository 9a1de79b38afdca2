#include "LibPeer/PeerSessionManager.h"

#include "LibPeer/MessageCodec.h"

#include <utility>

namespace bergamothook {

namespace {

constexpr std::uint16_t HelloKind = 1;
constexpr std::uint16_t AnswerKind = 2;
constexpr std::size_t MaxEndedRuns = 4096;
constexpr std::size_t MaxHandshakes = 64;

std::size_t indexOf(PeerTransport Transport) {
  return static_cast<std::size_t>(Transport);
}

} // namespace

PeerSessionManager::PeerSessionManager(Incarnation Self, KeyRing Keys,
                                       PeerSessionLimits Limits,
                                       std::uint64_t Seed)
    : Self(Self), Keys(std::move(Keys)), Limits(Limits), Dice(Seed) {}

Result<std::string> PeerSessionManager::seal(HostId To, PeerTransport Transport,
                                             std::uint16_t Kind,
                                             std::string_view Body) {
  auto Known = this->Sessions.find(To);
  if (Known == this->Sessions.end())
    return PeerError::NoSession;
  PeerFrameHeader Header;
  Header.Transport = Transport;
  Header.Kind = Kind;
  Header.Sender = this->Self;
  Header.Recipient = {To, Known->second.Run};
  Header.Sequence = ++Known->second.Sent[indexOf(Transport)];
  return sealFrame(Header, Body, this->Keys);
}

Result<std::optional<PeerMessage>>
PeerSessionManager::open(std::string_view Bytes, PeerTransport Transport,
                         TimePoint Now) {
  BOOST_OUTCOME_TRY(Frame, openFrame(Bytes, Transport, this->Keys));
  const PeerFrameHeader &Header = Frame.Header;
  if (Header.Recipient.Host != this->Self.Host)
    return PeerError::OtherRecipient;
  if (Header.Kind == HelloKind) {
    BOOST_OUTCOME_TRYV(this->answerHello(Frame, Now));
    return std::optional<PeerMessage>();
  }
  BOOST_OUTCOME_TRYV(this->checkRecipient(Header, Now));
  if (Header.Kind == AnswerKind) {
    BOOST_OUTCOME_TRYV(this->takeAnswer(Frame, Now));
    return std::optional<PeerMessage>();
  }
  BOOST_OUTCOME_TRYV(this->checkSender(Header, Now));
  return std::optional<PeerMessage>(
      PeerMessage{Header.Sender, Header.Kind, std::move(Frame.Body)});
}

Result<void> PeerSessionManager::checkRecipient(const PeerFrameHeader &Header,
                                                TimePoint Now) {
  if (Header.Recipient.Run == this->Self.Run)
    return success();
  // The sender learns of this run by the question that it gets.
  if (!this->hasEnded(Header.Sender))
    this->greet(Header.Sender.Host, Now);
  return PeerError::EarlierRun;
}

Result<void> PeerSessionManager::checkSender(const PeerFrameHeader &Header,
                                             TimePoint Now) {
  if (this->hasEnded(Header.Sender))
    return PeerError::EndedRun;
  auto Known = this->Sessions.find(Header.Sender.Host);
  if (Known == this->Sessions.end() || Known->second.Run != Header.Sender.Run) {
    this->greet(Header.Sender.Host, Now);
    return PeerError::NoSession;
  }
  if (!Known->second.Received[indexOf(Header.Transport)].accept(
          Header.Sequence))
    return PeerError::Replayed;
  return success();
}

Result<void> PeerSessionManager::answerHello(const PeerFrame &Frame,
                                             TimePoint Now) {
  const Incarnation &Sender = Frame.Header.Sender;
  BOOST_OUTCOME_TRY(Nonce, decodeMessage<Hash128>(Frame.Body));
  if (this->hasEnded(Sender))
    return PeerError::EndedRun;
  // A recorded question gets an answer too, which helps nobody: it is only of
  // use to the run that asked.
  this->handshake(Sender, AnswerKind, Nonce);
  if (this->runOf(Sender.Host) != Sender.Run)
    this->greet(Sender.Host, Now);
  return success();
}

Result<void> PeerSessionManager::takeAnswer(const PeerFrame &Frame,
                                            TimePoint Now) {
  const Incarnation &Sender = Frame.Header.Sender;
  BOOST_OUTCOME_TRY(Nonce, decodeMessage<Hash128>(Frame.Body));
  if (this->hasEnded(Sender))
    return PeerError::EndedRun;
  auto Asked = this->Questions.find(Sender.Host);
  if (Asked == this->Questions.end() || Asked->second.Nonce != Nonce ||
      Now - Asked->second.At > this->Limits.HelloLifetime)
    return PeerError::BadHandshake;
  this->Questions.erase(Asked);
  if (this->runOf(Sender.Host) != Sender.Run)
    this->startSession(Sender);
  return success();
}

void PeerSessionManager::startSession(Incarnation Peer) {
  if (auto Run = this->runOf(Peer.Host))
    this->endRun({Peer.Host, *Run});
  Session Started;
  Started.Run = Peer.Run;
  this->Sessions[Peer.Host] = Started;
}

void PeerSessionManager::endRun(Incarnation Peer) {
  if (!this->Ended.insert(Peer).second)
    return;
  this->EndedInOrder.push_back(Peer);
  if (this->EndedInOrder.size() <= MaxEndedRuns)
    return;
  this->Ended.erase(this->EndedInOrder.front());
  this->EndedInOrder.pop_front();
}

void PeerSessionManager::forget(HostId Peer) {
  if (auto Run = this->runOf(Peer))
    this->endRun({Peer, *Run});
  this->Sessions.erase(Peer);
  this->Questions.erase(Peer);
}

void PeerSessionManager::greet(HostId Peer, TimePoint Now) {
  auto Asked = this->Questions.find(Peer);
  if (Asked != this->Questions.end() &&
      Now - Asked->second.At < this->Limits.HelloInterval)
    return;
  // A question that is still open is asked again with its number, so that an
  // answer on its way stays good.
  Hash128 Nonce = Asked != this->Questions.end() &&
                          Now - Asked->second.At < this->Limits.HelloLifetime
                      ? Asked->second.Nonce
                      : this->Dice.next128();
  this->Questions[Peer] = {Nonce, Now};
  this->handshake({Peer, 0}, HelloKind, Nonce);
}

void PeerSessionManager::handshake(Incarnation To, std::uint16_t Kind,
                                   const Hash128 &Nonce) {
  if (this->Handshakes.size() >= MaxHandshakes)
    return;
  PeerFrameHeader Header;
  Header.Kind = Kind;
  Header.Sender = this->Self;
  Header.Recipient = To;
  auto Sealed = sealFrame(Header, encodeMessage(Nonce), this->Keys);
  if (Sealed)
    this->Handshakes.push_back({To.Host, std::move(Sealed).value()});
}

std::vector<HandshakeFrame> PeerSessionManager::takeHandshakes() {
  return std::exchange(this->Handshakes, {});
}

std::optional<std::uint64_t> PeerSessionManager::runOf(HostId Peer) const {
  auto Known = this->Sessions.find(Peer);
  if (Known == this->Sessions.end())
    return std::nullopt;
  return Known->second.Run;
}

} // namespace bergamothook
