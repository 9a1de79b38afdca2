/// \file
/// One host's part in the fleet: the protocol between hosts, the membership and
/// the configuration.

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
  /// Called with the verdict on each configuration change when it is applied.
  ConfigReplica::OnVerdict OnVerdict;
  /// Called when the configuration or isReady() has changed.
  std::function<void()> ConfigChanged;
  /// Called when the members may have changed.
  std::function<void()> MembersChanged;
  /// Called when a later run has replaced this one.
  std::function<void()> Replaced;
};

struct FleetNodeLimits {
  PeerNodeLimits Peers;
  MembershipLimits Members;
  ConfigGossipLimits Gossip;
  /// The mean time between two configuration snapshots that the whole fleet
  /// writes to the log. Must be far below the retention time of the log.
  Duration SnapshotInterval = std::chrono::minutes(10);
};

/// Owns and connects the components above. All functions must be called from
/// tasks of one runtime. The returned snapshots may be used on any thread.
class FleetNode {
public:
  FleetNode(const HostRumor &Self, KeyRing Keys, const Runtime &Tasks,
            FleetNodeHooks Hooks, const FleetNodeLimits &Limits,
            std::uint64_t Seed);

  void start();

  /// Stops the tasks. The runtime must run for a few more seconds until they
  /// have ended.
  void stop();

  /// Publishes a configuration change, which spreads to the other hosts once it
  /// has been read back from the log. Fails with ConfigError::NotReady before
  /// isReady().
  Result<ConfigVerdict> publish(const ConfigChange &Change, TimePoint Deadline);

  /// Whether this host's configuration is recent enough to serve requests.
  bool isReady() const { return this->Gossip.isReady(); }

  ConfigSnapshot snapshot() const { return this->Replica.snapshot(); }
  const ConfigFold &fold() const { return this->Replica.fold(); }

  PeerNode &peers() { return this->Peers; }
  Membership &members() { return this->Members; }
  const Membership &members() const { return this->Members; }
  ConfigGossip &gossip() { return this->Gossip; }
  const ConfigReplica &replica() const { return this->Replica; }

private:
  MembershipTaskHooks membershipHooks(const FleetNodeHooks &Hooks);
  ConfigGossipHooks gossipHooks(const FleetNodeHooks &Hooks);
  void registerHandlers();
  void snapshotLoop();

  Runtime Tasks;
  Duration SnapshotInterval;
  Random Generator;
  PeerNode Peers;
  Membership Members;
  ConfigReplica Replica;
  ConfigSnapshotLog Snapshots;
  ConfigLogReader Reader;
  ConfigPublisher Publisher;
  ConfigGossip Gossip;
  Event StopRequested;
  bool IsStopping = false;
};

} // namespace bergamothook

#endif
