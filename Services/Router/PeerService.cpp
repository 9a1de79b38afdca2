#include "PeerService.h"

#include "LibObserve/StructuredLog.h"
#include "LibPeer/MessageCodec.h"
#include "LibSettings/SettingsFile.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

std::uint16_t number(RequestMessageKind Kind) {
  return static_cast<std::uint16_t>(Kind);
}

} // namespace

Result<KeyRing> readKeyFile(const std::string &File) {
  auto Text = readSecretFile(File);
  if (!Text)
    return PeerError::BadKeyFile;
  return KeyRing::parse(Text.value());
}

PeerService::PeerService(PeerServiceSettings Given, KeyRing Keys,
                         const Runtime &Tasks, LogHooks Log,
                         MembershipHooks List, Metrics &Measured,
                         std::uint64_t Seed)
    : Settings(std::move(Given)), Tasks(Tasks), Measured(Measured),
      Sockets(this->Settings.Listen, Tasks, this->socketHooks()),
      Fleet(this->selfRumor(), std::move(Keys), Tasks,
            this->fleetHooks(std::move(Log), std::move(List)), {}, Seed),
      Notes({}) {
  this->registerSettlementHandlers();
  this->registerNoteHandlers();
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
  PeerSocketHooks Made;
  Made.Receive = [this](PeerTransport Over, std::string Bytes) {
    this->Fleet.peers().received(Over, std::move(Bytes));
  };
  Made.Locate = [this](HostId Host) { return this->addressOf(Host); };
  return Made;
}

PeerHooks PeerService::nodeHooks() {
  PeerHooks Made;
  Made.SendDatagram = [this](HostId To, const std::string &Bytes) {
    this->Sockets.sendDatagram(To, Bytes);
  };
  Made.SendStream = [this](HostId To, std::string Bytes, TimePoint Deadline) {
    return this->Sockets.sendStream(To, std::move(Bytes), Deadline);
  };
  Made.Report = [](std::error_code Reason, std::uint64_t Count) {
    logEvent(LogLevel::Warning, "peer_messages_refused",
             {{"reason", Reason.message()}, {"count", Count}});
  };
  return Made;
}

FleetNodeHooks PeerService::fleetHooks(LogHooks Log, MembershipHooks List) {
  FleetNodeHooks Made;
  Made.Peers = this->nodeHooks();
  Made.Log = std::move(Log);
  Made.List = std::move(List);
  Made.OnVerdict = [this](RecordId Change, const ConfigVerdict &Verdict) {
    this->takeVerdict(Change, Verdict);
  };
  Made.ConfigChanged = [this] {
    if (this->OnConfiguration)
      this->OnConfiguration(this->Fleet.snapshot());
  };
  Made.MembersChanged = [] {};
  Made.Replaced = [this] {
    logEvent(LogLevel::Error, "replaced_by_later_run", {});
    if (this->OnReplaced)
      this->OnReplaced();
  };
  return Made;
}

void PeerService::takeVerdict(RecordId Change, const ConfigVerdict &Verdict) {
  logEvent(LogLevel::Info, "configuration_change",
           {{"change", toHex(Change)},
            {"is_accepted", Verdict.IsAccepted},
            {"revision", Verdict.At.Value}});
}

std::optional<PeerAddress> PeerService::addressOf(HostId Host) const {
  auto Known = this->Fleet.members().table().find(Host);
  if (Known && Known->Port != 0)
    return PeerAddress{Known->Address, Known->Port};
  for (const Member &Listed : this->Fleet.members().members())
    if (Listed.Role == MemberRole::EntryHost &&
        idOfName<HostId>(Listed.Name) == Host)
      return PeerAddress{Listed.Address, Listed.Port};
  for (const PeerSeed &Seed : this->Settings.Seeds)
    if (Seed.Host == Host)
      return Seed.At;
  return std::nullopt;
}

void PeerService::registerSettlementHandlers() {
  this->Fleet.peers().handle(
      number(RequestMessageKind::SettlementNote),
      [this](const Incarnation &Sender, std::string_view Body) -> Result<void> {
        BOOST_OUTCOME_TRY(Note, decodeMessage<SettlementNote>(Body));
        auto Answer = this->OnSettlementNote(Note);
        if (Answer)
          this->Fleet.peers().send(Sender.Host,
                                   number(RequestMessageKind::Acknowledgement),
                                   encodeMessage(Answer.value()));
        return success();
      });
  this->Fleet.peers().handle(
      number(RequestMessageKind::Acknowledgement),
      [this](const Incarnation &, std::string_view Body) -> Result<void> {
        BOOST_OUTCOME_TRY(Answer, decodeMessage<NoteAcknowledgement>(Body));
        this->OnAcknowledgement(Answer);
        return success();
      });
}

void PeerService::registerNoteHandlers() {
  this->Fleet.peers().handle(
      number(RequestMessageKind::Note),
      [this](const Incarnation &, std::string_view Body) -> Result<void> {
        BOOST_OUTCOME_TRY(Told, decodeMessage<LocationNote>(Body));
        this->Notes.record(Told.Request, Told.Target, this->Tasks.Now());
        return success();
      });
  this->Fleet.peers().handle(
      number(RequestMessageKind::Query),
      [this](const Incarnation &Sender, std::string_view Body) -> Result<void> {
        BOOST_OUTCOME_TRY(Query, decodeMessage<LocationQuery>(Body));
        this->answerQuery(Sender.Host, Query);
        return success();
      });
  this->Fleet.peers().handle(
      number(RequestMessageKind::Answer),
      [this](const Incarnation &, std::string_view Body) -> Result<void> {
        BOOST_OUTCOME_TRY(Answer, decodeMessage<LocationResponse>(Body));
        auto Waiting = this->Answers.find(Answer.Number);
        if (Waiting == this->Answers.end())
          return success();
        Waiting->second.push_back(Answer);
        this->Answered.notify();
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
    // A file that is being replaced may be unreadable; the keys in force stay.
    if (Keys)
      this->Fleet.peers().setKeys(std::move(Keys.value()));
  }
}

std::vector<LocationReplica> PeerService::presentHosts() const {
  std::vector<LocationReplica> Hosts;
  for (const HostRumor &Known : this->Fleet.members().table().present())
    if (Known.State == HostState::Alive)
      Hosts.push_back({Known.Host, Known.Domain});
  Hosts.push_back({this->Settings.Self.Host, this->Settings.Domain});
  return Hosts;
}

std::vector<HostId> PeerService::keepersOf(RequestId Request) const {
  return chooseLocationReplicas(Request, this->presentHosts(),
                                this->Settings.NoteKeepers);
}

void PeerService::note(RequestId Request, TargetId Target) {
  this->Notes.record(Request, Target, this->Tasks.Now());
  std::string Body = encodeMessage(LocationNote{Request, Target});
  for (HostId Keeper : this->keepersOf(Request))
    if (Keeper != this->Settings.Self.Host)
      this->Fleet.peers().send(Keeper, number(RequestMessageKind::Note), Body);
}

void PeerService::answerQuery(HostId Asking, const LocationQuery &Query) {
  auto Known = this->Notes.find(Query.Request, this->Tasks.Now());
  LocationResponse Answer{Query.Number, Known.has_value(),
                          Known.value_or(TargetId{})};
  this->Fleet.peers().send(Asking, number(RequestMessageKind::Answer),
                           encodeMessage(Answer));
}

std::optional<TargetId> PeerService::locate(RequestId Request) {
  auto Known = this->Notes.find(Request, this->Tasks.Now());
  if (Known)
    return Known;
  std::uint64_t Number = ++this->LastQuery;
  std::string Body = encodeMessage(LocationQuery{Number, Request});
  std::size_t Asked = 0;
  for (HostId Keeper : this->keepersOf(Request)) {
    if (Keeper == this->Settings.Self.Host)
      continue;
    this->Fleet.peers().send(Keeper, number(RequestMessageKind::Query), Body);
    ++Asked;
  }
  auto &Came = this->Answers[Number];
  auto IsDecided = [&Came, Asked] {
    return Came.size() >= Asked ||
           std::ranges::any_of(Came, &LocationResponse::IsKnown);
  };
  this->Tasks.waitUntil(this->Answered,
                        this->Tasks.Now() + this->Settings.LocateTimeout,
                        IsDecided);
  for (const LocationResponse &Answer : Came)
    if (Answer.IsKnown)
      Known = Answer.Target;
  this->Answers.erase(Number);
  return Known;
}

Incarnation PeerService::chooseWitness(Incarnation Present,
                                       bool IsOwnDomain) const {
  const HostTable &Table = this->Fleet.members().table();
  auto Known = Table.find(Present.Host);
  if (Known && Known->Run == Present.Run && Known->State == HostState::Alive)
    return Present;
  std::vector<HostRumor> Others;
  for (const HostRumor &Other : Table.present())
    if (Other.State == HostState::Alive && Other.Run != 0 &&
        (Other.Domain == this->Settings.Domain) == IsOwnDomain)
      Others.push_back(Other);
  if (Others.empty())
    return this->Settings.Self;
  // Hosts of one domain pick different witnesses, by their own identifier.
  const HostRumor &Chosen =
      Others[this->Settings.Self.Host.Value % Others.size()];
  return {Chosen.Host, Chosen.Run};
}

void PeerService::sendSettlementNote(Incarnation Witness,
                                     const SettlementNote &Note) {
  this->Fleet.peers().send(Witness.Host,
                           number(RequestMessageKind::SettlementNote),
                           encodeMessage(Note));
}

void PeerService::writeMetrics() {
  const PeerTraffic &Traffic = this->Fleet.peers().traffic();
  this->Measured.set("peer_sent_bytes", static_cast<double>(Traffic.BytesSent));
  this->Measured.set("peer_received_bytes",
                     static_cast<double>(Traffic.BytesReceived));
  this->Measured.set(
      "peer_sent_messages",
      static_cast<double>(Traffic.DatagramsSent + Traffic.StreamFramesSent));
  this->Measured.set("fleet_hosts",
                     static_cast<double>(this->Fleet.members().fleetSize()));
}

} // namespace bergamothook
