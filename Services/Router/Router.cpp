#include "Router.h"

#include "HandlerHelpers.h"
#include "LibAdapter/HttpEngine.h"
#include "LibAdapter/HttpLog.h"
#include "LibAdapter/HttpMembership.h"
#include "LibAdapter/HttpService.h"

#include <fstream>
#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

constexpr std::size_t PrefixIndexBlocks = 65536;
constexpr std::size_t MaxExplanations = 2048;
constexpr std::size_t MaxCandidates = 8;
constexpr Duration DrainCheckInterval = std::chrono::milliseconds(50);
constexpr Duration SliceReturnTimeout = std::chrono::seconds(10);
const std::string OrderPrefix = "/v1/orders/";

constexpr Duration CertificateReloadInterval = std::chrono::minutes(1);
constexpr Duration MemberListInterval = std::chrono::milliseconds(100);
constexpr std::uint64_t BootIdMask = 0xffffffff00000000;

std::uint64_t seedOf(Incarnation Self) { return Self.Host.Value ^ Self.Run; }

/// \returns the identifier of the current boot of this machine.
std::string readBootId() {
  std::ifstream In("/proc/sys/kernel/random/boot_id");
  std::string Text;
  std::getline(In, Text);
  return Text;
}

Result<void> startServer(HttpServer &Server, const ListenSettings &Listen) {
  if (!Listen.CertificateFile.empty()) {
    BOOST_OUTCOME_TRYV(Server.useTls(Listen.CertificateFile, Listen.KeyFile));
  }
  return Server.start();
}

void reloadCertificate(HttpServer &Server, const ListenSettings &Listen) {
  if (Listen.CertificateFile.empty())
    return;
  // Certificate and key may not match while the files are being replaced; keep
  // the current certificate.
  auto Reloaded = Server.reloadCertificate();
  if (!Reloaded)
    logEvent(LogLevel::Warning, "certificate_not_reloaded",
             {{"file", Listen.CertificateFile},
              {"reason", Reloaded.error().message()}});
}

TargetMonitorSettings monitorSettings() {
  TargetMonitorSettings Options;
  Options.ListInterval = MemberListInterval;
  return Options;
}

} // namespace

Router::Router(RouterSettings InitialSettings, KeyRing Keys,
               RealRuntime &Threads)
    : Settings(std::move(InitialSettings)), Threads(Threads),
      Tasks(Threads.hooks()), Self(this->makeIncarnation()),
      Seed(seedOf(this->Self)), Http(this->Tasks),
      Log(makeHttpLog(this->Http, this->Tasks, this->Settings.Log.Address,
                      this->Settings.Log.Port)),
      Engines(makeHttpEngines(this->Http)),
      Services(makeHttpServices(this->Http)), Targets({}),
      Prefixes(PrefixIndexBlocks), Outliers({}), Retries({}),
      Explanations(MaxExplanations, MaxCandidates),
      Chooser(this->Targets, this->Prefixes, this->Outliers, {}, this->Seed),
      Peers(this->peerSettings(), std::move(Keys), this->Tasks, this->Log,
            makeHttpMembership(this->Http, this->Settings.Membership.Address,
                               this->Settings.Membership.Port),
            this->Stats, this->Seed),
      Monitor(this->Targets, this->Outliers, this->mergedMemberList(),
              this->Engines, this->Tasks, monitorSettings()),
      Budgets(this->Self, this->budgetSettings(), this->budgetHooks(),
              this->Seed),
      OrderLog(OrderStream, this->Log, this->Tasks,
               makeFollowerHooks(
                   OrderStream,
                   [this](const StreamRecord &Record, RecordPosition Position) {
                     this->Orders.apply(Record, Position);
                   }),
               this->orderSnapshots(), this->Seed),
      Orders(this->Self, this->OrderLog.Appender, {}, {}, this->orderHooks(),
             this->Seed),
      Suspects(this->Self, this->Log, this->Tasks, this->Seed),
      Admissions(this->Targets, this->Tasks, {}),
      ChatCalls(this->chatSettings(),
                {this->Tasks, this->Engines, this->Stats, this->Budgets,
                 this->Admissions, this->Targets, this->Chooser, this->Outliers,
                 this->Retries, this->Monitor, this->Explanations,
                 this->Suspects, this->Peers},
                this->Seed),
      OrderCalls({this->Tasks, this->Services, this->Stats, this->Orders,
                  this->Retries, this->Monitor}),
      OperatorCalls({this->Tasks, this->Stats, this->Budgets, this->Orders,
                     this->Monitor, this->Explanations, this->Suspects,
                     [this] { return this->status(); }}),
      CallerServer(this->limitsOf(this->Settings.Callers),
                   this->handlerFor(&Router::handleCaller)),
      OperatorServer(this->limitsOf(this->Settings.Operators),
                     this->handlerFor(&Router::handleOperator)) {}

/// The upper half of the run number identifies the boot of this machine and the
/// peer port, which only one process can hold at a time, so that a later run
/// can infer that an earlier one has ended. The lower half distinguishes runs
/// within one boot.
Incarnation Router::makeIncarnation() const {
  const Endpoint &Listen = this->Settings.Peers.LocalEndpoint;
  std::uint64_t Boot = hash64(readBootId() + "/" + Listen.Address + "/" +
                              std::to_string(Listen.Port));
  auto Started =
      static_cast<std::uint64_t>(readWallClock().time_since_epoch().count());
  return {this->Settings.host(), (Boot & BootIdMask) | (Started & ~BootIdMask)};
}

PeerServiceSettings Router::peerSettings() const {
  PeerServiceSettings Options;
  Options.Self = this->Self;
  Options.Domain = this->Settings.domain();
  Options.Listen = {this->Settings.Peers.LocalEndpoint.Address,
                    this->Settings.Peers.LocalEndpoint.Port};
  for (const auto &[Name, Address] : this->Settings.Peers.Seeds)
    Options.Seeds.push_back(
        {idOfName<HostId>(Name), {Address.Address, Address.Port}});
  Options.KeyFile = this->Settings.Peers.KeyFile;
  return Options;
}

/// The platform's member list, merged with what the hosts know themselves.
MembershipHooks Router::mergedMemberList() {
  MembershipHooks Hooks;
  Hooks.Read = [this](TimePoint) -> Result<MemberList> {
    MemberList Merged;
    Merged.Version = ++this->ListVersion;
    Merged.Members = this->Peers.fleet().members().members();
    if (!this->Peers.fleet().members().hasList())
      return std::make_error_code(std::errc::resource_unavailable_try_again);
    return Merged;
  };
  return Hooks;
}

BudgetManagerSettings Router::budgetSettings() const {
  BudgetManagerSettings Options;
  Options.Shards = this->Settings.Ledger.Shards;
  Options.Policy.Eagerness = 1 - this->Settings.Ledger.Caution;
  return Options;
}

BudgetManagerHooks Router::budgetHooks() {
  BudgetManagerHooks Hooks;
  Hooks.Log = this->Log;
  Hooks.Tasks = this->Tasks;
  Hooks.SendNote = [this](Incarnation Witness, const SettlementNote &Note) {
    this->Peers.sendSettlementNote(Witness, Note);
  };
  Hooks.ChooseWitness = [this](Incarnation Current) {
    return this->Peers.chooseWitness(Current, false);
  };
  Hooks.ChooseSecondWitness = [this](Incarnation Current) {
    return this->Peers.chooseWitness(Current, true);
  };
  return Hooks;
}

OrderDispatcherHooks Router::orderHooks() {
  OrderDispatcherHooks Hooks;
  Hooks.Tasks = this->Tasks;
  Hooks.Service = this->Services;
  Hooks.ChooseTarget = [this](const OrderRequest &Order,
                              const std::vector<TargetId> &Excluded,
                              TimePoint) {
    return OrderApi::chooseTarget(this->Monitor, Order.Service,
                                  requestIdOf(Order.Team, Order.Key), Excluded);
  };
  Hooks.Report = [](TargetId, std::error_code, TimePoint) {};
  Hooks.WallNow = readWallClock;
  return Hooks;
}

StreamSnapshotHooks Router::orderSnapshots() {
  StreamSnapshotHooks Hooks;
  Hooks.Encode = [this] { return this->Orders.state().snapshot(); };
  Hooks.Restore = [this](std::string_view Content) {
    return this->Orders.state().restore(Content);
  };
  return Hooks;
}

ChatHandlerSettings Router::chatSettings() const {
  ChatHandlerSettings Options;
  Options.Domain = this->Settings.domain();
  Options.Stream.FirstChunkTimeout = this->Settings.Limits.FirstTokenTimeout;
  Options.Stream.ChunkTimeout = this->Settings.Limits.BetweenTokensTimeout;
  return Options;
}

HttpServerLimits Router::limitsOf(const ListenSettings &Listen) const {
  HttpServerLimits Limits;
  Limits.Address = Listen.LocalEndpoint.Address;
  Limits.Port = Listen.LocalEndpoint.Port;
  Limits.MaxBodyBytes = Listen.MaxBodyBytes;
  Limits.MaxRequests = Listen.MaxRequests;
  Limits.MaxUnsentBytes = Listen.MaxUnsentBytes;
  return Limits;
}

HttpServer::Handler
Router::handlerFor(void (Router::*Handle)(const HttpRequest &, HttpReply)) {
  return [this, Handle](HttpRequest Request, HttpReply Reply) {
    bool IsPosted = this->Threads.post(
        [this, Handle, Request = std::move(Request), Reply]() mutable {
          (this->*Handle)(Request, std::move(Reply));
        });
    if (!IsPosted)
      sendProblem(Reply, {ApiFailure::Overloaded, "", std::chrono::seconds(1)});
  };
}

Result<void> Router::start() {
  this->setPeerCallbacks();
  // Bind the peer port first: holding it proves that earlier runs of this host
  // have ended.
  BOOST_OUTCOME_TRYV(this->Peers.start());
  this->startTasks();
  BOOST_OUTCOME_TRYV(
      startServer(this->OperatorServer, this->Settings.Operators));
  BOOST_OUTCOME_TRYV(startServer(this->CallerServer, this->Settings.Callers));
  this->Tasks.Spawn([this] { this->reloadCertificates(); });
  logEvent(LogLevel::Info, "started",
           {{"run", this->Self.Run},
            {"callers_port", this->CallerServer.port()},
            {"operators_port", this->OperatorServer.port()}});
  return success();
}

void Router::reloadCertificates() {
  while (!this->IsStopping) {
    this->Tasks.sleepUntil(this->Tasks.Now() + CertificateReloadInterval);
    reloadCertificate(this->OperatorServer, this->Settings.Operators);
    reloadCertificate(this->CallerServer, this->Settings.Callers);
  }
}

void Router::setPeerCallbacks() {
  this->Peers.OnConfiguration = [this](const ConfigSnapshot &Config) {
    this->warmBudgets(Config);
  };
  this->Peers.OnSettlementNote = [this](const SettlementNote &Note) {
    return this->Budgets.onNote(Note);
  };
  this->Peers.OnAcknowledgement =
      [this](const NoteAcknowledgement &Acknowledgement) {
        this->Budgets.onAcknowledged(Acknowledgement);
      };
  // A later run has this host's slices and port; what this run still has in
  // progress ends, and nothing new begins.
  this->Peers.OnReplaced = [this] { this->IsStopping = true; };
  this->Monitor.OnLeaving = [this](TargetId Target) {
    this->Peers.fleet().members().noteLeaving(Target);
  };
}

void Router::startTasks() {
  this->Tasks.Spawn([this] { this->recordEndedPredecessors(); });
  this->Tasks.Spawn([this] { this->Monitor.run(); });
  this->OrderLog.start();
  this->Suspects.start();
  this->Tasks.Spawn([this] { this->Admissions.run(); });
  this->Budgets.start();
}

void Router::recordEndedPredecessors() {
  while (!this->Budgets.hasCaughtUp() || !this->OrderLog.Follower.hasCaughtUp())
    this->Tasks.sleepUntil(this->Tasks.Now() + DrainCheckInterval);
  for (Incarnation Predecessor : this->Budgets.unendedPredecessors()) {
    bool IsSameBoot =
        (Predecessor.Run & BootIdMask) == (this->Self.Run & BootIdMask);
    logEvent(LogLevel::Warning, "earlier_run_holds_slices",
             {{"run", Predecessor.Run}, {"is_proved_ended", IsSameBoot}});
    if (!IsSameBoot)
      continue;
    this->Budgets.recordPredecessorEnd(Predecessor);
    if (!this->Orders.declareEnded(Predecessor))
      logEvent(LogLevel::Warning, "end_of_predecessor_not_recorded", {});
  }
}

void Router::warmBudgets(const ConfigSnapshot &Config) {
  Config.tables().Teams.forEach(
      [this](TeamId, const std::shared_ptr<const EffectiveTeam> &Team) {
        this->Budgets.warm(idOfName<TeamId>(Team->Budget.Account));
      });
}

void Router::stop() {
  this->IsStopping = true;
  this->Peers.leave();
  logEvent(LogLevel::Info, "stopping", {{"active", this->active()}});
  TimePoint StopStartedAt = this->Tasks.Now();
  this->Tasks.sleepUntil(StopStartedAt +
                         this->Settings.Limits.NotReadyBeforeDrain);
  TimePoint Deadline = StopStartedAt + this->Settings.Limits.DrainTimeout;
  this->drainRequests(Deadline);
  this->Orders.drain(this->IsStopForced ? this->Tasks.Now() : Deadline);
  std::size_t Remaining = this->active();
  this->Budgets.stop(this->Tasks.Now() + SliceReturnTimeout);
  this->OrderLog.stop(this->Tasks.Now() + SliceReturnTimeout);
  this->CallerServer.stop();
  this->OperatorServer.stop();
  logEvent(LogLevel::Info, "stopped", {{"cut_off", Remaining}});
}

void Router::drainRequests(TimePoint Deadline) const {
  while (this->active() > 0 && !this->IsStopForced &&
         this->Tasks.Now() < Deadline)
    this->Tasks.sleepUntil(this->Tasks.Now() + DrainCheckInterval);
}

std::size_t Router::active() const {
  return this->ChatCalls.active() + this->OrderCalls.active();
}

std::string Router::notReadyReason() const {
  if (this->IsStopping)
    return "stopping";
  if (!this->Peers.fleet().isReady())
    return "configuration";
  if (!this->Budgets.hasCaughtUp())
    return "ledger";
  if (!this->OrderLog.Follower.hasCaughtUp())
    return "orders";
  if (!this->Monitor.hasList())
    return "membership list";
  return "";
}

HostStatus Router::status() const {
  HostStatus Status;
  Status.Name = this->Settings.HostName;
  Status.Self = this->Self;
  Status.WaitingFor = this->notReadyReason();
  Status.IsReady = Status.WaitingFor.empty();
  Status.IsStopping = this->IsStopping;
  Status.Active = this->active();
  return Status;
}

void Router::sendReadiness(HttpReply &Reply) const {
  std::string Reason = this->notReadyReason();
  if (Reason.empty())
    return sendJson(Reply, 200, {{"ready", true}});
  sendJson(Reply, 503, {{"ready", false}, {"waiting_for", Reason}});
}

void Router::sendMetrics(HttpReply &Reply) {
  StreamAppenderHealth Health = this->Budgets.health();
  this->Stats.set("requests_active", static_cast<double>(this->active()));
  this->Stats.set("requests_queued",
                  static_cast<double>(this->Admissions.queued()));
  this->Stats.set("ledger_records_waiting", static_cast<double>(Health.Queued));
  this->Stats.set("ledger_append_failures_in_a_row",
                  Health.ConsecutiveFailures);
  this->Stats.set("reservations_open",
                  static_cast<double>(this->Budgets.reservations()));
  this->Stats.set("targets_known", static_cast<double>(this->Targets.size()));
  this->Stats.set(
      "targets_ejected",
      static_cast<double>(this->Outliers.ejectedCount(this->Tasks.Now())));
  this->Stats.set(
      "configuration_revision",
      static_cast<double>(this->Peers.fleet().fold().revision().Value));
  this->Peers.updateMetrics();
  Reply.sendResponse(200, "text/plain; version=0.0.4",
                     this->Stats.toPrometheusText());
}

void Router::handleOperator(const HttpRequest &Request, HttpReply Reply) {
  if (Request.Path == "/healthz")
    return sendJson(Reply, 200, {{"alive", true}});
  if (Request.Path == "/readyz")
    return this->sendReadiness(Reply);
  if (Request.Path == "/metrics")
    return this->sendMetrics(Reply);
  this->OperatorCalls.handle(this->Peers.fleet().snapshot(), Request,
                             std::move(Reply));
}

void Router::handleCaller(const HttpRequest &Request, HttpReply Reply) {
  if (Request.Path == "/healthz")
    return sendJson(Reply, 200, {{"alive", true}});
  if (Request.Path == "/readyz")
    return this->sendReadiness(Reply);
  std::string Reason = this->notReadyReason();
  // While stopping, still serve requests that the load balancer sends.
  if (!Reason.empty() && !this->IsStopping)
    return sendProblem(Reply, {ApiFailure::NotReady, "waiting for " + Reason,
                               std::chrono::seconds(1)});
  // The request uses this revision until it ends.
  ConfigSnapshot Config = this->Peers.fleet().snapshot();
  this->routeCaller(Config, Request, Reply);
}

void Router::routeCaller(const ConfigSnapshot &Config,
                         const HttpRequest &Request, HttpReply &Reply) {
  const std::string &Path = Request.Path;
  bool IsPost = Request.Method == "POST";
  if (Path == "/v1/chat/completions" && IsPost)
    return this->ChatCalls.handle(Config, Request, Reply);
  if (Path == "/v1/orders" && IsPost)
    return this->OrderCalls.postOrder(Config, Request, Reply);
  if (Path == "/v1/orders/tickets" && IsPost)
    return this->OrderCalls.postTicket(Config, Request, Reply);
  if (Path.starts_with(OrderPrefix) && Request.Method == "GET")
    return this->OrderCalls.getOrder(Config, Request,
                                     Path.substr(OrderPrefix.size()), Reply);
  if (Path.starts_with("/v1/services/"))
    return this->OrderCalls.callService(Config, Request, Reply);
  sendProblem(Reply, {ApiFailure::UnknownRoute, "", std::nullopt});
}

} // namespace bergamothook
