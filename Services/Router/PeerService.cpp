#include "PeerService.h"

#include "LibObserve/StructuredLog.h"
#include "LibPeer/MessageCodec.h"
#include "LibSettings/SettingsFile.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

std::uint16_t toNumber(RequestMessageKind Kind) {
  return static_cast<std::uint16_t>(Kind);
}

} // namespace

Result<KeyRing> readKeyFile(const std::string &File) {
  auto Text = readSecretFile(File);
  if (!Text)
    return PeerError::BadKeyFile;
  return KeyRing::parse(Text.value());
}

PeerService::PeerService(PeerServiceSettings InitialSettings, KeyRing Keys,
                         const Runtime &Tasks, LogHooks Log,
                         MembershipHooks List, Metrics &Stats,
                         std::uint64_t Seed)
    : Settings(std::move(InitialSettings)), Tasks(Tasks), Stats(Stats),
      Sockets(this->Settings.Listen, Tasks, this->socketHooks()),
      Fleet(this->selfRumor(), std::move(Keys), Tasks,
            this->fleetHooks(std::move(Log), std::move(List)), {}, Seed),
      Locations({}) {
  this->registerSettlementHandlers();
  this->registerLocationHandlers();
}

HostRumor PeerService::selfRumor() const {
  HostRumor Self;
  Self.Host = this->Settings.Self.Host;
  Self.Run = this->Settings.Self.Run;
  auto Started = readWallClock().time_since_epoch().count();
  Self.StartedMilliseconds = static_cast<std::uint64_t>(Started);
  Self.Counter = Self.StartedMilliseconds;
  Self.Domain = this->Settings.Domain;
  Self.Address = this->Settings.Listen.Address;
  Self.Port = this->Settings.Listen.Port;
  return Self;
}

PeerSocketHooks PeerService::socketHooks() {
  PeerSocketHooks Hooks;
  Hooks.Receive = [this](PeerTransport Transport, std::string Bytes) {
    this->Fleet.peers().receiveFrame(Transport, std::move(Bytes));
  };
  Hooks.Locate = [this](HostId Host) { return this->addressOf(Host); };
  return Hooks;
}

PeerHooks PeerService::nodeHooks() {
  PeerHooks Hooks;
  Hooks.SendDatagram = [this](HostId Destination, const std::string &Bytes) {
    this->Sockets.sendDatagram(Destination, Bytes);
  };
  Hooks.SendStream = [this](HostId Destination, std::string Bytes,
                            TimePoint Deadline) {
    return this->Sockets.sendStream(Destination, std::move(Bytes), Deadline);
  };
  Hooks.Report = [](std::error_code Reason, std::uint64_t Count) {
    logEvent(LogLevel::Warning, "peer_messages_refused",
             {{"reason", Reason.message()}, {"count", Count}});
  };
  return Hooks;
}

FleetNodeHooks PeerService::fleetHooks(LogHooks Log, MembershipHooks List) {
  FleetNodeHooks Hooks;
  Hooks.Peers = this->nodeHooks();
  Hooks.Log = std::move(Log);
  Hooks.List = std::move(List);
  Hooks.OnVerdict = [this](RecordId Change, const ConfigVerdict &Verdict) {
    this->logConfigVerdict(Change, Verdict);
  };
  Hooks.ConfigChanged = [this] {
    if (this->OnConfiguration)
      this->OnConfiguration(this->Fleet.snapshot());
  };
  Hooks.MembersChanged = [] {};
  Hooks.Replaced = [this] {
    logEvent(LogLevel::Error, "replaced_by_later_run", {});
    if (this->OnReplaced)
      this->OnReplaced();
  };
  return Hooks;
}

void PeerService::logConfigVerdict(RecordId Change,
                                   const ConfigVerdict &Verdict) {
  logEvent(LogLevel::Info, "configuration_change",
           {{"change", toHex(Change)},
            {"is_accepted", Verdict.IsAccepted},
            {"revision", Verdict.At.Value}});
}

std::optional<PeerAddress> PeerService::addressOf(HostId Host) const {
  auto Entry = this->Fleet.members().table().find(Host);
  if (Entry && Entry->Port != 0)
    return PeerAddress{Entry->Address, Entry->Port};
  for (const Member &ListedHost : this->Fleet.members().members())
    if (ListedHost.Role == MemberRole::EntryHost &&
        idOfName<HostId>(ListedHost.Name) == Host)
      return PeerAddress{ListedHost.Address, ListedHost.Port};
  for (const PeerSeed &Seed : this->Settings.Seeds)
    if (Seed.Host == Host)
      return Seed.Address;
  return std::nullopt;
}

void PeerService::registerSettlementHandlers() {
  this->Fleet.peers().setHandler(
      toNumber(RequestMessageKind::SettlementNote),
      [this](const Incarnation &Sender, std::string_view Body) -> Result<void> {
        BOOST_OUTCOME_TRY(Note, decodeMessage<SettlementNote>(Body));
        auto Acknowledgement = this->OnSettlementNote(Note);
        if (Acknowledgement)
          this->Fleet.peers().send(
              Sender.Host, toNumber(RequestMessageKind::Acknowledgement),
              encodeMessage(Acknowledgement.value()));
        return success();
      });
  this->Fleet.peers().setHandler(
      toNumber(RequestMessageKind::Acknowledgement),
      [this](const Incarnation &, std::string_view Body) -> Result<void> {
        BOOST_OUTCOME_TRY(Acknowledgement,
                          decodeMessage<NoteAcknowledgement>(Body));
        this->OnAcknowledgement(Acknowledgement);
        return success();
      });
}

void PeerService::registerLocationHandlers() {
  this->Fleet.peers().setHandler(
      toNumber(RequestMessageKind::LocationNote),
      [this](const Incarnation &, std::string_view Body) -> Result<void> {
        BOOST_OUTCOME_TRY(Note, decodeMessage<LocationNote>(Body));
        this->Locations.record(Note.Request, Note.Target, this->Tasks.Now());
        return success();
      });
  this->Fleet.peers().setHandler(
      toNumber(RequestMessageKind::LocationQuery),
      [this](const Incarnation &Sender, std::string_view Body) -> Result<void> {
        BOOST_OUTCOME_TRY(Query, decodeMessage<LocationQuery>(Body));
        this->respondToQuery(Sender.Host, Query);
        return success();
      });
  this->Fleet.peers().setHandler(
      toNumber(RequestMessageKind::LocationResponse),
      [this](const Incarnation &, std::string_view Body) -> Result<void> {
        BOOST_OUTCOME_TRY(Response, decodeMessage<LocationResponse>(Body));
        auto Pending = this->PendingQueries.find(Response.Number);
        if (Pending == this->PendingQueries.end())
          return success();
        Pending->second.push_back(Response);
        this->ResponseReceived.notify();
        return success();
      });
}

Result<void> PeerService::start() {
  BOOST_OUTCOME_TRYV(this->Sockets.start());
  this->Fleet.start();
  this->Tasks.Spawn([this] { this->watchKeyFile(); });
  return success();
}

void PeerService::stop() {
  this->IsStopping = true;
  this->Fleet.stop();
}

void PeerService::watchKeyFile() {
  while (!this->IsStopping) {
    this->Tasks.sleepUntil(this->Tasks.Now() + this->Settings.KeyCheckInterval);
    auto Keys = readKeyFile(this->Settings.KeyFile);
    // The file may be unreadable while it is being replaced; keep the current
    // keys.
    if (Keys)
      this->Fleet.peers().setKeys(std::move(Keys.value()));
  }
}

std::vector<LocationReplica> PeerService::liveHosts() const {
  std::vector<LocationReplica> Hosts;
  for (const HostRumor &Other : this->Fleet.members().table().present())
    if (Other.State == HostState::Alive)
      Hosts.push_back({Other.Host, Other.Domain});
  Hosts.push_back({this->Settings.Self.Host, this->Settings.Domain});
  return Hosts;
}

std::vector<HostId> PeerService::locationReplicasOf(RequestId Request) const {
  return chooseLocationReplicas(Request, this->liveHosts(),
                                this->Settings.LocationReplicaCount);
}

void PeerService::recordLocation(RequestId Request, TargetId Target) {
  this->Locations.record(Request, Target, this->Tasks.Now());
  std::string Body = encodeMessage(LocationNote{Request, Target});
  for (HostId Replica : this->locationReplicasOf(Request))
    if (Replica != this->Settings.Self.Host)
      this->Fleet.peers().send(
          Replica, toNumber(RequestMessageKind::LocationNote), Body);
}

void PeerService::respondToQuery(HostId Requester, const LocationQuery &Query) {
  auto Location = this->Locations.find(Query.Request, this->Tasks.Now());
  LocationResponse Response{Query.Number, Location.has_value(),
                            Location.value_or(TargetId{})};
  this->Fleet.peers().send(Requester,
                           toNumber(RequestMessageKind::LocationResponse),
                           encodeMessage(Response));
}

std::optional<TargetId> PeerService::locate(RequestId Request) {
  auto Location = this->Locations.find(Request, this->Tasks.Now());
  if (Location)
    return Location;
  std::uint64_t Number = ++this->LastQuery;
  std::string Body = encodeMessage(LocationQuery{Number, Request});
  std::size_t RequestsSent = 0;
  for (HostId Replica : this->locationReplicasOf(Request)) {
    if (Replica == this->Settings.Self.Host)
      continue;
    this->Fleet.peers().send(Replica,
                             toNumber(RequestMessageKind::LocationQuery), Body);
    ++RequestsSent;
  }
  auto &Responses = this->PendingQueries[Number];
  auto IsDecided = [&Responses, RequestsSent] {
    return Responses.size() >= RequestsSent ||
           std::ranges::any_of(Responses, &LocationResponse::IsKnown);
  };
  this->Tasks.waitUntil(this->ResponseReceived,
                        this->Tasks.Now() + this->Settings.LocateTimeout,
                        IsDecided);
  for (const LocationResponse &Response : Responses)
    if (Response.IsKnown)
      Location = Response.Target;
  this->PendingQueries.erase(Number);
  return Location;
}

Incarnation PeerService::chooseWitness(Incarnation Current,
                                       bool IsOwnDomain) const {
  const HostTable &Table = this->Fleet.members().table();
  auto Entry = Table.find(Current.Host);
  if (Entry && Entry->Run == Current.Run && Entry->State == HostState::Alive)
    return Current;
  std::vector<HostRumor> Others;
  for (const HostRumor &Other : Table.present())
    if (Other.State == HostState::Alive && Other.Run != 0 &&
        (Other.Domain == this->Settings.Domain) == IsOwnDomain)
      Others.push_back(Other);
  if (Others.empty())
    return this->Settings.Self;
  // Selecting by host identifier spreads the hosts of one domain over different
  // witnesses.
  const HostRumor &Witness =
      Others[this->Settings.Self.Host.Value % Others.size()];
  return {Witness.Host, Witness.Run};
}

void PeerService::sendSettlementNote(Incarnation Witness,
                                     const SettlementNote &Note) {
  this->Fleet.peers().send(Witness.Host,
                           toNumber(RequestMessageKind::SettlementNote),
                           encodeMessage(Note));
}

void PeerService::updateMetrics() {
  const PeerTraffic &Traffic = this->Fleet.peers().traffic();
  this->Stats.set("peer_sent_bytes", static_cast<double>(Traffic.BytesSent));
  this->Stats.set("peer_received_bytes",
                  static_cast<double>(Traffic.BytesReceived));
  this->Stats.set(
      "peer_sent_messages",
      static_cast<double>(Traffic.DatagramsSent + Traffic.StreamFramesSent));
  this->Stats.set("fleet_hosts",
                  static_cast<double>(this->Fleet.members().fleetSize()));
}

} // namespace bergamothook
