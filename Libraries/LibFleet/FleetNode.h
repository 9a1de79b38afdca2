/// \file
/// What makes a host a member of the fleet: its protocol to other hosts, its
/// membership and its configuration.

#ifndef BERGAMOTHOOK_LIBFLEET_FLEETNODE_H
#define BERGAMOTHOOK_LIBFLEET_FLEETNODE_H

#include "LibConfig/ConfigGossip.h"
#include "LibConfig/ConfigPublisher.h"
#include "LibConfig/ConfigSnapshotLog.h"
#include "LibMembership/Membership.h"
#include "LibPeer/PeerNode.h"

namespace bergamothook {

struct FleetNodeHooks {
  PeerHooks Peers;
  LogHooks Log;
  MembershipHooks List;
  /// Told of each change of the configuration as it is folded.
  ConfigReplica::OnVerdict OnVerdict;
  /// Called when the configuration or the readiness has changed.
  std::function<void()> ConfigChanged;
  /// Called when the members may have changed.
  std::function<void()> MembersChanged;
  /// Called when a later run has taken this host's place.
  std::function<void()> Replaced;
};

struct FleetNodeLimits {
  PeerNodeLimits Peers;
  MembershipLimits Members;
  ConfigGossipLimits Spread;
  /// The time between two states of the configuration that the whole fleet
  /// writes to the log. Far below the time that the log keeps records.
  Duration SnapshotInterval = std::chrono::minutes(10);
};

/// The members of one host's fleet side. All calls come from tasks of one
/// runtime; snapshots may go to any thread.
class FleetNode {
public:
  FleetNode(const HostRumor &Self, KeyRing Keys, const Runtime &Tasks,
            FleetNodeHooks Hooks, const FleetNodeLimits &Limits,
            std::uint64_t Seed);

  void start();

  /// Ends the tasks. They need a few more seconds of the runtime to finish.
  void stop();

  /// Publishes a change, and spreads it once it is read back.
  Result<ConfigVerdict> publish(const ConfigChange &Change, TimePoint Deadline);

  /// Whether the configuration is known well enough to serve.
  bool isReady() const { return this->Spread.isReady(); }

  ConfigSnapshot snapshot() const { return this->Replica.snapshot(); }
  const ConfigFold &fold() const { return this->Replica.fold(); }

  PeerNode &peers() { return this->Peers; }
  Membership &members() { return this->Members; }
  const Membership &members() const { return this->Members; }
  ConfigGossip &spread() { return this->Spread; }
  const ConfigReplica &replica() const { return this->Replica; }

private:
  MembershipTaskHooks membershipHooks(const FleetNodeHooks &Hooks);
  ConfigGossipHooks spreadHooks(const FleetNodeHooks &Hooks);
  void routeMessages();
  void snapshotLoop();

  Runtime Tasks;
  Duration SnapshotInterval;
  Random Dice;
  PeerNode Peers;
  Membership Members;
  ConfigReplica Replica;
  ConfigSnapshotLog Snapshots;
  ConfigLogReader Reader;
  ConfigPublisher Publisher;
  ConfigGossip Spread;
  Event Stopped;
  bool IsStopping = false;
};

} // namespace bergamothook

#endif
