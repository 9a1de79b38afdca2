/// \file
/// This host's place among the others: its sockets, its node of the fleet, and
/// what hosts tell one another about requests and settlements.

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
  PeerAddress At;
};

struct PeerServiceSettings {
  Incarnation Self;
  FailureDomainId Domain;
  PeerAddress Listen;
  std::vector<PeerSeed> Seeds;
  std::string KeyFile;
  /// How long a request waits to hear whether another host has it.
  Duration LocateTimeout = std::chrono::milliseconds(20);
  /// How many hosts keep the note of one request.
  std::size_t NoteKeepers = 2;
  Duration KeyCheckInterval = std::chrono::seconds(5);
};

/// All calls come from tasks of one runtime.
class PeerService {
public:
  PeerService(PeerServiceSettings Settings, KeyRing Keys, const Runtime &Tasks,
              LogHooks Log, MembershipHooks List, Metrics &Measured,
              std::uint64_t Seed);

  /// Takes the port and starts the tasks.
  Result<void> start();
  void leave() { this->Fleet.members().leave(); }
  void stop();

  /// The host's membership and configuration.
  FleetNode &fleet() { return this->Fleet; }
  const FleetNode &fleet() const { return this->Fleet; }

  /// Tells the keepers of \p Request which target runs it.
  void note(RequestId Request, TargetId Target);

  /// Asks the keepers of \p Request which target runs it. Blocks the calling
  /// task for at most LocateTimeout.
  std::optional<TargetId> locate(RequestId Request);

  /// Names a live host of another failure domain, or of this one, \p Present
  /// while it lives; this host itself when there is none.
  Incarnation chooseWitness(Incarnation Present, bool IsOwnDomain) const;

  void sendSettlementNote(Incarnation Witness, const SettlementNote &Note);

  /// Takes the notes of other hosts; the acknowledgement goes back.
  std::function<Result<NoteAcknowledgement>(const SettlementNote &)>
      OnSettlementNote;
  std::function<void(const NoteAcknowledgement &)> OnAcknowledgement;

  /// Called after each accepted change of the configuration.
  std::function<void(const ConfigSnapshot &)> OnConfiguration;

  /// Called when a later run has taken this host's place.
  std::function<void()> OnReplaced;

  void writeMetrics();

private:
  HostRumor selfRumor() const;
  PeerSocketHooks socketHooks();
  PeerHooks nodeHooks();
  FleetNodeHooks fleetHooks(LogHooks Log, MembershipHooks List);
  void takeVerdict(RecordId Change, const ConfigVerdict &Verdict);
  std::optional<PeerAddress> addressOf(HostId Host) const;
  std::vector<LocationReplica> presentHosts() const;
  std::vector<HostId> keepersOf(RequestId Request) const;
  void registerSettlementHandlers();
  void registerNoteHandlers();
  void answerQuery(HostId Asking, const LocationQuery &Query);
  void watchKeyFile();

  PeerServiceSettings Settings;
  Runtime Tasks;
  Metrics &Measured;
  PeerSockets Sockets;
  FleetNode Fleet;
  RequestLocations Notes;
  std::uint64_t LastQuery = 0;
  /// What the keepers answered to the queries that still wait.
  std::map<std::uint64_t, std::vector<LocationResponse>> Answers;
  Event Answered;
  bool IsStopping = false;
};

/// Reads the keys of the hosts' protocol from their file.
Result<KeyRing> readKeyFile(const std::string &File);

} // namespace bergamothook

#endif
