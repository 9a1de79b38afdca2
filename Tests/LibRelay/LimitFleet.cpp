#include "LimitFleet.h"

#include "EmptyWalletLog.h"
#include "LibNet/NetError.h"
#include "LibObserve/StructuredLog.h"

#include <algorithm>

namespace bergamothook {

namespace {

constexpr const char *FleetKey =
    R"({"signWith": 0, "keys": {"0": "00112233445566778899aabbccddeeff)"
    R"(00112233445566778899aabbccddeeff"}})";
constexpr const char *ServiceName = "engines";

constexpr Duration HousekeepingInterval = std::chrono::milliseconds(200);

/// The rule for a target that states a limit.
constexpr Duration RuleWindow = std::chrono::seconds(4);
constexpr Duration RuleDelay = std::chrono::seconds(3);
constexpr Duration RuleSecond = std::chrono::seconds(1);
constexpr double RuleFactor = 1.5;
constexpr double RuleSlack = 5;

} // namespace

LimitFleet::Process::Process(LimitFleet &Fleet, int Host, std::uint64_t Run)
    : Host(Host),
      Broker(Fleet.entryOf(Host, Run), std::to_string(Run), {},
             Fleet.tokenHooks(Fleet.Processes.size()), this->Stats, Run),
      Dispatcher(Fleet.relaySettings(Host, Run),
                 Fleet.relayHooks(Fleet.Processes.size()), this->Broker,
                 this->Stats) {}

LimitFleet::LimitFleet(LimitFleetSettings InitialSettings, std::uint64_t Seed)
    : Settings(InitialSettings), Rng(Seed) {
  startLogging("test", "test", LogLevel::Error);
  auto Fresh = std::make_shared<RelayConfig>();
  Fresh->Version = 1;
  RelayRoute Route;
  Route.Name = "route";
  Route.Host = "api.example";
  Route.PathPrefix = "/";
  Route.Kind = this->Settings.Kind;
  Route.IsResumable = true;
  Route.Timeout = std::chrono::seconds(10);
  Route.MaxTargets = 3;
  Route.Services = {{ServiceName, 1}};
  Route.IsPublic = true;
  Fresh->addRoute(Route);
  RoutedService Service;
  Service.Name = ServiceName;
  Service.ColdPerSecond = this->Settings.ColdPerSecond;
  Fresh->addService(Service);
  this->Config = Fresh;
  for (int Target = 0; Target < this->Settings.Targets; ++Target) {
    ModelTarget Model;
    Model.Listed.Id = "t" + std::to_string(Target);
    Model.Listed.Service = ServiceName;
    Model.Listed.Address = "10.0.0." + std::to_string(Target) + ":80";
    Model.Listed.StartedAt = 1;
    this->Targets.push_back(Model);
  }
  this->Newest.resize(static_cast<std::size_t>(this->Settings.Hosts));
  for (int Host = 0; Host < this->Settings.Hosts; ++Host)
    this->start(Host);
  this->publishRosters();
  this->publishTargets();
  this->Simulated.runFor(std::chrono::seconds(4));
}

LimitFleet::~LimitFleet() {
  // Tasks must end before the runtime does.
  for (auto &Each : this->Processes) {
    Each->IsFrozen = false;
    Each->Thawed.notify();
    Each->HasEnded = true;
    TokenBroker &Broker = Each->Broker;
    this->Simulated.hooks().Spawn([this, &Broker] {
      Broker.stop(this->Simulated.now(), this->Simulated.now());
    });
  }
  this->Simulated.runFor(std::chrono::seconds(20));
}

Runtime LimitFleet::tasksOf(std::size_t Index) {
  Runtime Tasks = this->Simulated.hooks();
  // A frozen process goes on only after it is thawed, wherever it waits.
  Tasks.WaitOn = [this, Index, Base = Tasks](Event &Signal, std::uint64_t Seen,
                                             TimePoint Deadline) {
    Base.WaitOn(Signal, Seen, Deadline);
    Process &Owner = *this->Processes[Index];
    Base.waitUntil(Owner.Thawed, TimePoint::max(),
                   [&Owner] { return !Owner.IsFrozen; });
  };
  return Tasks;
}

RosterHost LimitFleet::entryOf(int Host, std::uint64_t Run) const {
  std::string Number = std::to_string(Host);
  return {"host-" + Number,
          "domain-" + std::to_string(Host % this->Settings.FailureDomains),
          Number, Run};
}

RelaySettings LimitFleet::relaySettings(int Host, std::uint64_t Run) const {
  RelaySettings Chosen;
  Chosen.Self = "host-" + std::to_string(Host) + "#" + std::to_string(Run);
  Chosen.OwnDomain = this->entryOf(Host, Run).FailureDomain;
  Chosen.Resends.FleetSlack = 1000;
  Chosen.Seed = Run;
  if (this->Settings.HasShortLeases)
    Chosen.Limiter.LeaseTime = std::chrono::milliseconds(100);
  return Chosen;
}

void LimitFleet::start(int Host) {
  std::uint64_t Run = this->Processes.size() + 1;
  this->Newest[static_cast<std::size_t>(Host)] = this->Processes.size();
  this->Processes.push_back(std::make_unique<Process>(*this, Host, Run));
  Process &Started = *this->Processes.back();
  Started.Dispatcher.setConfig(this->Config);
  Started.Dispatcher.resends().setHosts(1);
  Started.Broker.begin({KeyRing::parse(FleetKey).value(), 1});
  this->Simulated.hooks().Spawn([&Started] { Started.Broker.run(); });
  this->Simulated.hooks().Spawn([&Started] {
    const Runtime &Tasks = Started.Dispatcher.hooks().Tasks;
    while (!Started.HasEnded) {
      Started.Dispatcher.limiter().renewLeases();
      Tasks.sleepUntil(Tasks.Now() + HousekeepingInterval);
    }
  });
}

void LimitFleet::setStoreOut(bool IsOut) {
  this->IsStoreOut = IsOut;
  this->publishRosters();
}

void LimitFleet::publishRosters() {
  if (this->IsStoreOut)
    return;
  std::vector<RosterHost> Hosts;
  for (int Host = 0; Host < this->hosts(); ++Host)
    if (!this->Left.contains(Host))
      Hosts.push_back(this->process(Host).Broker.roster().self());
  for (auto &Each : this->Processes)
    if (Each->IsAlive) {
      Each->Broker.roster().replaceAll(Hosts, this->now());
      Each->Broker.roster().setSettled(this->Settings.LeasesAfterStart
                                           ? this->now() -
                                                 LimiterPolicy{}.LeaseTime
                                           : this->now());
    }
}

void LimitFleet::publishTargets() {
  std::vector<ListedTarget> Listed;
  for (const ModelTarget &Each : this->Targets)
    if (!Each.IsGone)
      Listed.push_back(Each.Listed);
  for (auto &Each : this->Processes)
    if (Each->IsAlive)
      Each->Dispatcher.targets().onFullList(Listed, this->now());
  this->publishCold();
}

void LimitFleet::setCold(int Target, Duration Left) {
  this->Targets[static_cast<std::size_t>(Target)].ColdPeriods.emplace_back(
      this->now(), this->now() + Left);
  this->publishCold();
}

void LimitFleet::publishCold() {
  ++this->LastEntry;
  for (const ModelTarget &Each : this->Targets) {
    if (Each.IsGone || Each.ColdPeriods.empty())
      continue;
    Duration Left = std::max(Duration::zero(),
                             Each.ColdPeriods.back().second - this->now());
    for (auto &Reader : this->Processes)
      if (Reader->IsAlive)
        Reader->Dispatcher.onColdReport(
            {Each.Listed.runKey(), Left, this->LastEntry}, "entry");
  }
}

std::size_t LimitFleet::mostInColdSecond(int Target) const {
  const ModelTarget &Model = this->Targets[static_cast<std::size_t>(Target)];
  std::size_t Most = 0;
  for (const auto &[From, Until] : Model.ColdPeriods)
    for (TimePoint Begin : Model.Arrivals)
      if (Begin >= From && Begin < Until)
        Most = std::max(
            Most, static_cast<std::size_t>(this->arrivals(
                      Target, Begin, std::min(Until, Begin + RuleSecond))));
  return Most;
}

TokenHooks LimitFleet::tokenHooks(std::size_t Index) {
  TokenHooks Hooks;
  Hooks.Tasks = this->tasksOf(Index);
  Hooks.MakeLog = [](unsigned) { return makeEmptyLog(); };
  Hooks.SendDatagram = [this, Index](const std::string &Address,
                                     const std::string &Bytes) {
    const Process &Sender = *this->Processes[Index];
    if (!Sender.IsAlive)
      return;
    ++this->Messages;
    if (this->Rng.below(1000) < this->Settings.LostPerMille)
      return;
    int To = std::stoi(Address);
    this->deliver(Sender.Host, To, Bytes);
    if (this->Rng.below(1000) < this->Settings.DuplicatedPerMille)
      this->deliver(Sender.Host, To, Bytes);
  };
  return Hooks;
}

bool LimitFleet::isConnected(int From, int To) const {
  return !this->Isolated.contains(From) && !this->Isolated.contains(To) &&
         (From < this->SplitBelow) == (To < this->SplitBelow);
}

void LimitFleet::deliver(int From, int To, const std::string &Bytes) {
  auto Spread = static_cast<std::uint64_t>(
      (this->Settings.MaxDelay - this->Settings.MinDelay).count());
  Duration Delay =
      this->Settings.MinDelay +
      Duration(static_cast<Duration::rep>(this->Rng.below(Spread + 1)));
  this->Simulated.hooks().Spawn([this, From, To, Bytes, Delay] {
    this->Simulated.hooks().sleepUntil(this->now() + Delay);
    Process &Receiver = this->process(To);
    if (Receiver.IsAlive && this->isConnected(From, To))
      Receiver.Broker.received(Bytes);
  });
}

RelayHooks LimitFleet::relayHooks(std::size_t Index) {
  RelayHooks Hooks;
  Hooks.Tasks = this->tasksOf(Index);
  Hooks.LeaseClock = Hooks.Tasks.Now;
  Hooks.MakeHead = [](const RelayCall &Call, const ListedTarget &, Duration,
                      std::optional<std::uint64_t>) { return Call.Head; };
  Hooks.Open = [this, Index](const ListedTarget &Target, const RelayCall &,
                             const HttpRequestHead &, const CallerHooks &,
                             const SendTerms &Terms) -> Result<TargetExchange> {
    auto Connecting =
        static_cast<std::uint64_t>(this->Settings.MaxConnectTime.count());
    if (Connecting > 0)
      this->tasksOf(Index).sleepUntil(
          this->now() +
          Duration(static_cast<Duration::rep>(this->Rng.below(Connecting))));
    if (!this->Settings.SkipsLastCheck && !Terms.MayReceive())
      return NetError::ConnectFailed;
    return this->open(Index, Target);
  };
  Hooks.Classify = [](const HttpResponseHead &Head, const RelayCall &) {
    return Head.Status == 421 ? ResponseVerdict::WrongTarget
                              : ResponseVerdict::Ran;
  };
  Hooks.ReadRateLimit = [](const HttpResponseHead &Head) -> RateLimitField {
    auto Text = Head.Headers.find("Rate-Limit");
    if (!Text)
      return {};
    return {std::stod(std::string(*Text)), std::nullopt};
  };
  Hooks.MakeRefusal = [](unsigned Status, const RelayCall &,
                         std::optional<Duration> After) {
    HttpResponseHead Head;
    Head.Status = Status;
    if (After)
      Head.Headers.add("Retry-After", std::to_string(secondsOf(*After)));
    return Head;
  };
  return Hooks;
}

Result<TargetExchange> LimitFleet::open(std::size_t Index,
                                        const ListedTarget &Target) {
  if (!this->Processes[Index]->IsAlive)
    return NetError::ConnectFailed;
  auto Model = std::find_if(
      this->Targets.begin(), this->Targets.end(), [&](const ModelTarget &Each) {
        return !Each.IsGone && Each.Listed.Address == Target.Address;
      });
  if (Model == this->Targets.end())
    return NetError::ConnectFailed;
  Model->Arrivals.push_back(this->now());
  HttpResponseHead Head;
  Head.Status = 200;
  if (Model->Listed.Id != Target.Id)
    Head.Status = 421;
  else if (this->Rng.below(1000) < this->Settings.FailedPerMille)
    Head.Status = 500;
  if (!Model->Limits.empty() && Model->Limits.back().PerSecond)
    Head.Headers.add("Rate-Limit",
                     std::to_string(*Model->Limits.back().PerSecond));
  Duration Work = this->Settings.WorkTime;
  Runtime Tasks = this->tasksOf(Index);
  TargetExchange Exchange;
  Exchange.ReadHead = [Head, Work, Tasks](TimePoint) {
    Tasks.sleepUntil(Tasks.Now() + Work);
    return Result<HttpResponseHead>(Head);
  };
  Exchange.ReadBody = [](TimePoint) {
    return Result<BodyPiece>(BodyPiece{"", true, false});
  };
  Exchange.NextResponse = [] {};
  Exchange.Finish = [] {};
  Exchange.Abort = [] {};
  return Exchange;
}

void LimitFleet::setLimit(int Target, std::optional<double> PerSecond) {
  this->Targets[static_cast<std::size_t>(Target)].Limits.push_back(
      {this->now(), PerSecond});
}

int LimitFleet::replaceTarget(int Target) {
  ModelTarget &Old = this->Targets[static_cast<std::size_t>(Target)];
  Old.IsGone = true;
  ModelTarget New;
  New.Listed = Old.Listed;
  New.Listed.StartedAt = Old.Listed.StartedAt + 1;
  this->Targets.push_back(New);
  this->publishTargets();
  return static_cast<int>(this->Targets.size()) - 1;
}

std::optional<Duration> LimitFleet::serve(Process &Server,
                                          RelayOutcome &Outcome) {
  RelayCall Call;
  Call.Id = "call-" + std::to_string(this->Rng.next());
  Call.Config = this->Config;
  Call.Head.Method = "POST";
  Call.Head.Target = "/" + Call.Id;
  Call.Route = Call.Config->findRoute("api.example", "/");
  Call.ArrivedAt = this->now();
  Call.CallerDeadline = Call.ArrivedAt + std::chrono::seconds(5);
  Event Changed;
  CallerHooks Caller;
  Caller.Changed = &Changed;
  Caller.HasLeft = [] { return false; };
  std::optional<Duration> RetryAfter;
  Caller.SendResponse = [&RetryAfter](const HttpResponseHead &Head,
                                      std::string_view) -> Result<void> {
    if (auto Text = Head.Headers.find("Retry-After"))
      RetryAfter = std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(std::stod(std::string(*Text))));
    return success();
  };
  Outcome = Server.Dispatcher.serve(Call, Caller);
  return RetryAfter;
}

void LimitFleet::call(int Host, bool Returns) {
  Process &Server = this->process(Host);
  if (!Server.IsAlive || Server.IsStopped || Server.IsFrozen)
    return;
  ++this->Results.Calls;
  this->Simulated.hooks().Spawn([this, &Server, Returns] {
    RelayOutcome Outcome;
    auto RetryAfter = this->serve(Server, Outcome);
    if (!Server.IsAlive)
      return;
    if (Outcome.Status == 200) {
      ++this->Results.Served;
    } else if (Outcome.Status == 503) {
      ++this->Results.Refused;
      this->Results.RefusedWithoutRetryAfter += RetryAfter ? 0 : 1;
      this->Results.LongestRefusal =
          std::max(this->Results.LongestRefusal, Outcome.Total);
    } else {
      ++this->Results.Failed;
    }
    if (!Returns || !RetryAfter)
      return;
    this->Simulated.hooks().sleepUntil(this->now() + *RetryAfter);
    ++this->Results.Returned;
    this->serve(Server, Outcome);
    this->Results.ServedOnReturn += Outcome.Status == 200 ? 1 : 0;
  });
}

void LimitFleet::load(double PerSecond, Duration Span, int Hosts) {
  auto Range = static_cast<std::uint64_t>(Hosts > 0 ? Hosts : this->hosts());
  TimePoint End = this->now() + Span;
  while (this->now() < End) {
    this->call(static_cast<int>(this->Rng.below(Range)));
    Duration Pause = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(this->Rng.exponential(1 / PerSecond)));
    this->runFor(std::min(Pause, End - this->now()));
  }
}

void LimitFleet::kill(int Host) {
  this->process(Host).IsAlive = false;
  this->process(Host).IsStopped = true;
}

void LimitFleet::restart(const std::vector<int> &Hosts) {
  for (int Host : Hosts) {
    this->kill(Host);
    this->start(Host);
  }
  this->publishRosters();
  this->publishTargets();
}

void LimitFleet::stop(int Host) {
  Process &Stopping = this->process(Host);
  Stopping.IsStopped = true;
  Stopping.Broker.beginStop();
  Stopping.Dispatcher.limiter().beginStop();
  this->Left.insert(Host);
  this->publishRosters();
}

void LimitFleet::addHost() {
  this->Newest.push_back(0);
  this->start(this->hosts() - 1);
  this->publishRosters();
  this->publishTargets();
}

void LimitFleet::freeze(int Host) { this->process(Host).IsFrozen = true; }

void LimitFleet::thaw(int Host) {
  this->process(Host).IsFrozen = false;
  this->process(Host).Thawed.notify();
}

void LimitFleet::setIsolated(int Host, bool IsIsolated) {
  if (IsIsolated)
    this->Isolated.insert(Host);
  else
    this->Isolated.erase(Host);
}

bool LimitFleet::isRunning(int Host) const {
  const Process &Each =
      *this->Processes[this->Newest[static_cast<std::size_t>(Host)]];
  return Each.IsAlive && !Each.IsStopped && !Each.IsFrozen;
}

int LimitFleet::homeOf(int Target) {
  const ListedTarget &Listed =
      this->Targets[static_cast<std::size_t>(Target)].Listed;
  for (int Host = 0; Host < this->hosts(); ++Host) {
    HostRoster &Roster = this->process(Host).Broker.roster();
    if (this->isRunning(Host) &&
        Roster.firstResponsive(Listed.runKey()) == Roster.self().id())
      return Host;
  }
  return 0;
}

std::optional<double> LimitFleet::limitAt(int Host, int Target) {
  return this->process(Host).Dispatcher.limiter().limitOf(
      this->Targets[static_cast<std::size_t>(Target)].Listed.runKey());
}

int LimitFleet::arrivals(int Target, TimePoint From, TimePoint To) const {
  const auto &Times = this->Targets[static_cast<std::size_t>(Target)].Arrivals;
  return static_cast<int>(
      std::count_if(Times.begin(), Times.end(),
                    [&](TimePoint Each) { return Each >= From && Each < To; }));
}

double LimitFleet::worstExcess(int Target) const {
  const ModelTarget &Model = this->Targets[static_cast<std::size_t>(Target)];
  double Worst = -RuleSlack;
  for (TimePoint End : Model.Arrivals) {
    TimePoint Begin = End - RuleWindow;
    // The highest limit stated within the window, or shortly before it, counts.
    std::optional<double> Highest;
    bool IsBound = true;
    for (std::size_t I = 0; I < Model.Limits.size(); ++I) {
      const StatedChange &Change = Model.Limits[I];
      TimePoint EndsAt = I + 1 < Model.Limits.size()
                             ? Model.Limits[I + 1].At + RuleDelay
                             : TimePoint::max();
      if (EndsAt <= Begin || Change.At > End)
        continue;
      IsBound = IsBound && Change.PerSecond.has_value();
      if (Change.PerSecond)
        Highest = std::max(Highest.value_or(0), *Change.PerSecond);
    }
    bool IsStatedLongEnough =
        !Model.Limits.empty() && Begin >= Model.Limits.front().At + RuleDelay;
    if (!IsBound || !Highest || !IsStatedLongEnough)
      continue;
    double Allowed = RuleFactor * *Highest * secondsOf(RuleWindow) + RuleSlack;
    Worst = std::max(Worst, this->arrivals(Target, Begin, End + Duration(1)) -
                                Allowed);
  }
  return Worst;
}

} // namespace bergamothook
