/// \file
/// Authenticated sessions with other hosts, and protection against replay.

#ifndef BERGAMOTHOOK_LIBPEER_PEERSESSIONMANAGER_H
#define BERGAMOTHOOK_LIBPEER_PEERSESSIONMANAGER_H

#include "LibBase/Random.h"
#include "LibPeer/PeerError.h"
#include "LibPeer/PeerFrame.h"
#include "LibPeer/ReplayWindow.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace bergamothook {

/// A message that passed all checks.
struct PeerMessage {
  Incarnation Sender;
  std::uint16_t Kind = 0;
  std::string Body;
};

/// A handshake frame to send as a datagram.
struct HandshakeFrame {
  HostId To;
  std::string Bytes;
};

/// The message kinds below this one are reserved for the handshake.
constexpr std::uint16_t FirstMessageKind = 16;

struct PeerSessionLimits {
  /// The minimum time between two hellos to one peer.
  Duration MinHelloInterval = std::chrono::milliseconds(100);
  /// How long a hello waits for its reply.
  Duration HelloTimeout = std::chrono::seconds(5);
};

/// Keeps one session with each peer: the run that the peer proved by replying
/// to a fresh nonce, and the sequence numbers received from it. A frame names
/// the runs of both ends, so that a frame recorded in an earlier run of either
/// is refused. Relies neither on synchronized clocks nor on an order of runs.
class PeerSessionManager {
public:
  PeerSessionManager(Incarnation Self, KeyRing Keys, PeerSessionLimits Limits,
                     std::uint64_t Seed);

  /// Replaces the keys.
  void setKeys(KeyRing NewKeys) { this->Keys = std::move(NewKeys); }

  /// Encodes a frame for \p To. Fails with PeerError::NoSession before the
  /// handshake.
  Result<std::string> encodeFrame(HostId To, PeerTransport Transport,
                                  std::uint16_t Kind, std::string_view Body);

  /// Accepts or refuses a received frame. \returns no message for handshake
  /// frames.
  Result<std::optional<PeerMessage>>
  acceptFrame(std::string_view Bytes, PeerTransport Transport, TimePoint Now);

  /// Asks \p Peer for its run, at most once per MinHelloInterval.
  void sendHello(HostId Peer, TimePoint Now);

  /// Removes and returns the frames that sendHello() and acceptFrame() queued.
  std::vector<HandshakeFrame> takeHandshakeFrames();

  /// The run of \p Peer in the current session, if there is one.
  std::optional<std::uint64_t> runOf(HostId Peer) const;

  /// Ends the session with a peer that has left the fleet permanently. A
  /// session must be kept while the peer's run may still be alive, since
  /// replays are detected by the sequence numbers received in it.
  void endSession(HostId Peer);

  std::size_t sessionCount() const { return this->Sessions.size(); }

private:
  struct Session {
    std::uint64_t Run = 0;
    ReplayWindow ReplayWindows[PeerTransportCount];
    std::uint64_t LastSentSequence[PeerTransportCount] = {};
  };

  struct PendingHello {
    Hash128 Nonce;
    TimePoint SentAt{};
  };

  Result<void> checkRecipient(const PeerFrameHeader &Header, TimePoint Now);
  Result<void> checkSender(const PeerFrameHeader &Header, TimePoint Now);
  Result<void> handleHello(const PeerFrame &Frame, TimePoint Now);
  Result<void> handleHelloReply(const PeerFrame &Frame, TimePoint Now);
  void startSession(Incarnation Peer);
  bool hasEnded(Incarnation Peer) const {
    return this->EndedRuns.contains(Peer);
  }
  void endRun(Incarnation Peer);
  void queueHandshakeFrame(Incarnation To, std::uint16_t Kind,
                           const Hash128 &Nonce);

  Incarnation Self;
  KeyRing Keys;
  PeerSessionLimits Limits;
  Random Generator;
  std::unordered_map<HostId, Session> Sessions;
  std::unordered_map<HostId, PendingHello> PendingHellos;
  /// The ended runs in the order in which they ended, oldest first.
  std::deque<Incarnation> EndedRunsByAge;
  std::unordered_set<Incarnation> EndedRuns;
  std::vector<HandshakeFrame> HandshakeFrames;
};

} // namespace bergamothook

#endif
