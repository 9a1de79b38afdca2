#include "LibRelay/CallForwarder.h"

#include "LibNet/NetError.h"

namespace bergamothook::detail {

namespace {

/// A host that is asked costs a round trip.
constexpr unsigned MaxHostsAsked = 4;

} // namespace

AttemptEnd CallForwarder::run() {
  std::set<HostId> Asked;
  while (Asked.size() < MaxHostsAsked) {
    if (this->Caller.HasLeft())
      return AttemptEnd::CallerLeft;
    if (this->now() + MinTimeForSend >= this->Deadline)
      return AttemptEnd::OutOfTime;
    if (this->Caller.isSendGivenUp(this->Deadline, this->Call.mayRepeat()))
      return AttemptEnd::HostStops;
    auto Peer = this->Dispatcher.peers().choose(
        this->Dispatcher.tokens().roster(), Asked, this->now());
    if (!Peer)
      break;
    Asked.insert(*Peer);
    if (auto End = this->askHost(*Peer))
      return *End;
  }
  return AttemptEnd::OutOfReach;
}

std::optional<AttemptEnd> CallForwarder::askHost(HostId Peer) {
  RosterHost Listed = *this->Dispatcher.tokens().roster().find(Peer);
  PeerChooser &Peers = this->Dispatcher.peers();
  /// Counts the call at the host for the duration of a scope.
  struct CountedCall {
    PeerChooser &Peers;
    HostId Peer;
    CountedCall(PeerChooser &Peers, HostId Peer) : Peers(Peers), Peer(Peer) {
      this->Peers.onStarted(this->Peer);
    }
    ~CountedCall() { this->Peers.onEnded(this->Peer); }
  } Counted(Peers, Peer);
  auto Opened =
      this->Hooks.Forward(Listed, this->Call, this->Caller, this->Deadline);
  if (!Opened && Opened.error() == NetError::ConnectFailed) {
    if (!this->Caller.isGivenUp())
      Peers.onLost(Peer, this->now());
    return std::nullopt;
  }
  this->Host = Listed.Name;
  this->MayHaveRun = true;
  if (!Opened)
    return this->endOf(Opened.error());
  PeerExchange &Exchange = Opened.value();
  auto Answer = Exchange.ReadHead(this->Deadline);
  if (!Answer) {
    Exchange.Close();
    AttemptEnd End = this->endOf(Answer.error());
    if (End == AttemptEnd::Lost || End == AttemptEnd::Malformed)
      Peers.onLost(Peer, this->now());
    return End;
  }
  Peers.onVerdict(Peer, Answer.value().Verdict, this->now());
  if (Answer.value().Verdict == PeerVerdict::Took)
    return this->relay(Exchange, std::move(Answer.value().Head));
  Exchange.Close();
  this->Host.clear();
  this->MayHaveRun = false;
  return std::nullopt;
}

AttemptEnd CallForwarder::relay(PeerExchange &Exchange, HttpResponseHead Head) {
  bool IsStream = isEventStream(Head) && this->Call.Head.Method != "HEAD";
  Head.Headers.removeConnectionFields();
  this->Status = Head.Status;
  return IsStream ? this->relayStream(Exchange, std::move(Head))
                  : this->relayBuffered(Exchange, std::move(Head));
}

AttemptEnd CallForwarder::relayBuffered(PeerExchange &Exchange,
                                        HttpResponseHead Head) {
  std::string Body;
  for (bool IsLast = false; !IsLast;) {
    auto Piece = Exchange.ReadBody(this->Deadline);
    if (!Piece || Body.size() + Piece.value().Bytes.size() > MaxBufferedBytes) {
      Exchange.Close();
      return Piece ? AttemptEnd::Malformed : this->endOf(Piece.error());
    }
    if (!this->Memory.resize(Body.size() + Piece.value().Bytes.size())) {
      Exchange.Close();
      return AttemptEnd::OutOfMemory;
    }
    Body += Piece.value().Bytes;
    IsLast = Piece.value().IsLast;
  }
  Exchange.Close();
  auto Sent = this->Caller.SendResponse(Head, Body);
  this->IsAnswered = true;
  return Sent ? AttemptEnd::Done : AttemptEnd::CallerLeft;
}

AttemptEnd CallForwarder::relayStream(PeerExchange &Exchange,
                                      HttpResponseHead Head) {
  for (;;) {
    auto Piece = Exchange.ReadBody(this->Deadline);
    if (!Piece) {
      Exchange.Close();
      return this->endOf(Piece.error());
    }
    // A caller that does not read makes the bytes wait, in the piece and in the
    // chunk that is sent.
    if (!this->Memory.resize(2 * Piece.value().Bytes.size())) {
      Exchange.Close();
      return AttemptEnd::OutOfMemory;
    }
    bool IsWritten = true;
    if (!std::exchange(this->HasStreamStarted, true))
      IsWritten = static_cast<bool>(this->Caller.BeginStream(Head));
    if (IsWritten && !Piece.value().Bytes.empty())
      IsWritten =
          static_cast<bool>(this->Caller.SendChunk(Piece.value().Bytes));
    if (!IsWritten) {
      Exchange.Close();
      return AttemptEnd::CallerLeft;
    }
    if (Piece.value().IsLast) {
      Exchange.Close();
      return this->Caller.EndStream() ? AttemptEnd::Done
                                      : AttemptEnd::CallerLeft;
    }
  }
}

AttemptEnd CallForwarder::endOf(std::error_code Failure) const {
  if (this->Caller.HasLeft())
    return AttemptEnd::CallerLeft;
  return attemptEndOf(Failure);
}

} // namespace bergamothook::detail
