#include "LibFleet/FleetNode.h"

namespace bergamothook {

namespace {
constexpr Duration SnapshotAppendTimeout = std::chrono::seconds(5);

std::uint16_t toWireKind(ConfigMessageKind Kind) {
  return static_cast<std::uint16_t>(Kind);
}

std::uint16_t toWireKind(MembershipMessageKind Kind) {
  return static_cast<std::uint16_t>(Kind);
}
} // namespace

FleetNode::FleetNode(const HostRumor &Self, KeyRing Keys, const Runtime &Tasks,
                     FleetNodeHooks Hooks, const FleetNodeLimits &Limits,
                     std::uint64_t Seed)
    : Tasks(Tasks), SnapshotInterval(Limits.SnapshotInterval), Generator(Seed),
      Peers({Self.Host, Self.Run}, std::move(Keys), Tasks, Hooks.Peers,
            Limits.Peers, this->Generator.next()),
      Members(Self, Tasks, this->membershipHooks(Hooks), Limits.Members,
              this->Generator.next()),
      Replica(Hooks.OnVerdict),
      Snapshots(Hooks.Log, Tasks, {Self.Host, Self.Run}),
      Reader(this->Replica, Hooks.Log,
             [this] {
               auto Loaded = this->Snapshots.load(this->Replica);
               return Loaded && Loaded.value();
             }),
      Publisher(this->Replica, this->Reader, Hooks.Log, Tasks,
                {Self.Host, Self.Run}),
      Gossip(this->Replica, this->Reader, Tasks, this->gossipHooks(Hooks),
             Limits.Gossip, this->Generator.next()) {
  this->registerHandlers();
}

MembershipTaskHooks FleetNode::membershipHooks(const FleetNodeHooks &Hooks) {
  MembershipTaskHooks MemberHooks;
  MemberHooks.Send = [this](HostId To, MembershipMessageKind Kind,
                            std::string Body) {
    this->Peers.send(To, toWireKind(Kind), Body);
  };
  MemberHooks.SendReliably = [this](HostId To, MembershipMessageKind Kind,
                                    std::string Body) {
    // A message that a full send queue drops is requested again later.
    (void)this->Peers.sendReliably(To, toWireKind(Kind), std::move(Body));
  };
  MemberHooks.List = Hooks.List;
  MemberHooks.Changed = Hooks.MembersChanged;
  MemberHooks.Replaced = Hooks.Replaced;
  return MemberHooks;
}

ConfigGossipHooks FleetNode::gossipHooks(const FleetNodeHooks &Hooks) {
  ConfigGossipHooks GossipHooks;
  GossipHooks.View = [this] { return this->Members.view(); };
  GossipHooks.FleetSize = [this] { return this->Members.fleetSize(); };
  GossipHooks.Send = [this](HostId To, ConfigMessageKind Kind,
                            std::string Body) {
    this->Peers.send(To, toWireKind(Kind), Body);
  };
  GossipHooks.SendReliably = [this](HostId To, ConfigMessageKind Kind,
                                    std::string Body) {
    (void)this->Peers.sendReliably(To, toWireKind(Kind), std::move(Body));
  };
  GossipHooks.Changed = Hooks.ConfigChanged;
  return GossipHooks;
}

void FleetNode::registerHandlers() {
  for (auto Kind : {ConfigMessageKind::Announcement, ConfigMessageKind::Entries,
                    ConfigMessageKind::Request, ConfigMessageKind::StateChunk})
    this->Peers.setHandler(
        toWireKind(Kind),
        [this, Kind](const Incarnation &Sender, std::string_view Body) {
          return this->Gossip.received(Sender.Host, Kind, Body);
        });
  for (auto Kind :
       {MembershipMessageKind::Ping, MembershipMessageKind::Acknowledgement,
        MembershipMessageKind::PingRequest, MembershipMessageKind::TableDigest,
        MembershipMessageKind::Table, MembershipMessageKind::Notices})
    this->Peers.setHandler(
        toWireKind(Kind),
        [this, Kind](const Incarnation &Sender, std::string_view Body) {
          return this->Members.handleMessage(Sender, Kind, Body);
        });
}

void FleetNode::start() {
  this->Peers.start();
  this->Members.start();
  this->Gossip.start();
  this->Tasks.Spawn([this] { this->snapshotLoop(); });
}

void FleetNode::stop() {
  this->IsStopping = true;
  this->StopRequested.notify();
  this->Gossip.stop();
  this->Members.stop();
  this->Peers.stop();
}

Result<ConfigVerdict> FleetNode::publish(const ConfigChange &Change,
                                         TimePoint Deadline) {
  if (!this->isReady())
    return ConfigError::NotReady;
  auto Verdict = this->Publisher.publish(Change, Deadline);
  this->Gossip.readLogSoon();
  return Verdict;
}

void FleetNode::snapshotLoop() {
  while (!this->IsStopping) {
    TimePoint Wake =
        this->Tasks.Now() + this->Generator.jitter(this->SnapshotInterval);
    this->Tasks.waitUntil(this->StopRequested, Wake,
                          [this] { return this->IsStopping; });
    // Each host writes with the probability 1 / fleet size, so that the fleet
    // writes about one snapshot per interval without electing a leader.
    bool IsSelected = this->Generator.below(this->Members.fleetSize()) == 0;
    if (this->IsStopping || !IsSelected || !this->isReady())
      continue;
    // A failed append is not retried: some host writes a snapshot in a later
    // interval.
    (void)this->Snapshots.save(this->Replica, SnapshotAppendTimeout);
  }
}

} // namespace bergamothook
