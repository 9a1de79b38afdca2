#include "LibPeer/PeerNode.h"

#include <algorithm>

namespace bergamothook {

namespace {
constexpr Duration IdleWait = std::chrono::seconds(1);
} // namespace

PeerNode::PeerNode(Incarnation Self, KeyRing Keys, Runtime Tasks,
                   PeerHooks Hooks, PeerNodeLimits Limits, std::uint64_t Seed)
    : Self(Self), Tasks(std::move(Tasks)), Hooks(std::move(Hooks)),
      Limits(Limits), Dice(Seed),
      Gate(Self, std::move(Keys), Limits.Gate, this->Dice.next()),
      Refusals(Limits.ReportInterval), Inbox(Limits.MaxReceived) {}

void PeerNode::setHandler(std::uint16_t Kind, Handler Take) {
  this->Handlers[Kind] = std::move(Take);
}

void PeerNode::start() {
  this->Tasks.Spawn([this] { this->receiveLoop(); });
}

void PeerNode::stop() {
  this->IsStopping = true;
  this->Inbox.close();
  for (auto &[Peer, Queue] : this->Queues)
    Queue->close();
  this->SessionStarted.notify();
}

void PeerNode::receiveFrame(PeerTransport Transport, std::string Bytes) {
  (void)this->Inbox.push({Transport, std::move(Bytes)});
}

void PeerNode::receiveLoop() {
  while (!this->IsStopping) {
    auto Frame = this->Inbox.pop(this->Tasks, this->Tasks.Now() + IdleWait);
    if (Frame)
      this->letIn(*Frame);
  }
}

void PeerNode::letIn(const Received &Frame) {
  ++this->Traffic.FramesReceived;
  this->Traffic.BytesReceived += Frame.Bytes.size();
  std::size_t SessionsBefore = this->Gate.sessions();
  auto Message =
      this->Gate.open(Frame.Bytes, Frame.Transport, this->Tasks.Now());
  this->sendHandshakes();
  if (this->Gate.sessions() != SessionsBefore)
    this->SessionStarted.notify();
  if (!Message) {
    this->refuse(Message.error());
    return;
  }
  if (!Message.value())
    return;
  const PeerMessage &Known = *Message.value();
  auto Taker = this->Handlers.find(Known.Kind);
  if (Taker == this->Handlers.end()) {
    this->refuse(PeerError::UnknownKind);
    return;
  }
  auto Taken = Taker->second(Known.Sender, Known.Body);
  if (!Taken)
    this->refuse(Taken.error());
}

void PeerNode::refuse(std::error_code Reason) {
  auto Count = this->Refusals.count(Reason, this->Tasks.Now());
  if (Count && this->Hooks.Report)
    this->Hooks.Report(Reason, *Count);
}

void PeerNode::sendHandshakes() {
  for (auto &Frame : this->Gate.takeHandshakes()) {
    ++this->Traffic.DatagramsSent;
    this->Traffic.BytesSent += Frame.Bytes.size();
    this->Hooks.SendDatagram(Frame.To, std::move(Frame.Bytes));
  }
}

void PeerNode::send(HostId To, std::uint16_t Kind, std::string_view Body) {
  auto Frame = this->Gate.seal(To, PeerTransport::Datagram, Kind, Body);
  if (Frame) {
    ++this->Traffic.DatagramsSent;
    this->Traffic.BytesSent += Frame.value().size();
    this->Hooks.SendDatagram(To, std::move(Frame).value());
    return;
  }
  if (Frame.error() != PeerError::NoSession) {
    this->refuse(Frame.error());
    return;
  }
  this->Gate.greet(To, this->Tasks.Now());
  this->sendHandshakes();
}

Result<void> PeerNode::sendReliably(HostId To, std::uint16_t Kind,
                                    std::string Body) {
  auto &Queue = this->Queues[To];
  if (!Queue) {
    Queue = std::make_unique<Channel<Queued>>(this->Limits.MaxQueuedPerPeer);
    this->Tasks.Spawn([this, To] { this->sendLoop(To); });
  }
  TimePoint GiveUp = this->Tasks.Now() + this->Limits.MessageLifetime;
  if (!Queue->push({GiveUp, Kind, std::move(Body)}))
    return PeerError::QueueFull;
  return success();
}

void PeerNode::sendLoop(HostId To) {
  Channel<Queued> &Queue = *this->Queues[To];
  while (!this->IsStopping) {
    auto Message = Queue.pop(this->Tasks, this->Tasks.Now() + IdleWait);
    if (Message)
      this->sendOne(To, *Message);
  }
}

void PeerNode::sendOne(HostId To, const Queued &Message) {
  Duration BackOff = this->Limits.FirstBackOff;
  while (!this->IsStopping && this->Tasks.Now() < Message.GiveUp) {
    TimePoint Now = this->Tasks.Now();
    // A frame is sealed anew for each attempt, since the peer may have started
    // again meanwhile.
    auto Frame =
        this->Gate.seal(To, PeerTransport::Stream, Message.Kind, Message.Body);
    bool HasSession = Frame.has_value();
    if (HasSession) {
      std::size_t Bytes = Frame.value().size();
      auto Sent = this->Hooks.SendStream(To, std::move(Frame).value(),
                                         Now + this->Limits.SendTimeout);
      if (Sent) {
        ++this->Traffic.StreamFramesSent;
        this->Traffic.BytesSent += Bytes;
        return;
      }
    } else if (Frame.error() == PeerError::NoSession) {
      this->Gate.greet(To, Now);
      this->sendHandshakes();
    } else {
      this->refuse(Frame.error());
      return;
    }
    TimePoint Wake = this->Tasks.Now() + this->Dice.jitter(BackOff);
    this->Tasks.waitUntil(this->SessionStarted, Wake, [&] {
      return this->IsStopping ||
             (!HasSession && this->Gate.runOf(To).has_value());
    });
    BackOff = std::min(2 * BackOff, this->Limits.LongestBackOff);
  }
}

} // namespace bergamothook
