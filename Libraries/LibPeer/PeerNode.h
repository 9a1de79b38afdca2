/// \file
/// One host's endpoint of the protocol between hosts, and its tasks.

#ifndef BERGAMOTHOOK_LIBPEER_PEERNODE_H
#define BERGAMOTHOOK_LIBPEER_PEERNODE_H

#include "LibPeer/PeerSessionManager.h"
#include "LibPeer/RefusalCounter.h"
#include "LibTask/Channel.h"

#include <map>

namespace bergamothook {

/// Sends frames and reports refusals.
struct PeerHooks {
  /// Sends a datagram that may be lost. Does not block.
  std::function<void(HostId To, std::string Bytes)> SendDatagram;
  /// Sends a frame over the connection to a peer, and connects first if
  /// necessary. Blocks the calling task. After PeerError::Unreachable the frame
  /// may or may not have been delivered.
  std::function<Result<void>(HostId To, std::string Bytes, TimePoint Deadline)>
      SendStream;
  /// Reports \p Count refused messages. Called at a bounded rate.
  std::function<void(std::error_code Reason, std::uint64_t Count)> Report;
};

struct PeerNodeLimits {
  PeerSessionLimits Sessions;
  /// Received frames that wait to be processed.
  std::size_t MaxReceivedFrames = 4096;
  /// Messages in the send queue of one peer.
  std::size_t MaxQueuedMessagesPerPeer = 1024;
  Duration SendTimeout = std::chrono::seconds(2);
  /// How long a message is retried before it is dropped.
  Duration MessageLifetime = std::chrono::seconds(15);
  Duration InitialBackOff = std::chrono::milliseconds(50);
  Duration MaxBackOff = std::chrono::seconds(2);
  Duration ReportInterval = std::chrono::seconds(10);
};

/// Traffic counters of one host, for metrics.
struct PeerTraffic {
  std::uint64_t DatagramsSent = 0;
  std::uint64_t StreamFramesSent = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t FramesReceived = 0;
  std::uint64_t BytesReceived = 0;
};

/// Sends and receives messages. One task processes received frames, and one
/// task for each peer sends its queued messages. All functions but
/// receiveFrame() must be called from tasks of one runtime.
class PeerNode {
public:
  /// Handles a message. An error counts the message as refused.
  using Handler = std::function<Result<void>(const Incarnation &Sender,
                                             std::string_view Body)>;

  PeerNode(Incarnation Self, KeyRing Keys, Runtime Tasks, PeerHooks Hooks,
           PeerNodeLimits Limits, std::uint64_t Seed);

  /// Sets the handler for messages of kind \p Kind, which is FirstMessageKind
  /// or above.
  void setHandler(std::uint16_t Kind, Handler Callback);

  /// Starts the task that processes received frames.
  void start();
  void stop();

  /// Queues a received frame for processing. Any thread may call this. Frames
  /// beyond MaxReceivedFrames are dropped.
  void receiveFrame(PeerTransport Transport, std::string Bytes);

  /// Sends a message that may be lost. Without a session, drops the message and
  /// starts the handshake.
  void send(HostId To, std::uint16_t Kind, std::string_view Body);

  /// Queues a message and retries it until it is written to the connection or
  /// its lifetime ends. A message is still lost if the connection breaks
  /// afterwards, so each protocol must request missing data again. Fails with
  /// PeerError::QueueFull when the send queue of the peer is full.
  Result<void> sendReliably(HostId To, std::uint16_t Kind, std::string Body);

  /// Replaces the keys.
  void setKeys(KeyRing Keys) { this->Sessions.setKeys(std::move(Keys)); }

  PeerSessionManager &sessions() { return this->Sessions; }
  const Incarnation &self() const { return this->Self; }
  const RefusalCounter &refusals() const { return this->Refusals; }
  const PeerTraffic &traffic() const { return this->Traffic; }

private:
  struct ReceivedFrame {
    PeerTransport Transport;
    std::string Bytes;
  };

  struct QueuedMessage {
    TimePoint Deadline;
    std::uint16_t Kind;
    std::string Body;
  };

  void receiveLoop();
  void processFrame(const ReceivedFrame &Frame);
  void sendLoop(HostId To);
  void sendWithRetries(HostId To, const QueuedMessage &Message);
  void sendHandshakes();
  void recordRefusal(std::error_code Reason);

  Incarnation Self;
  Runtime Tasks;
  PeerHooks Hooks;
  PeerNodeLimits Limits;
  Random Generator;
  PeerSessionManager Sessions;
  RefusalCounter Refusals;
  PeerTraffic Traffic;
  std::map<std::uint16_t, Handler> Handlers;
  Channel<ReceivedFrame> Inbox;
  /// The send queue of each peer. Each has a running send task.
  std::map<HostId, std::unique_ptr<Channel<QueuedMessage>>> Queues;
  Event SessionStarted;
  bool IsStopping = false;
};

} // namespace bergamothook

#endif
