#include "LibPeer/PeerNode.h"

#include <algorithm>

namespace bergamothook {

namespace {
constexpr Duration StopCheckInterval = std::chrono::seconds(1);
} // namespace

PeerNode::PeerNode(Incarnation Self, KeyRing Keys, Runtime Tasks,
                   PeerHooks Hooks, PeerNodeLimits Limits, std::uint64_t Seed)
    : Self(Self), Tasks(std::move(Tasks)), Hooks(std::move(Hooks)),
      Limits(Limits), Generator(Seed),
      Sessions(Self, std::move(Keys), Limits.Sessions, this->Generator.next()),
      Refusals(Limits.ReportInterval), Inbox(Limits.MaxReceivedFrames) {}

void PeerNode::setHandler(std::uint16_t Kind, Handler Callback) {
  this->Handlers[Kind] = std::move(Callback);
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
    auto Frame =
        this->Inbox.pop(this->Tasks, this->Tasks.Now() + StopCheckInterval);
    if (Frame)
      this->processFrame(*Frame);
  }
}

void PeerNode::processFrame(const ReceivedFrame &Frame) {
  ++this->Traffic.FramesReceived;
  this->Traffic.BytesReceived += Frame.Bytes.size();
  std::size_t SessionCountBefore = this->Sessions.sessionCount();
  auto Message = this->Sessions.acceptFrame(Frame.Bytes, Frame.Transport,
                                            this->Tasks.Now());
  this->sendHandshakes();
  if (this->Sessions.sessionCount() != SessionCountBefore)
    this->SessionStarted.notify();
  if (!Message) {
    this->recordRefusal(Message.error());
    return;
  }
  if (!Message.value())
    return;
  const PeerMessage &Accepted = *Message.value();
  auto Found = this->Handlers.find(Accepted.Kind);
  if (Found == this->Handlers.end()) {
    this->recordRefusal(PeerError::UnknownKind);
    return;
  }
  auto Handled = Found->second(Accepted.Sender, Accepted.Body);
  if (!Handled)
    this->recordRefusal(Handled.error());
}

void PeerNode::recordRefusal(std::error_code Reason) {
  auto Count = this->Refusals.count(Reason, this->Tasks.Now());
  if (Count && this->Hooks.Report)
    this->Hooks.Report(Reason, *Count);
}

void PeerNode::sendHandshakes() {
  for (auto &Frame : this->Sessions.takeHandshakeFrames()) {
    ++this->Traffic.DatagramsSent;
    this->Traffic.BytesSent += Frame.Bytes.size();
    this->Hooks.SendDatagram(Frame.To, std::move(Frame.Bytes));
  }
}

void PeerNode::send(HostId To, std::uint16_t Kind, std::string_view Body) {
  auto Frame =
      this->Sessions.encodeFrame(To, PeerTransport::Datagram, Kind, Body);
  if (Frame) {
    ++this->Traffic.DatagramsSent;
    this->Traffic.BytesSent += Frame.value().size();
    this->Hooks.SendDatagram(To, std::move(Frame).value());
    return;
  }
  if (Frame.error() != PeerError::NoSession) {
    this->recordRefusal(Frame.error());
    return;
  }
  this->Sessions.sendHello(To, this->Tasks.Now());
  this->sendHandshakes();
}

Result<void> PeerNode::sendReliably(HostId To, std::uint16_t Kind,
                                    std::string Body) {
  auto &Queue = this->Queues[To];
  if (!Queue) {
    Queue = std::make_unique<Channel<QueuedMessage>>(
        this->Limits.MaxQueuedMessagesPerPeer);
    this->Tasks.Spawn([this, To] { this->sendLoop(To); });
  }
  TimePoint Deadline = this->Tasks.Now() + this->Limits.MessageLifetime;
  if (!Queue->push({Deadline, Kind, std::move(Body)}))
    return PeerError::QueueFull;
  return success();
}

void PeerNode::sendLoop(HostId To) {
  Channel<QueuedMessage> &Queue = *this->Queues[To];
  while (!this->IsStopping) {
    auto Message =
        Queue.pop(this->Tasks, this->Tasks.Now() + StopCheckInterval);
    if (Message)
      this->sendWithRetries(To, *Message);
  }
}

void PeerNode::sendWithRetries(HostId To, const QueuedMessage &Message) {
  Duration BackOff = this->Limits.InitialBackOff;
  while (!this->IsStopping && this->Tasks.Now() < Message.Deadline) {
    TimePoint Now = this->Tasks.Now();
    // The frame is encoded again for each attempt, since the peer may have
    // restarted in the meantime.
    auto Frame = this->Sessions.encodeFrame(To, PeerTransport::Stream,
                                            Message.Kind, Message.Body);
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
      this->Sessions.sendHello(To, Now);
      this->sendHandshakes();
    } else {
      this->recordRefusal(Frame.error());
      return;
    }
    TimePoint Wake = this->Tasks.Now() + this->Generator.jitter(BackOff);
    this->Tasks.waitUntil(this->SessionStarted, Wake, [&] {
      return this->IsStopping ||
             (!HasSession && this->Sessions.runOf(To).has_value());
    });
    BackOff = std::min(2 * BackOff, this->Limits.MaxBackOff);
  }
}

} // namespace bergamothook
