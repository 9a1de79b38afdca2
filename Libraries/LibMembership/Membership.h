/// \file
/// The tasks by which a host watches others and hears who is leaving.

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
  /// Sends a small message that may be lost.
  std::function<void(HostId, MembershipMessageKind, std::string)> Send;
  /// Sends a message over a connection.
  std::function<void(HostId, MembershipMessageKind, std::string)> SendReliably;
  /// Reads the platform's list.
  MembershipHooks List;
  /// Called when the members may have changed.
  std::function<void()> Changed;
  /// Called when a later run has taken this host's place.
  std::function<void()> Replaced;
};

struct MembershipLimits {
  HostTableLimits Table;
  PartialViewLimits View;
  /// The time between two probes by this host.
  Duration ProbeInterval = std::chrono::milliseconds(500);
  Duration AcknowledgeTimeout = std::chrono::milliseconds(300);
  /// The hosts that are asked to probe one that did not answer.
  std::size_t IndirectProbes = 3;
  Duration IndirectTimeout = std::chrono::milliseconds(600);
  /// One probe in this many goes to a host that is held for dead, so that the
  /// sides of a partition find each other again.
  std::uint64_t ProbesPerDeadProbe = 8;
  std::size_t RumorsPerMessage = 8;
  /// How often the random part of the view is drawn anew.
  Duration ViewRound = std::chrono::seconds(10);
  Duration TableInterval = std::chrono::seconds(10);
  Duration ListInterval = std::chrono::seconds(2);
  /// The reads of the platform's list by the whole fleet, a second.
  double FleetListReadsPerSecond = 20;
  Duration NoticeLifetime = std::chrono::minutes(3);
};

/// Watches the hosts of a bounded view, passes on what others saw, and joins
/// that with the platform's list.
class Membership {
public:
  /// \p Self states this host's run, domain and address.
  Membership(HostRumor Self, Runtime Tasks, MembershipTaskHooks Hooks,
             MembershipLimits Limits, std::uint64_t Seed);

  /// Starts the tasks.
  void start();
  void stop();

  /// Tells the others that this host is about to stop.
  void leave();

  /// Passes on that \p Target is leaving, as this host has just heard.
  void noteLeaving(TargetId Target);

  /// Takes a message of another host; one that is malformed is an error.
  Result<void> received(const Incarnation &Sender, MembershipMessageKind Kind,
                        std::string_view Body);

  /// The hosts to talk to.
  std::vector<HostId> view();

  /// The number of hosts that are not dead, with this one.
  std::size_t fleetSize() const { return this->Table.present().size() + 1; }

  /// The list joined with what is known otherwise.
  std::vector<Member> members() const;

  bool isLeaving(TargetId Target) const {
    return this->Notices.isLeaving(Target, this->Tasks.Now());
  }

  const HostTable &table() const { return this->Table; }
  /// Tells whether the platform's list was read at least once.
  bool hasList() const { return this->HasList; }

private:
  void probeLoop();
  void tableLoop();
  void listLoop();
  void expireLoop();
  void probe(HostId Host);
  std::optional<HostId> nextToProbe();
  bool waitForAnswer(std::uint64_t Sequence, Duration Patience);
  void sendProbe(HostId To, MembershipMessageKind Kind, std::uint64_t Sequence);
  void sendTable(HostId To, bool WantsAnswer);
  void sendNotices(HostId To, bool WantsAnswer);
  void takeProbe(const Incarnation &Sender, const ProbeMessage &Message);
  void takeRumors(const std::vector<HostRumor> &Rumors);
  void takeTable(HostId Sender, const TableMessage &Message);
  void takeNotices(HostId Sender, const NoticesMessage &Message);
  void probeFor(HostId Asking, const PingRequest &Request);
  void spreadNotices();
  void changed();

  Runtime Tasks;
  MembershipTaskHooks Hooks;
  MembershipLimits Limits;
  Random Dice;
  HostTable Table;
  TargetNotices Notices;
  RumorQueue Queue;
  MemberList List;
  bool HasList = false;
  std::vector<HostId> CachedView;
  std::optional<std::uint64_t> CachedRound;
  std::vector<HostId> ProbeOrder;
  std::uint64_t Probes = 0;
  std::uint64_t LastSequence = 0;
  /// Probes that wait for an answer, and those that got one.
  std::set<std::uint64_t> Open;
  std::set<std::uint64_t> Answered;
  Event AnswerCame;
  bool IsStopping = false;
};

} // namespace bergamothook

#endif
