/// \file
/// Decides which messages of other hosts are let in.

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

/// A message that was let in.
struct PeerMessage {
  Incarnation Sender;
  std::uint16_t Kind = 0;
  std::string Body;
};

/// A frame of a handshake that is to be sent as a datagram.
struct HandshakeFrame {
  HostId To;
  std::string Bytes;
};

/// The kinds below this one belong to the handshake.
constexpr std::uint16_t FirstMessageKind = 16;

struct PeerSessionLimits {
  /// The least time between two questions to one peer.
  Duration HelloInterval = std::chrono::milliseconds(100);
  /// How long an answer may take.
  Duration HelloLifetime = std::chrono::seconds(5);
};

/// Keeps one session with each peer: the run that the peer proved to be in by
/// answering a fresh random number, and the frames received from it. A frame
/// names the runs of both ends, so that nothing recorded in an earlier run of
/// either is let in. Neither clocks nor an order of runs are relied upon.
class PeerSessionManager {
public:
  PeerSessionManager(Incarnation Self, KeyRing Keys, PeerSessionLimits Limits,
                     std::uint64_t Seed);

  /// Puts new keys into force.
  void setKeys(KeyRing New) { this->Keys = std::move(New); }

  /// Makes a frame for \p To. PeerError::NoSession before the handshake.
  Result<std::string> seal(HostId To, PeerTransport Transport,
                           std::uint16_t Kind, std::string_view Body);

  /// Lets a frame in or refuses it. Nothing comes out for the handshake's own
  /// frames.
  Result<std::optional<PeerMessage>>
  open(std::string_view Bytes, PeerTransport Transport, TimePoint Now);

  /// Asks \p Peer for its run, unless it was asked just now.
  void greet(HostId Peer, TimePoint Now);

  /// Takes the frames that greet() and open() have made.
  std::vector<HandshakeFrame> takeHandshakes();

  /// The run of \p Peer that there is a session with.
  std::optional<std::uint64_t> runOf(HostId Peer) const;

  /// Ends the run of a peer that has left the fleet for good. A session can't
  /// be dropped while its run may still be alive, since the numbers received
  /// are what tells a replay.
  void forget(HostId Peer);

  std::size_t sessions() const { return this->Sessions.size(); }

private:
  struct Session {
    std::uint64_t Run = 0;
    ReplayWindow Received[PeerTransportCount];
    std::uint64_t Sent[PeerTransportCount] = {};
  };

  struct Question {
    Hash128 Nonce;
    TimePoint At{};
  };

  Result<void> checkRecipient(const PeerFrameHeader &Header, TimePoint Now);
  Result<void> checkSender(const PeerFrameHeader &Header, TimePoint Now);
  Result<void> answerHello(const PeerFrame &Frame, TimePoint Now);
  Result<void> takeAnswer(const PeerFrame &Frame, TimePoint Now);
  void startSession(Incarnation Peer);
  bool hasEnded(Incarnation Peer) const { return this->Ended.contains(Peer); }
  void endRun(Incarnation Peer);
  void handshake(Incarnation To, std::uint16_t Kind, const Hash128 &Nonce);

  Incarnation Self;
  KeyRing Keys;
  PeerSessionLimits Limits;
  Random Dice;
  std::unordered_map<HostId, Session> Sessions;
  std::unordered_map<HostId, Question> Questions;
  /// Runs that a later one has replaced, oldest first.
  std::deque<Incarnation> EndedInOrder;
  std::unordered_set<Incarnation> Ended;
  std::vector<HandshakeFrame> Handshakes;
};

} // namespace bergamothook

#endif
