/// \file
/// The tasks for failure detection and for gossip about leaving members.

#ifndef BERGAMOTHOOK_LIBMEMBERSHIP_MEMBERSHIP_H
#define BERGAMOTHOOK_LIBMEMBERSHIP_MEMBERSHIP_H

#include "LibBase/Random.h"
#include "LibMembership/JoinedMembers.h"
#include "LibMembership/MembershipMessages.h"
#include "LibMembership/PartialView.h"
#include "LibMembership/RumorQueue.h"
#include "LibTask/Runtime.h"

#include <set>
#include <string_view>

namespace bergamothook {

struct MembershipTaskHooks {
  /// Sends a datagram, which may be lost.
  std::function<void(HostId, MembershipMessageKind, std::string)> Send;
  /// Sends a message over a connection.
  std::function<void(HostId, MembershipMessageKind, std::string)> SendReliably;
  /// Reads the platform's member list.
  MembershipHooks List;
  /// Called when the members may have changed.
  std::function<void()> Changed;
  /// Called when a later run has replaced this one.
  std::function<void()> Replaced;
};

struct MembershipLimits {
  HostTableLimits Table;
  PartialViewLimits View;
  /// The mean time between two probes by this host.
  Duration ProbeInterval = std::chrono::milliseconds(500);
  Duration AcknowledgeTimeout = std::chrono::milliseconds(300);
  /// The number of hosts that are asked to probe a host that did not answer.
  std::size_t IndirectProbes = 3;
  Duration IndirectTimeout = std::chrono::milliseconds(600);
  /// One probe in this many goes to a dead host, so that the sides of a
  /// partition rejoin after it heals.
  std::uint64_t ProbesPerDeadProbe = 8;
  std::size_t RumorsPerMessage = 8;
  /// How often the random peers of the view are replaced.
  Duration ViewRound = std::chrono::seconds(10);
  Duration TableInterval = std::chrono::seconds(10);
  Duration ListInterval = std::chrono::seconds(2);
  /// Reads of the platform's list per second by the whole fleet. Each host
  /// reads less often in a larger fleet, and at most about once per
  /// ListInterval.
  double FleetListReadsPerSecond = 20;
  Duration NoticeLifetime = std::chrono::minutes(3);
};

/// Probes the hosts of a bounded partial view, gossips about the states of
/// hosts and targets, and joins the result with the platform's list.
class Membership {
public:
  /// \p Self contains this host's run, failure domain and address.
  Membership(HostRumor Self, Runtime Tasks, MembershipTaskHooks Hooks,
             MembershipLimits Limits, std::uint64_t Seed);

  void start();
  void stop();

  /// Notifies the other hosts that this host is about to stop.
  void leave();

  /// Records that \p Target is leaving and notifies the other hosts.
  void noteLeaving(TargetId Target);

  /// Handles a message from another host. Fails with PeerError::Malformed if it
  /// can't be decoded.
  Result<void> handleMessage(const Incarnation &Sender,
                             MembershipMessageKind Kind, std::string_view Body);

  /// The peers of this host: the partial view for the current round.
  std::vector<HostId> view();

  /// The number of hosts that are not dead, including this one.
  std::size_t fleetSize() const { return this->Table.present().size() + 1; }

  /// The platform's list joined with the table and the notices.
  std::vector<Member> members() const;

  bool isLeaving(TargetId Target) const {
    return this->Notices.isLeaving(Target, this->Tasks.Now());
  }

  const HostTable &table() const { return this->Table; }
  /// Whether the platform's list has been read at least once.
  bool hasList() const { return this->HasList; }

private:
  void probeLoop();
  void tableLoop();
  void listLoop();
  void expireLoop();
  void probe(HostId Host);
  std::optional<HostId> nextToProbe();
  bool waitForAnswer(std::uint64_t Sequence, Duration Timeout);
  void sendProbe(HostId To, MembershipMessageKind Kind, std::uint64_t Sequence);
  void sendTable(HostId To, bool WantsAnswer);
  void sendNotices(HostId To, bool WantsAnswer);
  void handleProbe(const Incarnation &Sender, const ProbeMessage &Message);
  void applyRumors(const std::vector<HostRumor> &Rumors);
  void handleTable(HostId Sender, const TableMessage &Message);
  void handleNotices(HostId Sender, const NoticesMessage &Message);
  void probeOnBehalfOf(HostId Requester, const PingRequest &Request);
  void gossipNotices();
  void notifyChanged();

  Runtime Tasks;
  MembershipTaskHooks Hooks;
  MembershipLimits Limits;
  Random Generator;
  HostTable Table;
  TargetNotices Notices;
  RumorQueue Queue;
  MemberList List;
  bool HasList = false;
  std::vector<HostId> CachedView;
  std::optional<std::uint64_t> CachedRound;
  std::vector<HostId> ProbeOrder;
  std::uint64_t ProbeCount = 0;
  std::uint64_t LastSequence = 0;
  /// The sequence numbers of the probes in progress, and of those that were
  /// answered.
  std::set<std::uint64_t> PendingProbes;
  std::set<std::uint64_t> AnsweredProbes;
  Event ProbeAnswered;
  bool IsStopping = false;
};

} // namespace bergamothook

#endif
