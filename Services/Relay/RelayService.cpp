#include "RelayService.h"

#include "LibObserve/StructuredLog.h"
#include "LibRelayFront/ConnectionLimits.h"
#include "platform/HeaderCodec.h"
#include "platform/ManifestReader.h"
#include "platform/WalletStore.h"
#include "platform/WireNames.h"

#include <csignal>
#include <cstdio>
#include <new>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

namespace bergamothook {

namespace {

using platform::KeyedRecord;
namespace wire = platform::wire;

/// A configuration change ends the waiting read early.
constexpr Duration ConfigWait = std::chrono::milliseconds(900);
constexpr Duration ConfigPause = std::chrono::milliseconds(30);
/// Each target reports about once a second; the pause batches these records.
constexpr Duration TargetPause = std::chrono::milliseconds(350);
constexpr Duration TargetWait = std::chrono::milliseconds(500);
constexpr Duration HousekeepingInterval = std::chrono::milliseconds(200);
/// How long a task that ran out of memory pauses.
constexpr Duration TaskRestartPause = std::chrono::milliseconds(200);
/// What is kept of the time before the kill for handing budgets back, which is
/// one round on the store.
constexpr Duration WalletStopTime = std::chrono::milliseconds(250);
/// What is kept of it for loans: borrowers settle them until then.
constexpr Duration LoanStopTime = std::chrono::milliseconds(600);
/// The fraction of the fleet's retry budget that the hosts use, each according
/// to its own requests. The rest is a margin, since the windows of the hosts
/// and of the fleet do not start at the same time.
constexpr double HostResendShare = 0.85;
constexpr int CallerAcceptBacklog = 1024;
/// The calls of other hosts in progress are at most the caller connections
/// divided by this: their callers are served by this host beside its own.
constexpr std::size_t ForwardedCallDivisor = 8;
/// How much of an unreadable entry is logged.
constexpr std::size_t MaxLoggedBytes = 200;

std::string makeProcessName(const std::string &Host, std::uint64_t Seed) {
  return Host + "#" + std::to_string(Seed);
}

/// An eighth of the memory is for messages: strings that grow take up to twice
/// their content, and it is copied once on its way. Half is needed for the
/// stacks and what is free of each of thousands of connections.
MemoryPolicy makeMemoryPolicy(std::size_t MemoryBytes) {
  constexpr std::size_t MessageShare = 8;
  MemoryPolicy Policy;
  Policy.MaxBytes = MemoryBytes / MessageShare;
  return Policy;
}

DialerLimits makeDialerLimits(const MemoryBudgetHandle &Memory) {
  DialerLimits Limits;
  Limits.Connection.Memory = Memory;
  return Limits;
}

/// Generates a random key of 32 bytes as hexadecimal digits.
std::string makeFleetKey() {
  constexpr int Words = 8;
  std::random_device Entropy;
  std::string Key;
  for (int I = 0; I < Words; ++I) {
    char Digits[9];
    std::snprintf(Digits, sizeof(Digits), "%08x", Entropy());
    Key += Digits;
  }
  return Key;
}

} // namespace

RelayService::RelayService(NetRuntime &Loop, std::string SettingsPath,
                           platform::PlatformSettings Settings,
                           std::uint64_t Seed)
    : Loop(Loop), Tasks(Loop.hooks()), SettingsPath(std::move(SettingsPath)),
      Settings(std::move(Settings)),
      ProcessName(makeProcessName(this->Settings.Host, Seed)),
      Memory(std::make_shared<MemoryBudget>(
          makeMemoryPolicy(this->Settings.MemoryBytes))),
      Store(Loop, this->Settings.StoreAddress, {}, this->Measured),
      TokenSource(this->ownRosterEntry(Seed), this->ProcessName, {},
                  this->tokenHooks(), this->Measured, Seed),
      PeerSocket(Loop, this->Settings.PeerAddress,
                 [this](std::string Bytes) {
                   this->TokenSource.received(std::move(Bytes));
                 }),
      Dialer(Loop, makeDialerLimits(this->Memory),
             {platform::makeRunQuery, platform::readRunAnswer}),
      Seal({this->TokenSource.roster().self().id(), Seed},
           [this] { return this->TokenSource.keys(); }),
      Peers(this->Dialer, this->Seal, this->Tasks),
      Dispatcher(this->relaySettings(Seed), this->relayHooks(),
                 this->TokenSource, this->Measured),
      View({this->Settings.ConfigTime, this->Settings.KeyTime}),
      Evacuations(this->Dispatcher.targets()),
      Load(
          Loop, this->capacity(), {},
          [this](HostUsage &Usage) {
            // Each call in progress holds a connection to a target.
            Usage.Descriptors =
                this->Server.connections() + this->Server.inProgress() +
                this->PeerServer.connections() + this->PeerServer.inProgress() +
                this->Dialer.idle();
            Usage.MessageBytes = this->Memory->usedBytes();
            Usage.CallerConnections = this->Server.connections();
            Usage.HasOldConfig = !this->View.hasReceived(readLeaseClock());
          },
          Seed),
      Server(Loop, this->serverSettings(), this->Dispatcher,
             [this](HttpRequestMessage Message, TimePoint Now) {
               return platform::decodeCall(this->configInForce(),
                                           std::move(Message), Now);
             }),
      ForwardedCalls(this->Seal, this->forwardedCallHooks()),
      PeerServer(Loop, this->peerServerSettings(), this->Dispatcher,
                 [this](HttpRequestMessage Message, TimePoint Now) {
                   return this->ForwardedCalls.read(std::move(Message), Now);
                 }),
      ReadyServer(
          Loop, this->Settings.ReadyAddress, this->Memory,
          [this](const std::string &Path) { return this->answerReady(Path); }),
      MetricsServer(Loop, this->Settings.MetricsAddress, this->Memory,
                    [this](const std::string &Path) {
                      return this->answerMetrics(Path);
                    }),
      ConfigFeed(this->Store, this->Tasks,
                 {.Topic = std::string(wire::OperatorTopic),
                  .Wait = ConfigWait,
                  .Pause = ConfigPause,
                  .OnlyNewest = true},
                 this->configFeedHooks()),
      TargetFeed(this->Store, this->Tasks,
                 {std::string(wire::TargetTopic), TargetWait, TargetPause},
                 this->targetFeedHooks()),
      QuarantineSync(this->Store, this->Tasks, this->Settings.Host,
                     this->Dispatcher.quarantineReports()),
      OriginStore(this->Store, this->Tasks, readLeaseClock,
                  this->Dispatcher.versions(), this->Dispatcher.origins()),
      Registry(this->Store, this->Tasks, this->TokenSource.roster()),
      Signals(Loop.context(), SIGTERM, SIGINT, SIGHUP) {}

RelaySettings RelayService::relaySettings(std::uint64_t Seed) const {
  RelaySettings Chosen;
  Chosen.Self = this->ProcessName;
  Chosen.OwnDomain = this->Settings.FailureDomain;
  Chosen.Resends = {this->Settings.ResendWindow,
                    this->Settings.ResendRatio * HostResendShare,
                    this->Settings.ResendSlack * HostResendShare};
  Chosen.Seed = Seed;
  Chosen.Cold = {this->Settings.ColdOvershoot, this->Settings.ColdSlack};
  return Chosen;
}

RosterHost RelayService::ownRosterEntry(std::uint64_t Seed) const {
  return {this->Settings.Host, this->Settings.FailureDomain,
          this->Settings.PeerAddress, Seed};
}

TokenHooks RelayService::tokenHooks() {
  TokenHooks Hooks;
  Hooks.Tasks = this->Tasks;
  Hooks.MakeLog = [this](unsigned Partition) {
    return platform::makeWalletLog(this->Store, Partition);
  };
  Hooks.SendDatagram = [this](const std::string &Address, std::string Bytes) {
    this->PeerSocket.send(Address, Bytes);
  };
  return Hooks;
}

/// Reads or creates the parameters shared by the fleet, then starts the token
/// budgets.
void RelayService::joinFleet() {
  auto Founding = this->Registry.readOrCreateFounding(
      makeFleetKey(), this->Settings.StorePartitions,
      [this] { return this->IsStopped; });
  if (!Founding)
    return;
  logEvent(LogLevel::Info, "fleet_joined",
           {{"partitions", Founding->Partitions}});
  this->TokenSource.begin(*Founding);
  // Not before: without the keys, no call of another host can be told from
  // others.
  if (auto Started = this->PeerServer.start(); !Started)
    logEvent(LogLevel::Error, "peer_port_not_bound",
             {{"address", this->Settings.PeerAddress},
              {"reason", Started.error().message()}});
}

RelayServerSettings RelayService::serverSettings() {
  ConnectionLimits Limits = deriveConnectionLimits(this->Settings.MemoryBytes,
                                                   this->Settings.Descriptors);
  RelayServerSettings Chosen;
  Chosen.Listen = {this->Settings.FrontAddress,
                   CallerAcceptBacklog,
                   Limits.CallerConnections,
                   {}};
  Chosen.Listen.Limits.SendBufferBytes = CallerSendBufferBytes;
  Chosen.MaxConnectionsAndCalls = Limits.ConnectionsAndCalls;
  Chosen.Listen.Limits.Memory = this->Memory;
  Chosen.Load = this->loadHooks();
  return Chosen;
}

std::size_t RelayService::maxForwardedCalls() const {
  ConnectionLimits Limits = deriveConnectionLimits(this->Settings.MemoryBytes,
                                                   this->Settings.Descriptors);
  return std::max<std::size_t>(1,
                               Limits.CallerConnections / ForwardedCallDivisor);
}

RelayServerSettings RelayService::peerServerSettings() const {
  RelayServerSettings Chosen;
  // Each call has a connection of its own; those beyond the limit of calls are
  // refused on it.
  Chosen.Listen = {this->Settings.PeerAddress,
                   CallerAcceptBacklog,
                   2 * this->maxForwardedCalls(),
                   {}};
  Chosen.Listen.Limits.SendBufferBytes = CallerSendBufferBytes;
  Chosen.Listen.Limits.Memory = this->Memory;
  Chosen.ExtraHeadBytes = ForwardSeal::MaxFieldBytes;
  Chosen.Clients = "hosts";
  return Chosen;
}

ForwardedCallHooks RelayService::forwardedCallHooks() {
  ForwardedCallHooks Hooks;
  Hooks.Decode = [this](HttpRequestMessage Message, TimePoint Now) {
    return platform::decodeCall(this->configInForce(), std::move(Message), Now);
  };
  Hooks.Refuse = [this] { return this->refuseForwarded(); };
  Hooks.ConfigVersion = [this] {
    return this->Dispatcher.config() ? this->Dispatcher.config()->Version : 0;
  };
  Hooks.NameOf = [this](HostId Host) {
    const RosterHost *Known = this->TokenSource.roster().find(Host);
    return Known ? Known->Name : "unlisted";
  };
  return Hooks;
}

RelayReason RelayService::refuseForwarded() const {
  if (this->IsStopping)
    return RelayReason::Stopping;
  if (!this->isReady())
    return this->Load.control().isOverloaded() ? RelayReason::HostOverloaded
                                               : RelayReason::NoConfig;
  // The calls of this host's own callers go first.
  return this->PeerServer.inProgress() > this->maxForwardedCalls()
             ? RelayReason::HostOverloaded
             : RelayReason::None;
}

ServerLoadHooks RelayService::loadHooks() {
  ServerLoadHooks Hooks;
  Hooks.EndsConnection = [this] {
    return this->Load.control().endsConnection();
  };
  Hooks.Refuse = [this](const RelayCall &Call, TimePoint Now) {
    auto RetryAfter =
        this->Load.control().refuse({Call.priority(), Call.Body.size()}, Now);
    if (RetryAfter)
      this->Measured.count("relay_refusals_host_overloaded_total");
    return RetryAfter;
  };
  return Hooks;
}

HostCapacity RelayService::capacity() const {
  HostCapacity Capacity;
  Capacity.LinkBytesPerSecond = this->Settings.LinkBytesPerSecond;
  Capacity.Descriptors = deriveConnectionLimits(this->Settings.MemoryBytes,
                                                this->Settings.Descriptors)
                             .ConnectionsAndCalls;
  Capacity.MessageBytes = this->Memory->policy().MaxBytes;
  return Capacity;
}

RelayHooks RelayService::relayHooks() {
  RelayHooks Hooks;
  Hooks.Tasks = this->Tasks;
  Hooks.Memory = this->Memory;
  Hooks.LeaseClock = readLeaseClock;
  Hooks.Open = [this](const ListedTarget &Target, const RelayCall &Call,
                      const HttpRequestHead &Head, const CallerHooks &Caller,
                      const SendTerms &Terms) {
    return this->Dialer.open(Target, Call, Head, Caller, Terms);
  };
  Hooks.IsConfigCurrent = [this] { return this->configInForce().IsCurrent; };
  Hooks.MakeHead = platform::makeTargetHead;
  Hooks.Classify = platform::classifyAnswer;
  Hooks.ReadRateLimit = platform::readRateLimit;
  Hooks.AskHealth =
      [this](
          const ListedTarget &Target, const std::string &Path,
          const CallerHooks &Caller, TimePoint Deadline,
          const std::function<bool()> &IsGivenUp) -> std::optional<Duration> {
    auto Head =
        this->Dialer.ask(Target, platform::makeHealthQuery(Target, Path),
                         Caller, Deadline, IsGivenUp);
    return Head ? platform::readColdLeft(*Head) : std::nullopt;
  };
  Hooks.Probe = [this](const ListedTarget &Target, TimePoint Deadline) {
    return this->Dialer.probe(Target, Deadline);
  };
  Hooks.Forward = [this](const RosterHost &Peer, const RelayCall &Call,
                         const CallerHooks &Caller, TimePoint Deadline) {
    return this->Peers.forward(Peer, Call, Caller, Deadline);
  };
  Hooks.MakeRefusal = platform::makeRefusal;
  return Hooks;
}

platform::FeedHooks RelayService::configFeedHooks() {
  platform::FeedHooks Hooks;
  Hooks.Clock = readLeaseClock;
  Hooks.OnSnapshot = [this](const std::vector<KeyedRecord> &Records,
                            std::uint64_t End) {
    this->applyOperatorSnapshot(Records, End);
  };
  Hooks.OnCurrent = [this](TimePoint AsOf) {
    this->View.onCurrent(AsOf);
    this->reportConfigView();
  };
  Hooks.OnRead = this->readMeter(wire::OperatorTopic);
  Hooks.OnRecord = [this](const KeyedRecord &Record) {
    this->applyOperatorRecord(Record);
  };
  Hooks.OnUnavailable = [] {};
  Hooks.OnAvailable = [] {};
  return Hooks;
}

ConfigInForce RelayService::configInForce() const {
  TimePoint Now = readLeaseClock();
  return {this->Dispatcher.config(), this->View.isCurrent(Now),
          this->View.acceptsKeys(Now)};
}

std::function<void(const platform::FeedRead &)>
RelayService::readMeter(std::string_view Topic) {
  std::string Labels = "{topic=\"" + std::string(Topic) + "\"}";
  return [this, Labels](const platform::FeedRead &Read) {
    this->Measured.set("store_read_bytes" + Labels,
                       static_cast<double>(Read.Cost.Bytes));
    this->Measured.set(
        "store_read_seconds" + Labels,
        std::chrono::duration<double>(Read.Cost.Elapsed).count());
    if (!Read.HasSucceeded)
      this->Measured.count("store_reads_failed_total" + Labels);
    if (Read.PassedOver > 0)
      this->Measured.count("store_records_passed_over_total" + Labels,
                           static_cast<double>(Read.PassedOver));
    if (Read.IsSnapshot && Read.HasSucceeded)
      this->Measured.count("store_snapshots_total" + Labels);
  };
}

void RelayService::reportConfigView() {
  TimePoint Now = readLeaseClock();
  if (!this->View.hasChanged(Now))
    return;
  auto AgeMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(
                             this->View.age(Now).value_or(Duration::zero()))
                             .count();
  const RelayConfigPtr &Config = this->Dispatcher.config();
  logEvent(
      LogLevel::Warning,
      this->View.isCurrent(Now) ? "config_view_current" : "config_view_old",
      {{"version", Config ? Config->Version : 0}, {"age_ms", AgeMilliseconds}});
}

void RelayService::applyOperatorSnapshot(
    const std::vector<KeyedRecord> &Records, std::uint64_t End) {
  std::vector<EvacuationRecord> Evacuated;
  for (const KeyedRecord &Record : Records)
    if (auto Listed = platform::readEvacuation(Record)) {
      // Keys that were deleted are not listed, so the value was unreadable.
      Listed->IsEvacuated = true;
      Evacuated.push_back(std::move(*Listed));
    }
  this->Evacuations.onSnapshot(Evacuated, End, this->Tasks.Now());
  bool HasConfig = false;
  for (const KeyedRecord &Record : Records) {
    HasConfig |= Record.Key == wire::ConfigKey;
    this->applyConfigRecord(Record);
  }
  if (!HasConfig)
    this->onNoConfig(End);
}

void RelayService::applyOperatorRecord(const KeyedRecord &Record) {
  if (auto Evacuation = platform::readEvacuation(Record))
    this->Evacuations.onRecord(*Evacuation, this->Tasks.Now());
  else
    this->applyConfigRecord(Record);
}

void RelayService::onNoConfig(std::uint64_t Offset) {
  this->View.onNewest(false);
  // The version in force goes on: a fleet without any would refuse everyone.
  if (this->Dispatcher.config())
    logEvent(LogLevel::Error, "config_removed",
             {{"offset", Offset},
              {"version_in_force", this->Dispatcher.config()->Version}});
}

void RelayService::applyConfigRecord(const KeyedRecord &Record) {
  if (Record.Key != wire::ConfigKey)
    return;
  if (!Record.Value)
    return this->onNoConfig(Record.Offset);
  auto Config = platform::parseManifest(*Record.Value);
  this->View.onNewest(static_cast<bool>(Config));
  if (!Config) {
    const RelayConfigPtr &InForce = this->Dispatcher.config();
    logEvent(LogLevel::Error, "config_unreadable",
             {{"offset", Record.Offset},
              {"bytes", Record.Value->size()},
              {"version_in_force", InForce ? InForce->Version : 0}});
    return;
  }
  bool IsNew = this->Dispatcher.setConfig(Config.value());
  logEvent(LogLevel::Info, IsNew ? "config_in_force" : "config_not_newer",
           {{"version", Config.value()->Version},
            {"routes", Config.value()->routes()},
            {"teams", Config.value()->teams().size()},
            {"keys", Config.value()->keys()},
            {"unreadable_parts", Config.value()->Problems.count()},
            {"caller_access", nameOf(Config.value()->Access)},
            {"idle_timeout_ms",
             std::chrono::duration_cast<std::chrono::milliseconds>(
                 Config.value()->Limits.IdleTimeout)
                 .count()},
            {"offset", Record.Offset}});
  if (IsNew)
    for (const ConfigProblem &Problem : Config.value()->Problems.first())
      logEvent(LogLevel::Error, "config_part_unreadable",
               {{"version", Config.value()->Version},
                {"place", Problem.Place.substr(0, MaxLoggedBytes)},
                {"problem", nameOf(Problem.Kind)}});
}

platform::FeedHooks RelayService::targetFeedHooks() {
  platform::FeedHooks Hooks;
  Hooks.Clock = readLeaseClock;
  Hooks.OnRestored = [this] { this->Dispatcher.targets().onListRestored(); };
  Hooks.OnSnapshot = [this](const std::vector<KeyedRecord> &Records,
                            std::uint64_t) {
    std::vector<ListedTarget> Targets;
    std::vector<ColdReport> Reports;
    for (const KeyedRecord &Record : Records)
      if (auto Target = platform::parseTargetEntry(Record.Key,
                                                   Record.Value.value_or(""))) {
        Targets.push_back(Target.value());
        Reports.push_back(Target.value().coldReport());
      } else {
        this->logUnreadableTarget(Record);
      }
    this->Dispatcher.versions().onListGap(readLeaseClock());
    for (const ListedTarget &Target : Targets)
      this->noteVersion(Target);
    this->Dispatcher.targets().onFullList(Targets, this->Tasks.Now());
    for (const ColdReport &Report : Reports)
      this->Dispatcher.onColdReport(Report, "entry");
    this->HasTargets = true;
    logEvent(LogLevel::Info, "targets_read", {{"targets", Targets.size()}});
  };
  Hooks.OnRecord = [this](const KeyedRecord &Record) {
    this->applyTargetRecord(Record);
  };
  Hooks.OnCurrent = [this](TimePoint AsOf) {
    this->Dispatcher.versions().onListRead(AsOf);
  };
  Hooks.OnRead = this->readMeter(wire::TargetTopic);
  Hooks.OnUnavailable = [this] {
    this->Dispatcher.targets().onListUnreachable(this->Tasks.Now());
    this->TokenSource.setLogReachable(false);
  };
  Hooks.OnAvailable = [this] {
    this->Dispatcher.targets().onListReachable();
    this->TokenSource.setLogReachable(true);
  };
  return Hooks;
}

void RelayService::applyTargetRecord(const KeyedRecord &Record) {
  TimePoint Now = this->Tasks.Now();
  if (!Record.Value) {
    logEvent(LogLevel::Info, "target_removed", {{"target", Record.Key}});
    this->Dispatcher.targets().onRemoved(Record.Key, Now);
    return;
  }
  auto Target = platform::parseTargetEntry(Record.Key, *Record.Value);
  if (!Target) {
    // The unreadable entry replaces any earlier one, so the target is removed.
    this->logUnreadableTarget(Record);
    this->Dispatcher.targets().onRemoved(Record.Key, Now);
    return;
  }
  this->noteVersion(Target.value());
  if (this->Dispatcher.targets().onListed(Target.value(), Now))
    logEvent(LogLevel::Info, "target_listed",
             {{"target", Record.Key},
              {"service", Target.value().Service},
              {"address", Target.value().Address},
              {"version", Target.value().Version},
              {"leaving", Target.value().IsLeaving}});
  this->Dispatcher.onColdReport(Target.value().coldReport(), "entry");
}

void RelayService::noteVersion(const ListedTarget &Target) {
  if (!this->Dispatcher.versions().onListed(Target.Service, Target.Version,
                                            readLeaseClock()))
    logEvent(LogLevel::Warning, "too_many_versions",
             {{"target", Target.Id},
              {"target_service", Target.Service},
              {"version", Target.Version}});
}

void RelayService::logUnreadableTarget(const KeyedRecord &Record) {
  // Another writer may write the same again and again.
  std::uint64_t Content = hash64(Record.Value.value_or(""));
  const std::uint64_t *Logged = this->UnreadableTargets.find(Record.Key);
  if (Logged && *Logged == Content)
    return;
  this->UnreadableTargets.set(Record.Key, Content);
  logEvent(LogLevel::Warning, "target_unreadable",
           {{"target", Record.Key},
            {"offset", Record.Offset},
            {"bytes", Record.Value.value_or("").size()},
            {"begins", Record.Value.value_or("").substr(0, MaxLoggedBytes)}});
}

Result<void> RelayService::start() {
  BOOST_OUTCOME_TRYV(this->Server.start());
  BOOST_OUTCOME_TRYV(this->ReadyServer.start());
  BOOST_OUTCOME_TRYV(this->MetricsServer.start());
  BOOST_OUTCOME_TRYV(this->PeerSocket.start());
  auto IsStopped = [this] { return this->IsStopped; };
  this->spawnLoop([=, this] { this->ConfigFeed.run(IsStopped); });
  this->spawnLoop([=, this] { this->TargetFeed.run(IsStopped); });
  this->spawnLoop([=, this] { this->QuarantineSync.runReader(IsStopped); });
  this->spawnLoop([=, this] { this->QuarantineSync.runWriter(IsStopped); });
  this->spawnLoop([=, this] { this->OriginStore.runVersions(IsStopped); });
  for (unsigned I = 0; I < this->Dispatcher.origins().policy().Partitions; ++I)
    this->spawnLoop([=, this] { this->OriginStore.runOrigins(I, IsStopped); });
  this->spawnLoop([=, this] { this->Registry.runReader(IsStopped); });
  this->spawnLoop([=, this] { this->Registry.runWriter(IsStopped); });
  this->spawnLoop([=, this] { this->Registry.runFoundingKeeper(IsStopped); });
  this->spawnLoop([this] { this->joinFleet(); });
  this->spawnLoop([this] { this->TokenSource.run(); });
  this->spawnLoop([=, this] { this->Dialer.runExpiry(IsStopped); });
  this->spawnLoop([=, this] { this->Load.run(IsStopped); });
  this->spawnLoop([this] { this->runHousekeeping(); });
  this->waitForSignal();
  logEvent(LogLevel::Info, "started",
           {{"process", this->ProcessName},
            {"front", this->Settings.FrontAddress},
            {"version", BERGAMOTHOOK_VERSION}});
  return success();
}

void RelayService::spawnLoop(std::function<void()> Run) {
  this->Tasks.Spawn([this, Run = std::move(Run)] {
    while (!this->IsStopped) {
      try {
        return Run();
      } catch (const std::bad_alloc &) {
        logEvent(LogLevel::Error, "task_out_of_memory", {});
      }
      // Calls in progress free memory as they end.
      this->Tasks.sleepUntil(this->Tasks.Now() + TaskRestartPause);
    }
  });
}

void RelayService::runHousekeeping() {
  while (!this->IsStopped) {
    this->Dispatcher.targets().expire(this->Tasks.Now());
    this->Dispatcher.endColdPeriods();
    this->Dispatcher.reach().update();
    this->Evacuations.checkProgress(this->Tasks.Now());
    this->reportConfigView();
    this->Dispatcher.quarantineReports().update();
    this->Dispatcher.limiter().renewLeases();
    this->Dispatcher.limiter().reportUse(this->Tasks.Now());
    this->Dispatcher.limiter().expire(
        [this](const std::string &Key) {
          return this->Dispatcher.targets().isListed(Key);
        },
        this->Tasks.Now());
    const HostRoster &Roster = this->TokenSource.roster();
    if (Roster.settledAt())
      this->Dispatcher.resends().setHosts(Roster.hosts());
    this->Tasks.sleepUntil(this->Tasks.Now() + HousekeepingInterval);
  }
}

bool RelayService::isReady() const {
  return !this->IsStopping && this->Dispatcher.config() && this->HasTargets &&
         this->Dispatcher.versions().hasRead() &&
         !this->Load.control().isOverloaded();
}

StatusResponse RelayService::answerReady(const std::string &Path) const {
  if (Path != wire::ReadyPath)
    return {};
  return {this->isReady() ? 200U : 503U, "text/plain", ""};
}

void RelayService::measureConfig(const RelayConfig &Config) {
  this->Measured.set("relay_config_version",
                     static_cast<double>(Config.Version));
  this->Measured.set("relay_config_routes",
                     static_cast<double>(Config.routes()));
  this->Measured.set("relay_config_teams",
                     static_cast<double>(Config.teams().size()));
  this->Measured.set("relay_config_keys", static_cast<double>(Config.keys()));
  this->Measured.set("relay_config_requires_keys",
                     Config.Access == CallerAccess::ByKey ? 1 : 0);
  this->Measured.set("relay_config_unreadable_parts",
                     static_cast<double>(Config.Problems.count()));
}

StatusResponse RelayService::answerMetrics(const std::string &Path) {
  if (Path != "/metrics")
    return {};
  this->Measured.set("relay_calls_in_progress",
                     static_cast<double>(this->Server.inProgress()));
  this->Measured.set("relay_caller_connections",
                     static_cast<double>(this->Server.connections()));
  this->Measured.set("relay_connections_evicted{address=\"callers\"}",
                     static_cast<double>(this->Server.evictions()));
  this->Measured.set("relay_connections_evicted{address=\"readiness\"}",
                     static_cast<double>(this->ReadyServer.evictions()));
  this->Measured.set("relay_connections_evicted{address=\"metrics\"}",
                     static_cast<double>(this->MetricsServer.evictions()));
  this->Measured.set("relay_refusals_descriptors",
                     static_cast<double>(this->Server.descriptorRefusals()));
  this->Measured.set("relay_forwarded_calls_taken",
                     static_cast<double>(this->PeerServer.inProgress()));
  this->Measured.set("relay_calls_at_other_hosts",
                     static_cast<double>(this->Dispatcher.peers().calls()));
  this->Measured.set(
      "relay_forwarded_requests_unsigned",
      static_cast<double>(this->ForwardedCalls.unsignedRequests()));
  if (const RelayConfigPtr &Config = this->Dispatcher.config())
    this->measureConfig(*Config);
  this->Measured.set("relay_config_newest_unreadable",
                     this->View.isNewestReadable() ? 0 : 1);
  if (auto Age = this->View.age(readLeaseClock()))
    this->Measured.set("relay_config_view_age_seconds",
                       std::chrono::duration<double>(*Age).count());
  this->Measured.set("relay_target_connections_made",
                     static_cast<double>(this->Dialer.connectionsMade()));
  this->Measured.set("relay_target_run_queries",
                     static_cast<double>(this->Dialer.runQueries()));
  this->Measured.set("relay_message_bytes",
                     static_cast<double>(this->Memory->usedBytes()));
  this->Measured.set("relay_memory_refusals",
                     static_cast<double>(this->Memory->refusals()));
  this->Measured.set("relay_traits_suspected",
                     static_cast<double>(this->Dispatcher.quarantine().size()));
  this->Measured.set(
      "relay_traits_quarantined",
      static_cast<double>(this->Dispatcher.quarantine().quarantined()));
  this->Measured.set("relay_resends_refused",
                     static_cast<double>(this->Dispatcher.resends().refused()));
  this->Measured.set(
      "limited_targets",
      static_cast<double>(this->Dispatcher.limiter().limitedTargets()));
  this->Measured.set("peer_datagrams_lost_here",
                     static_cast<double>(this->PeerSocket.sendFailures()));
  this->Measured.set(
      "relay_cold_targets",
      static_cast<double>(this->Dispatcher.targets().coldTargets()));
  this->Evacuations.exportMetrics(this->Measured);
  this->Dispatcher.reach().exportMetrics(this->Measured);
  this->Load.exportMetrics(this->Measured);
  this->Dispatcher.admission().exportMetrics(this->Tasks.Now());
  this->TokenSource.measure();
  return {200, "text/plain", this->Measured.toPrometheusText()};
}

void RelayService::waitForSignal() {
  this->Signals.async_wait(
      [this](const boost::system::error_code &Failure, int Signal) {
        if (Failure)
          return;
        if (Signal == SIGHUP)
          this->Tasks.Spawn([this] { this->reload(); });
        else if (!std::exchange(this->IsStopping, true))
          this->Tasks.Spawn([this] { this->stop(); });
        this->waitForSignal();
      });
}

void RelayService::reload() {
  auto Read = platform::readSettings(this->SettingsPath);
  if (!Read) {
    logEvent(LogLevel::Error, "reload_refused",
             {{"field", Read.error().Field}, {"reason", Read.error().Text}});
    return;
  }
  bool HasChanged = !(Read.value() == this->Settings);
  // The others are in use since the start of the process.
  this->Settings.StopTime = Read.value().StopTime;
  logEvent(LogLevel::Info, "reloaded", {{"changed", HasChanged}});
}

void RelayService::stop() {
  // The file may have changed without a signal.
  this->reload();
  TimePoint KillDeadline = this->Tasks.Now() + this->Settings.StopTime;
  logEvent(LogLevel::Info, "stopping",
           {{"in_progress", this->Server.inProgress()},
            {"loans_open", this->TokenSource.loans().open()}});
  this->TokenSource.beginStop();
  this->Dispatcher.limiter().beginStop();
  this->Tasks.Spawn([this] { this->Registry.leave(); });
  bool HasPeerServerStopped = false;
  Event PeerServerStopped;
  this->Tasks.Spawn([&] {
    this->PeerServer.stop(this->Settings.StopTime);
    HasPeerServerStopped = true;
    PeerServerStopped.notify();
  });
  this->Server.stop(this->Settings.StopTime);
  this->Tasks.waitUntil(PeerServerStopped, KillDeadline,
                        [&] { return HasPeerServerStopped; });
  std::size_t CutOffCalls =
      this->Server.inProgress() + this->PeerServer.inProgress();
  this->TokenSource.stop(KillDeadline - LoanStopTime,
                         KillDeadline - WalletStopTime);
  logEvent(LogLevel::Info, "stopped",
           {{"cut_off", CutOffCalls},
            {"loans_open", this->TokenSource.loans().open()}});
  this->IsStopped = true;
  this->Loop.stop();
}

} // namespace bergamothook
