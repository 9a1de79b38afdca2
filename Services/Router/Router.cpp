#include "Router.h"

#include "Answering.h"
#include "LibAdapter/HttpEngine.h"
#include "LibAdapter/HttpLog.h"
#include "LibAdapter/HttpMembership.h"
#include "LibAdapter/HttpService.h"

#include <fstream>
#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

constexpr std::size_t PrefixIndexBlocks = 65536;
constexpr std::size_t ExplanationsKept = 2048;
constexpr std::size_t CandidatesKept = 8;
constexpr Duration DrainCheckInterval = std::chrono::milliseconds(50);
constexpr Duration HandBackTimeout = std::chrono::seconds(10);
const std::string OrderPrefix = "/v1/orders/";

constexpr Duration CertificateInterval = std::chrono::minutes(1);
constexpr Duration JoinedListInterval = std::chrono::milliseconds(100);
constexpr std::uint64_t BootBits = 0xffffffff00000000;

std::uint64_t seedOf(Incarnation Self) { return Self.Host.Value ^ Self.Run; }

/// Names this boot of this machine.
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
  // Files that are being replaced may not fit; the certificate in force stays.
  auto Reloaded = Server.reloadCertificate();
  if (!Reloaded)
    logEvent(LogLevel::Warning, "certificate_not_reloaded",
             {{"file", Listen.CertificateFile},
              {"reason", Reloaded.error().message()}});
}

TargetWatchSettings watchSettings() {
  TargetWatchSettings Made;
  Made.ListInterval = JoinedListInterval;
  return Made;
}

} // namespace

Router::Router(RouterSettings Given, KeyRing Keys, RealRuntime &Threads)
    : Settings(std::move(Given)), Threads(Threads), Tasks(Threads.hooks()),
      Self(this->makeSelf()), Seed(seedOf(this->Self)), Http(this->Tasks),
      Log(makeHttpLog(this->Http, this->Tasks, this->Settings.Log.Address,
                      this->Settings.Log.Port)),
      Engines(makeHttpEngines(this->Http)),
      Services(makeHttpServices(this->Http)), Targets({}),
      Prefixes(PrefixIndexBlocks), Outliers({}), Retries({}),
      Explanations(ExplanationsKept, CandidatesKept),
      Chooser(this->Targets, this->Prefixes, this->Outliers, {}, this->Seed),
      Peers(this->peerSettings(), std::move(Keys), this->Tasks, this->Log,
            makeHttpMembership(this->Http, this->Settings.Membership.Address,
                               this->Settings.Membership.Port),
            this->Measured, this->Seed),
      Watch(this->Targets, this->Outliers, this->joinedList(), this->Engines,
            this->Tasks, watchSettings()),
      Budgets(this->Self, this->budgetSettings(), this->budgetHooks(),
              this->Seed),
      OrderLink(OrderStream, this->Log, this->Tasks,
                followerHooksFor(
                    OrderStream,
                    [this](const StreamRecord &Record, RecordPosition At) {
                      this->Orders.apply(Record, At);
                    }),
                this->orderSnapshots(), this->Seed),
      Orders(this->Self, this->OrderLink.Appender, {}, {}, this->orderHooks(),
             this->Seed),
      Suspects(this->Self, this->Log, this->Tasks, this->Seed),
      Admissions(this->Targets, this->Tasks, {}),
      Chats(this->chatSettings(),
            {this->Tasks, this->Engines, this->Measured, this->Budgets,
             this->Admissions, this->Targets, this->Chooser, this->Outliers,
             this->Retries, this->Watch, this->Explanations, this->Suspects,
             this->Peers},
            this->Seed),
      OrderCalls({this->Tasks, this->Services, this->Measured, this->Orders,
                  this->Retries, this->Watch}),
      OperatorCalls({this->Tasks, this->Measured, this->Budgets, this->Orders,
                     this->Watch, this->Explanations, this->Suspects,
                     [this] { return this->status(); }}),
      CallerServer(this->limitsOf(this->Settings.Callers),
                   this->handlerFor(&Router::answerCaller)),
      OperatorServer(this->limitsOf(this->Settings.Operators),
                     this->handlerFor(&Router::answerOperator)) {}

/// The upper half names this boot of this machine and the port that only one
/// process of it can hold, so that a later run can tell that an earlier one
/// has ended. The lower half tells runs of one boot apart.
Incarnation Router::makeSelf() const {
  const Endpoint &At = this->Settings.Peers.At;
  std::uint64_t Boot =
      hash64(readBootId() + "/" + At.Address + "/" + std::to_string(At.Port));
  auto Started =
      static_cast<std::uint64_t>(readWallClock().time_since_epoch().count());
  return {this->Settings.host(), (Boot & BootBits) | (Started & ~BootBits)};
}

PeerDeskSettings Router::peerSettings() const {
  PeerDeskSettings Made;
  Made.Self = this->Self;
  Made.Domain = this->Settings.domain();
  Made.Listen = {this->Settings.Peers.At.Address, this->Settings.Peers.At.Port};
  for (const auto &[Name, At] : this->Settings.Peers.Seeds)
    Made.Seeds.push_back({idOfName<HostId>(Name), {At.Address, At.Port}});
  Made.KeyFile = this->Settings.Peers.KeyFile;
  return Made;
}

/// The platform's list as the hosts joined it with what they know themselves.
MembershipHooks Router::joinedList() {
  MembershipHooks Made;
  Made.Read = [this](TimePoint) -> Result<MemberList> {
    MemberList Joined;
    Joined.Version = ++this->ListReads;
    Joined.Members = this->Peers.fleet().members().members();
    if (!this->Peers.fleet().members().hasList())
      return std::make_error_code(std::errc::resource_unavailable_try_again);
    return Joined;
  };
  return Made;
}

BudgetDeskSettings Router::budgetSettings() const {
  BudgetDeskSettings Made;
  Made.Shards = this->Settings.Ledger.Shards;
  Made.Policy.Eagerness = 1 - this->Settings.Ledger.Caution;
  return Made;
}

BudgetDeskHooks Router::budgetHooks() {
  BudgetDeskHooks Made;
  Made.Log = this->Log;
  Made.Tasks = this->Tasks;
  Made.SendNote = [this](Incarnation Witness, const SettlementNote &Note) {
    this->Peers.sendSettlementNote(Witness, Note);
  };
  Made.ChooseWitness = [this](Incarnation Present) {
    return this->Peers.chooseWitness(Present, false);
  };
  Made.ChooseSecondWitness = [this](Incarnation Present) {
    return this->Peers.chooseWitness(Present, true);
  };
  return Made;
}

OrderDeskHooks Router::orderHooks() {
  OrderDeskHooks Made;
  Made.Tasks = this->Tasks;
  Made.Service = this->Services;
  Made.ChooseTarget = [this](const OrderRequest &Order,
                             const std::vector<TargetId> &Excluded, TimePoint) {
    return OrderApi::chooseTarget(this->Watch, Order.Service,
                                  requestIdOf(Order.Team, Order.Key), Excluded);
  };
  Made.Report = [](TargetId, std::error_code, TimePoint) {};
  Made.WallNow = readWallClock;
  return Made;
}

StreamSnapshotHooks Router::orderSnapshots() {
  StreamSnapshotHooks Made;
  Made.Encode = [this] { return this->Orders.fold().snapshot(); };
  Made.Restore = [this](std::string_view Content) {
    return this->Orders.fold().restore(Content);
  };
  return Made;
}

ChatDeskSettings Router::chatSettings() const {
  ChatDeskSettings Made;
  Made.Domain = this->Settings.domain();
  Made.Stream.FirstChunkTimeout = this->Settings.Limits.FirstTokenTimeout;
  Made.Stream.ChunkTimeout = this->Settings.Limits.BetweenTokensTimeout;
  return Made;
}

HttpServerLimits Router::limitsOf(const ListenSettings &Listen) const {
  HttpServerLimits Made;
  Made.Address = Listen.At.Address;
  Made.Port = Listen.At.Port;
  Made.MaxBodyBytes = Listen.MaxBodyBytes;
  Made.MaxRequests = Listen.MaxRequests;
  Made.MaxUnsentBytes = Listen.MaxUnsentBytes;
  return Made;
}

HttpServer::Handler
Router::handlerFor(void (Router::*Answer)(const HttpRequest &, HttpReply)) {
  return [this, Answer](HttpRequest Request, HttpReply Reply) {
    bool IsTaken = this->Threads.post(
        [this, Answer, Request = std::move(Request), Reply]() mutable {
          (this->*Answer)(Request, std::move(Reply));
        });
    if (!IsTaken)
      sendProblem(Reply, {ApiFailure::Overloaded, "", std::chrono::seconds(1)});
  };
}

Result<void> Router::start() {
  this->bindPeers();
  // The port comes first: it proves that earlier runs of this host have ended.
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
    this->Tasks.sleepUntil(this->Tasks.Now() + CertificateInterval);
    reloadCertificate(this->OperatorServer, this->Settings.Operators);
    reloadCertificate(this->CallerServer, this->Settings.Callers);
  }
}

void Router::bindPeers() {
  this->Peers.OnConfiguration = [this](const ConfigSnapshot &Present) {
    this->warmBudgets(Present);
  };
  this->Peers.OnSettlementNote = [this](const SettlementNote &Note) {
    return this->Budgets.onNote(Note);
  };
  this->Peers.OnAcknowledgement = [this](const NoteAcknowledgement &Answer) {
    this->Budgets.onAcknowledged(Answer);
  };
  // A later run has this host's slices and port; what this run still has in
  // progress ends, and nothing new begins.
  this->Peers.OnReplaced = [this] { this->IsStopping = true; };
  this->Watch.OnLeaving = [this](TargetId Target) {
    this->Peers.fleet().members().noteLeaving(Target);
  };
}

void Router::startTasks() {
  this->Tasks.Spawn([this] { this->endPredecessors(); });
  this->Tasks.Spawn([this] { this->Watch.run(); });
  this->OrderLink.start();
  this->Suspects.start();
  this->Tasks.Spawn([this] { this->Admissions.run(); });
  this->Budgets.start();
}

void Router::endPredecessors() {
  while (!this->Budgets.hasCaughtUp() ||
         !this->OrderLink.Follower.hasCaughtUp())
    this->Tasks.sleepUntil(this->Tasks.Now() + DrainCheckInterval);
  for (Incarnation Gone : this->Budgets.openPredecessors()) {
    bool IsSameBoot = (Gone.Run & BootBits) == (this->Self.Run & BootBits);
    logEvent(LogLevel::Warning, "earlier_run_holds_slices",
             {{"run", Gone.Run}, {"is_proved_ended", IsSameBoot}});
    if (!IsSameBoot)
      continue;
    this->Budgets.declareSucceeded(Gone);
    if (!this->Orders.declareEnded(Gone))
      logEvent(LogLevel::Warning, "end_of_predecessor_not_recorded", {});
  }
}

void Router::warmBudgets(const ConfigSnapshot &Present) {
  Present.tables().Teams.forEach(
      [this](TeamId, const std::shared_ptr<const EffectiveTeam> &Team) {
        this->Budgets.warm(idOfName<TeamId>(Team->Budget.Account));
      });
}

void Router::stop() {
  this->IsStopping = true;
  this->Peers.leave();
  logEvent(LogLevel::Info, "stopping", {{"active", this->active()}});
  TimePoint Start = this->Tasks.Now();
  this->Tasks.sleepUntil(Start + this->Settings.Limits.NotReadyBeforeDrain);
  TimePoint Deadline = Start + this->Settings.Limits.DrainTimeout;
  this->waitForRequests(Deadline);
  this->Orders.drain(this->IsHurried ? this->Tasks.Now() : Deadline);
  std::size_t Left = this->active();
  this->Budgets.stop(this->Tasks.Now() + HandBackTimeout);
  this->OrderLink.stop(this->Tasks.Now() + HandBackTimeout);
  this->CallerServer.stop();
  this->OperatorServer.stop();
  logEvent(LogLevel::Info, "stopped", {{"cut_off", Left}});
}

void Router::waitForRequests(TimePoint Deadline) const {
  while (this->active() > 0 && !this->IsHurried && this->Tasks.Now() < Deadline)
    this->Tasks.sleepUntil(this->Tasks.Now() + DrainCheckInterval);
}

std::size_t Router::active() const {
  return this->Chats.active() + this->OrderCalls.active();
}

std::string Router::notReadyReason() const {
  if (this->IsStopping)
    return "stopping";
  if (!this->Peers.fleet().isReady())
    return "configuration";
  if (!this->Budgets.hasCaughtUp())
    return "ledger";
  if (!this->OrderLink.Follower.hasCaughtUp())
    return "orders";
  if (!this->Watch.hasList())
    return "membership list";
  return "";
}

HostStatus Router::status() const {
  HostStatus Present;
  Present.Name = this->Settings.HostName;
  Present.Self = this->Self;
  Present.Waiting = this->notReadyReason();
  Present.IsReady = Present.Waiting.empty();
  Present.IsStopping = this->IsStopping;
  Present.Active = this->active();
  return Present;
}

void Router::sendReadiness(HttpReply &Reply) const {
  std::string Reason = this->notReadyReason();
  if (Reason.empty())
    return sendJson(Reply, 200, {{"ready", true}});
  sendJson(Reply, 503, {{"ready", false}, {"waiting_for", Reason}});
}

void Router::sendMetrics(HttpReply &Reply) {
  StreamAppenderHealth Health = this->Budgets.health();
  this->Measured.set("requests_active", static_cast<double>(this->active()));
  this->Measured.set("requests_queued",
                     static_cast<double>(this->Admissions.queued()));
  this->Measured.set("ledger_records_waiting",
                     static_cast<double>(Health.Queued));
  this->Measured.set("ledger_append_failures_in_a_row",
                     Health.ConsecutiveFailures);
  this->Measured.set("reservations_open",
                     static_cast<double>(this->Budgets.reservations()));
  this->Measured.set("targets_known",
                     static_cast<double>(this->Targets.size()));
  this->Measured.set(
      "targets_ejected",
      static_cast<double>(this->Outliers.ejectedCount(this->Tasks.Now())));
  this->Measured.set(
      "configuration_revision",
      static_cast<double>(this->Peers.fleet().fold().revision().Value));
  this->Peers.writeMetrics();
  Reply.sendWhole(200, "text/plain; version=0.0.4",
                  this->Measured.toPrometheusText());
}

void Router::answerOperator(const HttpRequest &Request, HttpReply Reply) {
  if (Request.Path == "/healthz")
    return sendJson(Reply, 200, {{"alive", true}});
  if (Request.Path == "/readyz")
    return this->sendReadiness(Reply);
  if (Request.Path == "/metrics")
    return this->sendMetrics(Reply);
  this->OperatorCalls.answer(this->Peers.fleet().snapshot(), Request,
                             std::move(Reply));
}

void Router::answerCaller(const HttpRequest &Request, HttpReply Reply) {
  if (Request.Path == "/healthz")
    return sendJson(Reply, 200, {{"alive", true}});
  if (Request.Path == "/readyz")
    return this->sendReadiness(Reply);
  std::string Reason = this->notReadyReason();
  // Requests that the balancer still sends while a stop begins are served.
  if (!Reason.empty() && !this->IsStopping)
    return sendProblem(Reply, {ApiFailure::NotReady, "waiting for " + Reason,
                               std::chrono::seconds(1)});
  // The request keeps this revision to its end.
  ConfigSnapshot Present = this->Peers.fleet().snapshot();
  this->routeCaller(Present, Request, Reply);
}

void Router::routeCaller(const ConfigSnapshot &Present,
                         const HttpRequest &Request, HttpReply &Reply) {
  const std::string &Path = Request.Path;
  bool IsPost = Request.Method == "POST";
  if (Path == "/v1/chat/completions" && IsPost)
    return this->Chats.answer(Present, Request, Reply);
  if (Path == "/v1/orders" && IsPost)
    return this->OrderCalls.postOrder(Present, Request, Reply);
  if (Path == "/v1/orders/tickets" && IsPost)
    return this->OrderCalls.postTicket(Present, Request, Reply);
  if (Path.starts_with(OrderPrefix) && Request.Method == "GET")
    return this->OrderCalls.getOrder(Present, Request,
                                     Path.substr(OrderPrefix.size()), Reply);
  if (Path.starts_with("/v1/services/"))
    return this->OrderCalls.callService(Present, Request, Reply);
  sendProblem(Reply, {ApiFailure::UnknownRoute, "", std::nullopt});
}

} // namespace bergamothook
