#include "LibPeer/PeerSessionManager.h"

#include "LibPeer/MessageCodec.h"

#include <utility>

namespace bergamothook {

namespace {

constexpr std::uint16_t HelloKind = 1;
constexpr std::uint16_t HelloReplyKind = 2;
constexpr std::size_t MaxEndedRuns = 4096;
constexpr std::size_t MaxQueuedHandshakeFrames = 64;

std::size_t indexOf(PeerTransport Transport) {
  return static_cast<std::size_t>(Transport);
}

} // namespace

PeerSessionManager::PeerSessionManager(Incarnation Self, KeyRing Keys,
                                       PeerSessionLimits Limits,
                                       std::uint64_t Seed)
    : Self(Self), Keys(std::move(Keys)), Limits(Limits), Generator(Seed) {}

Result<std::string> PeerSessionManager::encodeFrame(HostId To,
                                                    PeerTransport Transport,
                                                    std::uint16_t Kind,
                                                    std::string_view Body) {
  auto Found = this->Sessions.find(To);
  if (Found == this->Sessions.end())
    return PeerError::NoSession;
  PeerFrameHeader Header;
  Header.Transport = Transport;
  Header.Kind = Kind;
  Header.Sender = this->Self;
  Header.Recipient = {To, Found->second.Run};
  Header.Sequence = ++Found->second.LastSentSequence[indexOf(Transport)];
  return encodeSignedFrame(Header, Body, this->Keys);
}

Result<std::optional<PeerMessage>>
PeerSessionManager::acceptFrame(std::string_view Bytes, PeerTransport Transport,
                                TimePoint Now) {
  BOOST_OUTCOME_TRY(Frame, decodeSignedFrame(Bytes, Transport, this->Keys));
  const PeerFrameHeader &Header = Frame.Header;
  if (Header.Recipient.Host != this->Self.Host)
    return PeerError::OtherRecipient;
  if (Header.Kind == HelloKind) {
    BOOST_OUTCOME_TRYV(this->handleHello(Frame, Now));
    return std::optional<PeerMessage>();
  }
  BOOST_OUTCOME_TRYV(this->checkRecipient(Header, Now));
  if (Header.Kind == HelloReplyKind) {
    BOOST_OUTCOME_TRYV(this->handleHelloReply(Frame, Now));
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
  // The hello tells the sender the current run of this host.
  if (!this->hasEnded(Header.Sender))
    this->sendHello(Header.Sender.Host, Now);
  return PeerError::EarlierRun;
}

Result<void> PeerSessionManager::checkSender(const PeerFrameHeader &Header,
                                             TimePoint Now) {
  if (this->hasEnded(Header.Sender))
    return PeerError::EndedRun;
  auto Found = this->Sessions.find(Header.Sender.Host);
  if (Found == this->Sessions.end() || Found->second.Run != Header.Sender.Run) {
    this->sendHello(Header.Sender.Host, Now);
    return PeerError::NoSession;
  }
  if (!Found->second.ReplayWindows[indexOf(Header.Transport)].accept(
          Header.Sequence))
    return PeerError::Replayed;
  return success();
}

Result<void> PeerSessionManager::handleHello(const PeerFrame &Frame,
                                             TimePoint Now) {
  const Incarnation &Sender = Frame.Header.Sender;
  BOOST_OUTCOME_TRY(Nonce, decodeMessage<Hash128>(Frame.Body));
  if (this->hasEnded(Sender))
    return PeerError::EndedRun;
  // Replying to a replayed hello is harmless: only the run that sent the hello
  // accepts the reply.
  this->queueHandshakeFrame(Sender, HelloReplyKind, Nonce);
  if (this->runOf(Sender.Host) != Sender.Run)
    this->sendHello(Sender.Host, Now);
  return success();
}

Result<void> PeerSessionManager::handleHelloReply(const PeerFrame &Frame,
                                                  TimePoint Now) {
  const Incarnation &Sender = Frame.Header.Sender;
  BOOST_OUTCOME_TRY(Nonce, decodeMessage<Hash128>(Frame.Body));
  if (this->hasEnded(Sender))
    return PeerError::EndedRun;
  auto Pending = this->PendingHellos.find(Sender.Host);
  if (Pending == this->PendingHellos.end() || Pending->second.Nonce != Nonce ||
      Now - Pending->second.SentAt > this->Limits.HelloTimeout)
    return PeerError::BadHandshake;
  this->PendingHellos.erase(Pending);
  if (this->runOf(Sender.Host) != Sender.Run)
    this->startSession(Sender);
  return success();
}

void PeerSessionManager::startSession(Incarnation Peer) {
  if (auto Run = this->runOf(Peer.Host))
    this->endRun({Peer.Host, *Run});
  Session NewSession;
  NewSession.Run = Peer.Run;
  this->Sessions[Peer.Host] = NewSession;
}

void PeerSessionManager::endRun(Incarnation Peer) {
  if (!this->EndedRuns.insert(Peer).second)
    return;
  this->EndedRunsByAge.push_back(Peer);
  if (this->EndedRunsByAge.size() <= MaxEndedRuns)
    return;
  this->EndedRuns.erase(this->EndedRunsByAge.front());
  this->EndedRunsByAge.pop_front();
}

void PeerSessionManager::endSession(HostId Peer) {
  if (auto Run = this->runOf(Peer))
    this->endRun({Peer, *Run});
  this->Sessions.erase(Peer);
  this->PendingHellos.erase(Peer);
}

void PeerSessionManager::sendHello(HostId Peer, TimePoint Now) {
  auto Pending = this->PendingHellos.find(Peer);
  if (Pending != this->PendingHellos.end() &&
      Now - Pending->second.SentAt < this->Limits.MinHelloInterval)
    return;
  // A pending hello is sent again with the same nonce, so that a reply in
  // flight stays valid.
  Hash128 Nonce =
      Pending != this->PendingHellos.end() &&
              Now - Pending->second.SentAt < this->Limits.HelloTimeout
          ? Pending->second.Nonce
          : this->Generator.next128();
  this->PendingHellos[Peer] = {Nonce, Now};
  this->queueHandshakeFrame({Peer, 0}, HelloKind, Nonce);
}

void PeerSessionManager::queueHandshakeFrame(Incarnation To, std::uint16_t Kind,
                                             const Hash128 &Nonce) {
  if (this->HandshakeFrames.size() >= MaxQueuedHandshakeFrames)
    return;
  PeerFrameHeader Header;
  Header.Kind = Kind;
  Header.Sender = this->Self;
  Header.Recipient = To;
  auto Encoded = encodeSignedFrame(Header, encodeMessage(Nonce), this->Keys);
  if (Encoded)
    this->HandshakeFrames.push_back({To.Host, std::move(Encoded).value()});
}

std::vector<HandshakeFrame> PeerSessionManager::takeHandshakeFrames() {
  return std::exchange(this->HandshakeFrames, {});
}

std::optional<std::uint64_t> PeerSessionManager::runOf(HostId Peer) const {
  auto Found = this->Sessions.find(Peer);
  if (Found == this->Sessions.end())
    return std::nullopt;
  return Found->second.Run;
}

} // namespace bergamothook
