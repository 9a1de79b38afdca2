/// \file
/// This host's place among the others: who is there, and what hosts tell one
/// another about requests and settlements.

#ifndef BERGAMOTHOOK_SERVICES_ROUTER_PEERDESK_H
#define BERGAMOTHOOK_SERVICES_ROUTER_PEERDESK_H

#include "LibLedger/SettlementNote.h"
#include "LibMembership/Membership.h"
#include "LibObserve/Metrics.h"
#include "LibOutcome/RequestNotes.h"
#include "LibPeer/PeerSockets.h"
#include "PeerMessages.h"

namespace bergamothook {

struct PeerSeed {
  HostId Host;
  PeerAddress At;
};

struct PeerDeskSettings {
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
class PeerDesk {
public:
  PeerDesk(PeerDeskSettings Settings, KeyRing Keys, const Runtime &Tasks,
           MembershipHooks List, Metrics &Measured, std::uint64_t Seed);

  /// Takes the port and starts the tasks.
  Result<void> start();
  void leave() { this->Members.leave(); }
  void stop();

  /// Sends small messages that may be lost, and such that must arrive.
  PeerNode &node() { return this->Node; }
  Membership &members() { return this->Members; }

  /// Tells the keepers of \p Request which target runs it.
  void note(RequestId Request, TargetId Target);

  /// Asks the keepers of \p Request which target runs it. Blocks the calling
  /// task for at most LocateTimeout.
  std::optional<TargetId> locate(RequestId Request);

  /// Names a live host of another failure domain, \p Present while it is one;
  /// this host itself when there is none.
  Incarnation chooseWitness(Incarnation Present) const;

  void sendSettlementNote(Incarnation Witness, const SettlementNote &Note);

  /// Takes the notes of other hosts; the acknowledgement goes back.
  std::function<Result<NoteAcknowledgement>(const SettlementNote &)>
      OnSettlementNote;
  std::function<void(const NoteAcknowledgement &)> OnAcknowledgement;

  /// Called when a later run has taken this host's place.
  std::function<void()> OnReplaced;

  void writeMetrics();

private:
  HostRumor selfRumor() const;
  PeerSocketHooks socketHooks();
  PeerHooks nodeHooks();
  MembershipTaskHooks membershipHooks(MembershipHooks List);
  std::optional<PeerAddress> addressOf(HostId Host) const;
  std::vector<NoteKeeper> presentHosts() const;
  std::vector<HostId> keepersOf(RequestId Request) const;
  void registerHandlers();
  void registerNoteHandlers();
  void answerQuery(HostId Asking, const RequestQuery &Query);
  void watchKeyFile();

  PeerDeskSettings Settings;
  Runtime Tasks;
  Metrics &Measured;
  PeerSockets Sockets;
  PeerNode Node;
  Membership Members;
  RequestNotes Notes;
  std::uint64_t LastQuery = 0;
  /// What the keepers answered to the queries that still wait.
  std::map<std::uint64_t, std::vector<RequestNoteAnswer>> Answers;
  Event Answered;
  bool IsStopping = false;
};

/// Reads the keys of the hosts' protocol from their file.
Result<KeyRing> readKeyFile(const std::string &File);

} // namespace bergamothook

#endif
