/// \file
/// One host's end of the protocol between hosts, and its tasks.

#ifndef BERGAMOTHOOK_LIBPEER_PEERNODE_H
#define BERGAMOTHOOK_LIBPEER_PEERNODE_H

#include "LibPeer/PeerSessionManager.h"
#include "LibPeer/RefusalCounter.h"
#include "LibTask/Channel.h"

#include <map>

namespace bergamothook {

/// How frames leave this host.
struct PeerHooks {
  /// Sends a datagram that may be lost. Does not block.
  std::function<void(HostId To, std::string Bytes)> SendDatagram;
  /// Sends a frame over the connection to a peer, and opens it if need be.
  /// Blocks the calling task. PeerError::Unreachable: it may have got lost.
  std::function<Result<void>(HostId To, std::string Bytes, TimePoint Deadline)>
      SendStream;
  /// Tells of \p Count refused messages. Called at a bounded rate.
  std::function<void(std::error_code Reason, std::uint64_t Count)> Report;
};

struct PeerNodeLimits {
  PeerSessionLimits Gate;
  /// Frames that wait to be let in.
  std::size_t MaxReceived = 4096;
  /// Messages that wait for the connection to one peer.
  std::size_t MaxQueuedPerPeer = 1024;
  Duration SendTimeout = std::chrono::seconds(2);
  /// How long a message is tried to be sent before it is given up.
  Duration MessageLifetime = std::chrono::seconds(15);
  Duration FirstBackOff = std::chrono::milliseconds(50);
  Duration LongestBackOff = std::chrono::seconds(2);
  Duration ReportInterval = std::chrono::seconds(10);
};

/// Bytes and messages of one host, for metrics.
struct PeerTraffic {
  std::uint64_t DatagramsSent = 0;
  std::uint64_t StreamFramesSent = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t FramesReceived = 0;
  std::uint64_t BytesReceived = 0;
};

/// Sends and receives messages. One task lets frames in, and one task for each
/// peer sends what must arrive. All calls but receiveFrame() come from tasks of
/// one runtime.
class PeerNode {
public:
  /// Takes a message; an error refuses it.
  using Handler = std::function<Result<void>(const Incarnation &Sender,
                                             std::string_view Body)>;

  PeerNode(Incarnation Self, KeyRing Keys, Runtime Tasks, PeerHooks Hooks,
           PeerNodeLimits Limits, std::uint64_t Seed);

  /// Sets what takes messages of the kind \p Kind, FirstMessageKind or above.
  void setHandler(std::uint16_t Kind, Handler Take);

  /// Starts the task that lets frames in.
  void start();
  void stop();

  /// Takes a frame that came in. Any thread may call it; frames beyond the
  /// limit are dropped.
  void receiveFrame(PeerTransport Transport, std::string Bytes);

  /// Sends a message that may be lost. Without a session the handshake is
  /// started and the message is lost.
  void send(HostId To, std::uint16_t Kind, std::string_view Body);

  /// Queues a message that is sent until the connection takes it, or its
  /// lifetime ends. A connection that breaks may still lose it, so that every
  /// protocol asks again for what it misses. PeerError::QueueFull when too much
  /// waits.
  Result<void> sendReliably(HostId To, std::uint16_t Kind, std::string Body);

  /// Puts new keys into force.
  void setKeys(KeyRing Keys) { this->Gate.setKeys(std::move(Keys)); }

  PeerSessionManager &gate() { return this->Gate; }
  const Incarnation &self() const { return this->Self; }
  const RefusalCounter &refusals() const { return this->Refusals; }
  const PeerTraffic &traffic() const { return this->Traffic; }

private:
  struct Received {
    PeerTransport Transport;
    std::string Bytes;
  };

  struct Queued {
    TimePoint GiveUp;
    std::uint16_t Kind;
    std::string Body;
  };

  void receiveLoop();
  void letIn(const Received &Frame);
  void sendLoop(HostId To);
  void sendOne(HostId To, const Queued &Message);
  void sendHandshakes();
  void refuse(std::error_code Reason);

  Incarnation Self;
  Runtime Tasks;
  PeerHooks Hooks;
  PeerNodeLimits Limits;
  Random Dice;
  PeerSessionManager Gate;
  RefusalCounter Refusals;
  PeerTraffic Traffic;
  std::map<std::uint16_t, Handler> Handlers;
  Channel<Received> Inbox;
  /// The queues of the peers that a send task runs for.
  std::map<HostId, std::unique_ptr<Channel<Queued>>> Queues;
  Event SessionStarted;
  bool IsStopping = false;
};

} // namespace bergamothook

#endif
