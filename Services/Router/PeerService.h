/// \file
/// Communication with the other hosts: the peer sockets, this host's fleet
/// node, and the messages about request locations and settlements.

#ifndef BERGAMOTHOOK_SERVICES_ROUTER_PEERSERVICE_H
#define BERGAMOTHOOK_SERVICES_ROUTER_PEERSERVICE_H

#include "LibFleet/FleetNode.h"
#include "LibLedger/SettlementNote.h"
#include "LibObserve/Metrics.h"
#include "LibOutcome/RequestLocations.h"
#include "LibPeer/PeerSockets.h"
#include "PeerMessages.h"

namespace bergamothook {

struct PeerSeed {
  HostId Host;
  PeerAddress Address;
};

struct PeerServiceSettings {
  Incarnation Self;
  FailureDomainId Domain;
  PeerAddress Listen;
  std::vector<PeerSeed> Seeds;
  std::string KeyFile;
  /// How long a request waits for the responses to a location query.
  Duration LocateTimeout = std::chrono::milliseconds(20);
  /// Number of hosts that store the location of one request.
  std::size_t LocationReplicaCount = 2;
  Duration KeyCheckInterval = std::chrono::seconds(5);
};

/// Not thread-safe: all calls must come from tasks of one runtime.
class PeerService {
public:
  PeerService(PeerServiceSettings Settings, KeyRing Keys, const Runtime &Tasks,
              LogHooks Log, MembershipHooks List, Metrics &Stats,
              std::uint64_t Seed);

  /// Binds the port and starts the tasks.
  Result<void> start();
  void leave() { this->Fleet.members().leave(); }
  void stop();

  /// \returns the node that handles membership and configuration.
  FleetNode &fleet() { return this->Fleet; }
  const FleetNode &fleet() const { return this->Fleet; }

  /// Sends the target that runs \p Request to its location replicas.
  void recordLocation(RequestId Request, TargetId Target);

  /// Asks the location replicas of \p Request which target runs it. Blocks the
  /// calling task for at most LocateTimeout.
  std::optional<TargetId> locate(RequestId Request);

  /// Chooses a live host as witness, in this host's failure domain if
  /// \p IsOwnDomain is set and in another one otherwise. Keeps \p Current while
  /// it is alive. \returns this host itself if there is no candidate.
  Incarnation chooseWitness(Incarnation Current, bool IsOwnDomain) const;

  void sendSettlementNote(Incarnation Witness, const SettlementNote &Note);

  /// Handles settlement notes from other hosts. The result is sent back to the
  /// sender.
  std::function<Result<NoteAcknowledgement>(const SettlementNote &)>
      OnSettlementNote;
  std::function<void(const NoteAcknowledgement &)> OnAcknowledgement;

  /// Called after each accepted configuration change.
  std::function<void(const ConfigSnapshot &)> OnConfiguration;

  /// Called when a later process has replaced this one on the same host.
  std::function<void()> OnReplaced;

  void updateMetrics();

private:
  HostRumor selfRumor() const;
  PeerSocketHooks socketHooks();
  PeerHooks nodeHooks();
  FleetNodeHooks fleetHooks(LogHooks Log, MembershipHooks List);
  void logConfigVerdict(RecordId Change, const ConfigVerdict &Verdict);
  std::optional<PeerAddress> addressOf(HostId Host) const;
  std::vector<LocationReplica> liveHosts() const;
  std::vector<HostId> locationReplicasOf(RequestId Request) const;
  void registerSettlementHandlers();
  void registerLocationHandlers();
  void respondToQuery(HostId Requester, const LocationQuery &Query);
  void watchKeyFile();

  PeerServiceSettings Settings;
  Runtime Tasks;
  Metrics &Stats;
  PeerSockets Sockets;
  FleetNode Fleet;
  RequestLocations Locations;
  std::uint64_t LastQuery = 0;
  /// Responses received for each pending query, by query number.
  std::map<std::uint64_t, std::vector<LocationResponse>> PendingQueries;
  Event ResponseReceived;
  bool IsStopping = false;
};

/// Reads the keys of the peer protocol from \p File.
Result<KeyRing> readKeyFile(const std::string &File);

} // namespace bergamothook

#endif
