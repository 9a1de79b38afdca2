#include "LibFleet/FleetNode.h"

namespace bergamothook {

namespace {
constexpr Duration SnapshotAppendTimeout = std::chrono::seconds(5);

std::uint16_t numberOf(ConfigMessageKind Kind) {
  return static_cast<std::uint16_t>(Kind);
}

std::uint16_t numberOf(MembershipMessageKind Kind) {
  return static_cast<std::uint16_t>(Kind);
}
} // namespace

FleetNode::FleetNode(const HostRumor &Self, KeyRing Keys, const Runtime &Tasks,
                     FleetNodeHooks Hooks, const FleetNodeLimits &Limits,
                     std::uint64_t Seed)
    : Tasks(Tasks), SnapshotInterval(Limits.SnapshotInterval), Dice(Seed),
      Peers({Self.Host, Self.Run}, std::move(Keys), Tasks, Hooks.Peers,
            Limits.Peers, this->Dice.next()),
      Members(Self, Tasks, this->membershipHooks(Hooks), Limits.Members,
              this->Dice.next()),
      Replica(Hooks.OnVerdict),
      Snapshots(Hooks.Log, Tasks, {Self.Host, Self.Run}),
      Reader(this->Replica, Hooks.Log,
             [this] {
               auto Moved = this->Snapshots.load(this->Replica);
               return Moved && Moved.value();
             }),
      Publisher(this->Replica, this->Reader, Hooks.Log, Tasks,
                {Self.Host, Self.Run}),
      Spread(this->Replica, this->Reader, Tasks, this->spreadHooks(Hooks),
             Limits.Spread, this->Dice.next()) {
  this->routeMessages();
}

MembershipTaskHooks FleetNode::membershipHooks(const FleetNodeHooks &Hooks) {
  MembershipTaskHooks Made;
  Made.Send = [this](HostId To, MembershipMessageKind Kind, std::string Body) {
    this->Peers.send(To, numberOf(Kind), Body);
  };
  Made.SendReliably = [this](HostId To, MembershipMessageKind Kind,
                             std::string Body) {
    // What finds no room is asked for again later.
    (void)this->Peers.sendReliably(To, numberOf(Kind), std::move(Body));
  };
  Made.List = Hooks.List;
  Made.Changed = Hooks.MembersChanged;
  Made.Replaced = Hooks.Replaced;
  return Made;
}

ConfigGossipHooks FleetNode::spreadHooks(const FleetNodeHooks &Hooks) {
  ConfigGossipHooks Made;
  Made.View = [this] { return this->Members.view(); };
  Made.FleetSize = [this] { return this->Members.fleetSize(); };
  Made.Send = [this](HostId To, ConfigMessageKind Kind, std::string Body) {
    this->Peers.send(To, numberOf(Kind), Body);
  };
  Made.SendReliably = [this](HostId To, ConfigMessageKind Kind,
                             std::string Body) {
    (void)this->Peers.sendReliably(To, numberOf(Kind), std::move(Body));
  };
  Made.Changed = Hooks.ConfigChanged;
  return Made;
}

void FleetNode::routeMessages() {
  for (auto Kind : {ConfigMessageKind::Announcement, ConfigMessageKind::Entries,
                    ConfigMessageKind::Request, ConfigMessageKind::StateChunk})
    this->Peers.handle(numberOf(Kind), [this, Kind](const Incarnation &Sender,
                                                    std::string_view Body) {
      return this->Spread.received(Sender.Host, Kind, Body);
    });
  for (auto Kind :
       {MembershipMessageKind::Ping, MembershipMessageKind::Acknowledgement,
        MembershipMessageKind::PingRequest, MembershipMessageKind::TableDigest,
        MembershipMessageKind::Table, MembershipMessageKind::Notices})
    this->Peers.handle(numberOf(Kind), [this, Kind](const Incarnation &Sender,
                                                    std::string_view Body) {
      return this->Members.received(Sender, Kind, Body);
    });
}

void FleetNode::start() {
  this->Peers.start();
  this->Members.start();
  this->Spread.start();
  this->Tasks.Spawn([this] { this->snapshotLoop(); });
}

void FleetNode::stop() {
  this->IsStopping = true;
  this->Stopped.notify();
  this->Spread.stop();
  this->Members.stop();
  this->Peers.stop();
}

Result<ConfigVerdict> FleetNode::publish(const ConfigChange &Change,
                                         TimePoint Deadline) {
  if (!this->isReady())
    return ConfigError::NotReady;
  auto Verdict = this->Publisher.publish(Change, Deadline);
  this->Spread.readLogSoon();
  return Verdict;
}

void FleetNode::snapshotLoop() {
  while (!this->IsStopping) {
    TimePoint Wake =
        this->Tasks.Now() + this->Dice.jitter(this->SnapshotInterval);
    this->Tasks.waitUntil(this->Stopped, Wake,
                          [this] { return this->IsStopping; });
    // Each host writes with the chance of one in the fleet's size, so that the
    // fleet writes about once an interval and nobody is set aside for it.
    bool IsDrawn = this->Dice.below(this->Members.fleetSize()) == 0;
    if (this->IsStopping || !IsDrawn || !this->isReady())
      continue;
    // A state that does not land is written at another time, by any host.
    (void)this->Snapshots.save(this->Replica, SnapshotAppendTimeout);
  }
}

} // namespace bergamothook
