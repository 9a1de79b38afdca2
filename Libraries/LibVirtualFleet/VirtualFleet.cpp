#include "LibVirtualFleet/VirtualFleet.h"

namespace bergamothook {

namespace {

constexpr std::size_t FailureDomainCount = 3;
constexpr Duration ShutdownTime = std::chrono::minutes(1);

KeyRing fleetKeys() {
  return KeyRing::parse(R"({"signWith": 1, "keys": {"1": ")" +
                        std::string(64, '7') + "\"}}")
      .value();
}

} // namespace

VirtualFleet::VirtualFleet(std::size_t Hosts, std::uint64_t Seed,
                           FleetNodeLimits Limits)
    : Log({}, Seed), Link(this->Simulated.hooks(), Seed), Generator(Seed),
      Limits(Limits), Nodes(Hosts), Runs(Hosts) {
  this->List.Version = 1;
  for (std::size_t Index = 0; Index < Hosts; ++Index) {
    Member Entry;
    Entry.Name = nameOf(Index);
    Entry.Role = MemberRole::EntryHost;
    Entry.FailureDomain = std::to_string(Index % FailureDomainCount);
    this->List.Members.push_back(Entry);
  }
  this->Link.start();
}

VirtualFleet::~VirtualFleet() {
  for (std::size_t Index = 0; Index < this->size(); ++Index)
    this->killHost(Index);
  this->Simulated.runFor(ShutdownTime);
  this->Link.stop();
  this->Simulated.runFor(ShutdownTime);
}

std::string VirtualFleet::nameOf(std::size_t Index) {
  return "host" + std::to_string(Index);
}

HostId VirtualFleet::idOf(std::size_t Index) {
  return idOfName<HostId>(nameOf(Index));
}

HostRumor VirtualFleet::rumorOf(std::size_t Index) const {
  HostRumor Self;
  Self.Host = idOf(Index);
  Self.Run = this->Runs[Index];
  Self.StartedMilliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          this->Simulated.now().time_since_epoch())
          .count();
  Self.Counter = Self.StartedMilliseconds;
  Self.Domain =
      idOfName<FailureDomainId>(std::to_string(Index % FailureDomainCount));
  Self.Address = "127.0.0.1";
  return Self;
}

FleetNodeHooks VirtualFleet::hooksOf(std::size_t Index) {
  HostId Self = idOf(Index);
  FleetNodeHooks Hooks;
  Hooks.Peers.SendDatagram = [this, Self](HostId To, std::string Bytes) {
    this->Link.sendDatagram(Self, To, std::move(Bytes));
  };
  Hooks.Peers.SendStream = [this, Self](HostId To, std::string Bytes,
                                        TimePoint) -> Result<void> {
    if (!this->Link.sendStream(Self, To, std::move(Bytes)))
      return PeerError::Unreachable;
    return success();
  };
  Hooks.Log =
      makeMemoryLogHooks(this->Log, this->Simulated.hooks(), [this, Index] {
        return this->CutFromLog.contains(Index);
      });
  Hooks.Log.Read =
      [this, Read = Hooks.Log.Read](const std::string &Stream, Offset From,
                                    std::size_t MaxEntries, Duration Wait) {
        ++this->LogReads;
        return Read(Stream, From, MaxEntries, Wait);
      };
  Hooks.List.Read = [this](TimePoint) -> Result<MemberList> {
    return this->List;
  };
  Hooks.Replaced = [this, Index] { this->Replaced.insert(Index); };
  return Hooks;
}

void VirtualFleet::startHost(std::size_t Index) {
  this->killHost(Index);
  this->Runs[Index] = this->Generator.next();
  this->Nodes[Index] = std::make_unique<FleetNode>(
      this->rumorOf(Index), fleetKeys(), this->Simulated.hooks(),
      this->hooksOf(Index), this->Limits, this->Generator.next());
  FleetNode *Node = this->Nodes[Index].get();
  this->Link.attach(
      idOf(Index),
      [Node](HostId, std::string Bytes) {
        Node->peers().receiveFrame(PeerTransport::Datagram, std::move(Bytes));
      },
      [Node](HostId, std::string Bytes) {
        Node->peers().receiveFrame(PeerTransport::Stream, std::move(Bytes));
      });
  Node->start();
}

void VirtualFleet::startAll() {
  for (std::size_t Index = 0; Index < this->size(); ++Index)
    this->startHost(Index);
}

void VirtualFleet::killHost(std::size_t Index) {
  if (!this->Nodes[Index])
    return;
  this->Link.detach(idOf(Index));
  this->Nodes[Index]->stop();
  this->StoppedNodes.push_back(std::move(this->Nodes[Index]));
}

Result<ConfigVerdict> VirtualFleet::publish(std::size_t Index,
                                            const std::string &Edits,
                                            Duration Timeout) {
  ConfigChange Change;
  Change.Id = {Index + 1, ++this->LastChangeId};
  Change.Author = "operator";
  Change.Base = this->node(Index).fold().revision();
  Change.Edits = parseEdits(Edits).value();
  std::optional<Result<ConfigVerdict>> Outcome;
  TimePoint Deadline = this->Simulated.now() + Timeout;
  this->Simulated.hooks().Spawn(
      [&] { Outcome = this->node(Index).publish(Change, Deadline); });
  this->Simulated.runUntil([&] { return Outcome.has_value(); },
                           2 * Timeout + ShutdownTime);
  return *Outcome;
}

bool VirtualFleet::isInForce(Revision Minimum) const {
  for (const auto &Node : this->Nodes)
    if (Node && (!Node->isReady() || Node->fold().revision() < Minimum))
      return false;
  return true;
}

} // namespace bergamothook
