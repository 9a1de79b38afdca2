/// \file
/// Brings each host's configuration up to date, through other hosts and with
/// the log as a check.

#ifndef BERGAMOTHOOK_LIBCONFIG_CONFIGGOSSIP_H
#define BERGAMOTHOOK_LIBCONFIG_CONFIGGOSSIP_H

#include "LibBase/Random.h"
#include "LibConfig/ConfigLogReader.h"
#include "LibConfig/StateAssembler.h"
#include "LibTask/Runtime.h"

#include <unordered_map>

namespace bergamothook {

struct ConfigGossipHooks {
  /// The hosts that this host talks to at present: a bounded partial view.
  std::function<std::vector<HostId>()> View;
  /// The number of live hosts, which share the reads of the log.
  std::function<std::size_t()> FleetSize;
  /// Sends a small message that may be lost.
  std::function<void(HostId, ConfigMessageKind, std::string)> Send;
  /// Sends a message over a connection.
  std::function<void(HostId, ConfigMessageKind, std::string)> SendReliably;
  /// Called after a change of the position or of the readiness.
  std::function<void()> Changed;
};

struct ConfigGossipLimits {
  /// How long new entries wait for others before they are passed on.
  Duration PushDelay = std::chrono::milliseconds(20);
  /// How many hosts of the view get new entries at once; the others are told
  /// of them, and ask if they still need them.
  std::size_t EagerPeers = 3;
  std::size_t MaxEagerBytes = 1100;
  std::size_t MaxEntriesBytes = 60 * 1024;
  Duration AnnounceInterval = std::chrono::seconds(1);
  /// The least time between two requests for entries, so that a host that is
  /// far behind gets them from one host only.
  Duration RequestInterval = std::chrono::milliseconds(100);
  /// The reads of the log by the whole fleet, a second.
  double FleetReadsPerSecond = 10;
  Duration ShortestReadInterval = std::chrono::seconds(1);
  /// How long a start waits for answers of the hosts of the view while the log
  /// is down.
  Duration StartPatience = std::chrono::seconds(2);
};

/// The tasks that spread the configuration of one host. A position only moves
/// on; a host is ready once it is as far as the log, or, with the log down, as
/// far as every host of the view that answered.
class ConfigGossip {
public:
  ConfigGossip(ConfigReplica &Replica, ConfigLogReader &Reader, Runtime Tasks,
               ConfigGossipHooks Hooks, ConfigGossipLimits Limits,
               std::uint64_t Seed);

  /// Starts the tasks.
  void start();
  void stop();

  /// Whether this host may serve.
  bool isReady() const { return this->IsReady; }

  /// Reads the log at once, for one that has just appended to it.
  void readLogSoon();

  /// Takes a message of another host; one that is malformed is an error.
  Result<void> received(HostId Sender, ConfigMessageKind Kind,
                        std::string_view Body);

  /// Where each host said that it is, for `--wait`.
  const std::unordered_map<HostId, ConfigPosition> &peers() const {
    return this->PeerPositions;
  }

  /// How often a host at the same offset had another digest.
  std::uint64_t divergences() const { return this->Divergences; }

private:
  void logLoop();
  void pushLoop();
  void announceLoop();
  void startLoop();
  Duration readInterval() const;
  void advanced();
  void becomeReady();
  bool knowsAllThatPeersKnow() const;
  void push();
  void announceTo(HostId Peer, bool WantsAnswer);
  void request(HostId Peer);
  void sendMissing(HostId Peer, Offset From);
  void takeAnnouncement(HostId Sender, const ConfigAnnouncement &Told);
  void takeEntries(HostId Sender, const ConfigEntries &Given);
  void takeChunk(HostId Sender, const ConfigStateChunk &Part);

  ConfigReplica &Replica;
  ConfigLogReader &Reader;
  Runtime Tasks;
  ConfigGossipHooks Hooks;
  ConfigGossipLimits Limits;
  Random Dice;
  StateAssembler Assembler;
  std::unordered_map<HostId, ConfigPosition> PeerPositions;
  TimePoint NextRequest{};
  /// The ready hosts that answered since the start.
  std::unordered_map<HostId, Offset> StartAnswers;
  Offset Pushed;
  Event Advanced;
  Event ReadWanted;
  bool IsReadWanted = false;
  bool IsReady = false;
  bool IsStopping = false;
  std::uint64_t Divergences = 0;
};

} // namespace bergamothook

#endif
