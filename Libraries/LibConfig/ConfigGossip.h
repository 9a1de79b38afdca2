/// \file
/// Replicates the configuration between hosts by gossip, with periodic reads of
/// the log.

#ifndef BERGAMOTHOOK_LIBCONFIG_CONFIGGOSSIP_H
#define BERGAMOTHOOK_LIBCONFIG_CONFIGGOSSIP_H

#include "LibBase/Random.h"
#include "LibConfig/ConfigLogReader.h"
#include "LibConfig/StateAssembler.h"
#include "LibTask/Runtime.h"

#include <unordered_map>

namespace bergamothook {

struct ConfigGossipHooks {
  /// The current gossip peers: a bounded partial view of the fleet.
  std::function<std::vector<HostId>()> View;
  /// The number of live hosts, among which the log reads are divided.
  std::function<std::size_t()> FleetSize;
  /// Sends a small message without delivery guarantee.
  std::function<void(HostId, ConfigMessageKind, std::string)> Send;
  /// Sends a message over a connection.
  std::function<void(HostId, ConfigMessageKind, std::string)> SendReliably;
  /// Called after the position or the readiness has changed.
  std::function<void()> Changed;
};

struct ConfigGossipLimits {
  /// How long new entries wait for more entries before they are pushed.
  Duration PushDelay = std::chrono::milliseconds(20);
  /// The number of peers to which new entries are pushed. The other peers only
  /// receive an announcement, and request the entries if they need them.
  std::size_t EagerPeers = 3;
  std::size_t MaxEagerBytes = 1100;
  std::size_t MaxEntriesBytes = 60 * 1024;
  Duration AnnounceInterval = std::chrono::seconds(1);
  /// The minimum time between two requests for entries, so that a host that is
  /// far behind receives them from one host only.
  Duration RequestInterval = std::chrono::milliseconds(100);
  /// The total rate of log reads by the whole fleet.
  double FleetReadsPerSecond = 10;
  Duration MinReadInterval = std::chrono::seconds(1);
  /// How long a starting host waits for responses of further peers after the
  /// first one while the log is unavailable.
  Duration StartTimeout = std::chrono::seconds(2);
};

/// The gossip tasks of one host. The position of a host never moves backward. A
/// host is ready once it has read the log to its end, or, while the log is
/// unavailable, once it is as far as every ready peer that responded.
class ConfigGossip {
public:
  ConfigGossip(ConfigReplica &Replica, ConfigLogReader &Reader, Runtime Tasks,
               ConfigGossipHooks Hooks, ConfigGossipLimits Limits,
               std::uint64_t Seed);

  void start();
  void stop();

  /// Whether this host may serve requests.
  bool isReady() const { return this->IsReady; }

  /// Wakes the log reader, for a caller that has just appended to the log.
  void readLogSoon();

  /// Handles a message from another host. \returns an error if it is malformed.
  Result<void> received(HostId Sender, ConfigMessageKind Kind,
                        std::string_view Body);

  /// The last announced position of each host, for `--wait`.
  const std::unordered_map<HostId, ConfigPosition> &peers() const {
    return this->PeerPositions;
  }

  /// How often a host at the same offset announced another digest or
  /// revision.
  std::uint64_t divergences() const { return this->Divergences; }

private:
  void logLoop();
  void pushLoop();
  void announceLoop();
  void startLoop();
  Duration readInterval() const;
  void notifyIfAdvanced();
  void markReady();
  bool hasCaughtUpWithPeers() const;
  void push();
  void announceTo(HostId Peer, bool WantsResponse);
  void request(HostId Peer);
  void sendMissing(HostId Peer, Offset From);
  void handleAnnouncement(HostId Sender,
                          const ConfigAnnouncement &Announcement);
  void handleEntries(HostId Sender, const ConfigEntries &Message);
  void handleChunk(HostId Sender, const ConfigStateChunk &Chunk);

  ConfigReplica &Replica;
  ConfigLogReader &Reader;
  Runtime Tasks;
  ConfigGossipHooks Hooks;
  ConfigGossipLimits Limits;
  Random Rng;
  StateAssembler Assembler;
  std::unordered_map<HostId, ConfigPosition> PeerPositions;
  TimePoint NextRequest{};
  /// The positions of the ready hosts that responded since the start.
  std::unordered_map<HostId, Offset> StartResponses;
  Offset PushedUpTo;
  Event Advanced;
  Event ReadRequested;
  bool IsReadRequested = false;
  bool IsReady = false;
  bool IsStopping = false;
  std::uint64_t Divergences = 0;
};

} // namespace bergamothook

#endif
