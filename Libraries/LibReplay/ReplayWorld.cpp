#include "LibReplay/ReplayWorld.h"

#include <algorithm>

namespace bergamothook {

namespace {

constexpr Duration CrashDowntime = std::chrono::seconds(3);
constexpr Duration SlowBy = std::chrono::seconds(3);
constexpr Duration AnswerLateBy = std::chrono::seconds(12);
constexpr Duration PauseTime = std::chrono::seconds(20);
constexpr Duration LogLatency = std::chrono::milliseconds(2);
constexpr Duration SlowLogLatency = std::chrono::milliseconds(1200);
constexpr Duration GossipDelay = std::chrono::milliseconds(5);
constexpr Duration LongestRun = std::chrono::minutes(10);
/// How long targets and paused hosts may still act after the last answer.
constexpr Duration QuietTime = std::chrono::seconds(5);
/// Long enough for every timer of a dead host to wake its task.
constexpr Duration UnwindTime = std::chrono::hours(1);

} // namespace

ScenarioReport runScenario(const Scenario &Played) {
  return ReplayWorld(Played).run();
}

ReplayWorld::ReplayWorld(const Scenario &Played)
    : Played(Played), Base(this->Simulated.hooks()),
      Platform(this->Base, Played.Seed), Start(this->Simulated.now()),
      QuietFrom(this->Start) {
  this->build();
}

ReplayWorld::~ReplayWorld() {
  for (auto &Host : this->Hosts)
    Host.Gate.kill();
  for (auto &Present : this->Callers)
    Present.HasHungUp = true;
  this->Simulated.runFor(UnwindTime);
}

void ReplayWorld::build() {
  this->Platform.Reach = [this](Step At, RequestId Request, HostGate &Gate) {
    this->reach(At, Request, Gate);
  };
  for (std::size_t At = 0; At < this->Played.Engines; ++At)
    this->Platform.Engines.emplace_back(engineId(At), this->Base,
                                        this->Platform.Reach);
  for (std::size_t At = 0; At < this->Played.Runners; ++At)
    this->Platform.Runners.emplace_back(runnerId(At), this->Base,
                                        this->Platform.Reach,
                                        this->Played.ChecksFence);
  for (std::size_t At = 0; At < this->Played.Hosts; ++At)
    this->Hosts.emplace_back(At, this->Platform, this->Played.Policy,
                             this->Played.Seed * 31 + At);
  this->Platform.Gossip = [this](HostId From, const CrashReport &Told) {
    this->Base.Spawn([this, From, Told] {
      this->Base.sleepUntil(this->Base.Now() + GossipDelay);
      for (auto &Host : this->Hosts)
        if (Host.Self.Host != From && !Host.Gate.isCut())
          Host.Poison.apply(Told, this->Base.Now());
    });
  };
  for (const auto &Request : this->Played.Requests) {
    Caller &Made = this->Callers.emplace_back();
    Made.Request = &Request;
    Made.Key = Request.Key;
    Made.Id = requestIdOf(idOfName<TeamId>(Request.Team), Request.Key);
  }
  this->Report.Requests.resize(this->Played.Requests.size());
}

ScenarioReport ReplayWorld::run() {
  for (std::size_t At = 0; At < this->Callers.size(); ++At)
    this->Base.Spawn([this, At] { this->runCaller(At); });
  for (const auto &Fault : this->Played.Faults)
    if (!Fault.Request)
      this->Base.Spawn([this, &Fault] { this->strikeAtTime(Fault); });
  bool HasEnded = this->Simulated.runUntil(
      [this] {
        return std::all_of(this->Callers.begin(), this->Callers.end(),
                           [](const Caller &Each) { return Each.HasEnded; });
      },
      LongestRun);
  if (!HasEnded)
    this->Report.Violations.emplace_back("a caller got no answer");
  // A paused host may still wake and dispatch; the ledgers must show it.
  TimePoint Quiet =
      std::max(this->QuietFrom, this->Simulated.now()) + QuietTime;
  this->Simulated.runFor(Quiet - this->Simulated.now());
  this->check();
  return this->Report;
}

ReplayHost &ReplayWorld::hostOf(HostGate &Gate) {
  for (auto &Host : this->Hosts)
    if (&Host.Gate == &Gate)
      return Host;
  return this->Hosts.front();
}

FakeTarget &ReplayWorld::targetOf(const Caller &Present) {
  bool IsOrder = Present.Request->Kind == RequestKind::Order;
  auto Last = this->Platform.LastTarget.find(Present.Id);
  std::uint64_t First = IsOrder ? runnerId(0).Value : engineId(0).Value;
  std::size_t Count =
      IsOrder ? this->Platform.Runners.size() : this->Platform.Engines.size();
  // Before a target is chosen, the one that will be is struck.
  std::uint64_t Number = Last == this->Platform.LastTarget.end()
                             ? Present.Id.Low % Count
                             : Last->second.Value - First;
  if (IsOrder)
    return this->Platform.Runners[Number];
  return this->Platform.Engines[Number];
}

void ReplayWorld::reach(Step At, RequestId Request, HostGate &Gate) {
  for (const auto &Fault : this->Played.Faults) {
    if (!Fault.Request || Fault.At != At || this->Struck.contains(&Fault) ||
        this->Callers[*Fault.Request].Id != Request)
      continue;
    this->strike(Fault, *Fault.Request, Gate);
  }
}

bool ReplayWorld::isTargetFault(FaultKind Kind) const {
  return Kind <= FaultKind::LateAnswer;
}

void ReplayWorld::strike(const ScenarioFault &Fault, std::size_t Request,
                         HostGate &Gate) {
  this->Struck.insert(&Fault);
  ++this->Report.FaultsStruck;
  Caller &Present = this->Callers[Request];
  if (this->isTargetFault(Fault.Kind))
    this->strikeTarget(Fault, this->targetOf(Present));
  this->strikeHost(Fault, this->hostOf(Gate));
  this->strikeLog(Fault);
  this->strikeCaller(Fault, Present);
}

void ReplayWorld::strikeAtTime(const ScenarioFault &Fault) {
  this->Base.sleepUntil(this->Start + Fault.AtTime);
  this->Struck.insert(&Fault);
  ++this->Report.FaultsStruck;
  if (this->isTargetFault(Fault.Kind)) {
    std::size_t Engines = this->Platform.Engines.size();
    if (Fault.Subject < Engines)
      this->strikeTarget(Fault, this->Platform.Engines[Fault.Subject]);
    else
      this->strikeTarget(Fault,
                         this->Platform.Runners[(Fault.Subject - Engines) %
                                                this->Platform.Runners.size()]);
  }
  this->strikeHost(Fault, this->Hosts[Fault.Subject % this->Hosts.size()]);
  this->strikeLog(Fault);
}

void ReplayWorld::strikeTarget(const ScenarioFault &Fault, FakeTarget &Target) {
  TimePoint Now = this->Base.Now();
  switch (Fault.Kind) {
  case FaultKind::TargetCrash:
    Target.crash(CrashDowntime);
    break;
  case FaultKind::TargetRefusal:
    Target.refuseUntil(Now + Fault.Span);
    break;
  case FaultKind::TargetSilence:
    Target.silence();
    break;
  case FaultKind::TargetSlow:
    Target.slowUntil(Now + Fault.Span, SlowBy);
    break;
  case FaultKind::LateAnswer:
    for (auto &Runner : this->Platform.Runners)
      if (&Runner == &Target)
        Runner.delayAnswers(AnswerLateBy);
    for (auto &Engine : this->Platform.Engines)
      if (&Engine == &Target)
        Engine.scramble();
    break;
  default:
    break;
  }
}

void ReplayWorld::strikeHost(const ScenarioFault &Fault, ReplayHost &Host) {
  TimePoint Now = this->Base.Now();
  switch (Fault.Kind) {
  case FaultKind::RouterDeath:
    Host.Gate.kill();
    for (auto &Attempt : this->Attempts)
      Attempt.Changed.notify();
    break;
  case FaultKind::RouterPause:
    Host.Gate.pauseUntil(Now + PauseTime);
    this->QuietFrom = std::max(this->QuietFrom, Now + PauseTime);
    break;
  case FaultKind::RouterStop:
    Host.stop();
    break;
  case FaultKind::AppendLostBefore:
    Host.NextLoss = AppendLoss::BeforeEffect;
    break;
  case FaultKind::AppendLostAfter:
    Host.NextLoss = AppendLoss::AfterEffect;
    break;
  case FaultKind::Partition:
    Host.Gate.cutUntil(Now + Fault.Span);
    this->QuietFrom = std::max(this->QuietFrom, Now + Fault.Span);
    break;
  default:
    break;
  }
}

void ReplayWorld::strikeLog(const ScenarioFault &Fault) {
  LogFaults &Faults = this->Platform.Log.Faults;
  if (Fault.Kind == FaultKind::LogOut)
    Faults.IsDown = true;
  else if (Fault.Kind == FaultKind::LogSlow)
    Faults.Latency = SlowLogLatency;
  else
    return;
  this->Base.Spawn([this, &Fault] {
    this->Base.sleepUntil(this->Base.Now() + Fault.Span);
    if (Fault.Kind == FaultKind::LogOut)
      this->Platform.Log.Faults.IsDown = false;
    else
      this->Platform.Log.Faults.Latency = LogLatency;
  });
}

void ReplayWorld::strikeCaller(const ScenarioFault &Fault, Caller &Struck) {
  bool IsHangUp = Fault.Kind == FaultKind::CallerHangUp;
  if (!IsHangUp && Fault.Kind != FaultKind::RetryElsewhere)
    return;
  Struck.HasHungUp |= IsHangUp;
  if (Struck.Present == nullptr)
    return;
  Struck.Present->IsAbandoned = true;
  Struck.Present->Changed.notify();
}

} // namespace bergamothook
