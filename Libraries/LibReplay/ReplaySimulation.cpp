#include "LibReplay/ReplaySimulation.h"

#include <algorithm>

namespace bergamothook {

namespace {

constexpr Duration CrashDowntime = std::chrono::seconds(3);
constexpr Duration SlowTargetDelay = std::chrono::seconds(3);
constexpr Duration LateResponseDelay = std::chrono::seconds(12);
constexpr Duration PauseDuration = std::chrono::seconds(20);
constexpr Duration LogLatency = std::chrono::milliseconds(2);
constexpr Duration SlowLogLatency = std::chrono::milliseconds(1200);
constexpr Duration GossipDelay = std::chrono::milliseconds(5);
constexpr Duration MaxRunTime = std::chrono::minutes(10);
/// How long to continue after the last response, so that targets and paused
/// hosts can finish.
constexpr Duration QuiescenceTime = std::chrono::seconds(5);
/// Long enough for every timer of a dead host to expire and unwind its task.
constexpr Duration UnwindTime = std::chrono::hours(1);

} // namespace

ScenarioReport runScenario(const Scenario &Input) {
  return ReplaySimulation(Input).run();
}

ReplaySimulation::ReplaySimulation(const Scenario &Input)
    : Input(Input), Base(this->Simulated.hooks()),
      Platform(this->Base, Input.Seed), Start(this->Simulated.now()),
      LastFaultEnd(this->Start) {
  this->build();
}

ReplaySimulation::~ReplaySimulation() {
  for (auto &Host : this->Hosts)
    Host.Process.kill();
  for (auto &Caller : this->Callers)
    Caller.HasHungUp = true;
  this->Simulated.runFor(UnwindTime);
}

void ReplaySimulation::build() {
  this->Platform.OnStep = [this](Step At, RequestId Request,
                                 SimulatedProcess &Process) {
    this->onStep(At, Request, Process);
  };
  for (std::size_t Index = 0; Index < this->Input.Engines; ++Index)
    this->Platform.Engines.emplace_back(engineId(Index), this->Base,
                                        this->Platform.OnStep);
  for (std::size_t Index = 0; Index < this->Input.Runners; ++Index)
    this->Platform.Runners.emplace_back(runnerId(Index), this->Base,
                                        this->Platform.OnStep,
                                        this->Input.ChecksFence);
  for (std::size_t Index = 0; Index < this->Input.Hosts; ++Index)
    this->Hosts.emplace_back(Index, this->Platform, this->Input.Policy,
                             this->Input.Seed * 31 + Index);
  this->Platform.Gossip = [this](HostId From, const CrashReport &Received) {
    this->Base.Spawn([this, From, Received] {
      this->Base.sleepUntil(this->Base.Now() + GossipDelay);
      for (auto &Host : this->Hosts)
        if (Host.Self.Host != From && !Host.Process.isPartitioned())
          Host.Poison.apply(Received, this->Base.Now());
    });
  };
  for (const auto &Request : this->Input.Requests) {
    CallerState &Added = this->Callers.emplace_back();
    Added.Request = &Request;
    Added.Key = Request.Key;
    Added.Id = requestIdOf(idOfName<TeamId>(Request.Team), Request.Key);
  }
  this->Report.Requests.resize(this->Input.Requests.size());
}

ScenarioReport ReplaySimulation::run() {
  for (std::size_t Index = 0; Index < this->Callers.size(); ++Index)
    this->Base.Spawn([this, Index] { this->runCaller(Index); });
  for (const auto &Fault : this->Input.Faults)
    if (!Fault.Request)
      this->Base.Spawn([this, &Fault] { this->injectAtTime(Fault); });
  bool HasEnded = this->Simulated.runUntil(
      [this] {
        return std::all_of(
            this->Callers.begin(), this->Callers.end(),
            [](const CallerState &Caller) { return Caller.HasEnded; });
      },
      MaxRunTime);
  if (!HasEnded)
    this->Report.Violations.emplace_back(
        "a caller did not finish before the time limit");
  // A paused host may still resume and dispatch a request; the ledgers must
  // include it.
  TimePoint QuiescentAt =
      std::max(this->LastFaultEnd, this->Simulated.now()) + QuiescenceTime;
  this->Simulated.runFor(QuiescentAt - this->Simulated.now());
  this->check();
  return this->Report;
}

ReplayHost &ReplaySimulation::hostOf(SimulatedProcess &Process) {
  for (auto &Host : this->Hosts)
    if (&Host.Process == &Process)
      return Host;
  return this->Hosts.front();
}

FakeTarget &ReplaySimulation::targetOf(const CallerState &Caller) {
  bool IsOrder = Caller.Request->Kind == RequestKind::Order;
  auto LastTarget = this->Platform.LastTarget.find(Caller.Id);
  std::uint64_t First = IsOrder ? runnerId(0).Value : engineId(0).Value;
  std::size_t Count =
      IsOrder ? this->Platform.Runners.size() : this->Platform.Engines.size();
  // If no target has been selected yet, inject the fault into the one that will
  // be selected first.
  std::uint64_t Number = LastTarget == this->Platform.LastTarget.end()
                             ? Caller.Id.Low % Count
                             : LastTarget->second.Value - First;
  if (IsOrder)
    return this->Platform.Runners[Number];
  return this->Platform.Engines[Number];
}

void ReplaySimulation::onStep(Step At, RequestId Request,
                              SimulatedProcess &Process) {
  for (const auto &Fault : this->Input.Faults) {
    if (!Fault.Request || Fault.At != At ||
        this->InjectedFaults.contains(&Fault) ||
        this->Callers[*Fault.Request].Id != Request)
      continue;
    this->injectFault(Fault, *Fault.Request, Process);
  }
}

bool ReplaySimulation::isTargetFault(FaultKind Kind) const {
  return Kind <= FaultKind::LateAnswer;
}

void ReplaySimulation::injectFault(const ScenarioFault &Fault,
                                   std::size_t Request,
                                   SimulatedProcess &Process) {
  this->InjectedFaults.insert(&Fault);
  ++this->Report.FaultsInjected;
  CallerState &Caller = this->Callers[Request];
  if (this->isTargetFault(Fault.Kind))
    this->injectTargetFault(Fault, this->targetOf(Caller));
  this->injectHostFault(Fault, this->hostOf(Process));
  this->injectLogFault(Fault);
  this->injectCallerFault(Fault, Caller);
}

void ReplaySimulation::injectAtTime(const ScenarioFault &Fault) {
  this->Base.sleepUntil(this->Start + Fault.AtTime);
  this->InjectedFaults.insert(&Fault);
  ++this->Report.FaultsInjected;
  if (this->isTargetFault(Fault.Kind)) {
    std::size_t Engines = this->Platform.Engines.size();
    if (Fault.Subject < Engines)
      this->injectTargetFault(Fault, this->Platform.Engines[Fault.Subject]);
    else
      this->injectTargetFault(
          Fault, this->Platform.Runners[(Fault.Subject - Engines) %
                                        this->Platform.Runners.size()]);
  }
  this->injectHostFault(Fault, this->Hosts[Fault.Subject % this->Hosts.size()]);
  this->injectLogFault(Fault);
}

void ReplaySimulation::injectTargetFault(const ScenarioFault &Fault,
                                         FakeTarget &Target) {
  TimePoint Now = this->Base.Now();
  switch (Fault.Kind) {
  case FaultKind::TargetCrash:
    Target.crash(CrashDowntime);
    break;
  case FaultKind::TargetRefusal:
    Target.refuseUntil(Now + Fault.Span);
    break;
  case FaultKind::TargetSilence:
    Target.stallConnections();
    break;
  case FaultKind::TargetSlow:
    Target.slowUntil(Now + Fault.Span, SlowTargetDelay);
    break;
  case FaultKind::LateAnswer:
    for (auto &Runner : this->Platform.Runners)
      if (&Runner == &Target)
        Runner.delayResponses(LateResponseDelay);
    for (auto &Engine : this->Platform.Engines)
      if (&Engine == &Target)
        Engine.reorderChunks();
    break;
  default:
    break;
  }
}

void ReplaySimulation::injectHostFault(const ScenarioFault &Fault,
                                       ReplayHost &Host) {
  TimePoint Now = this->Base.Now();
  switch (Fault.Kind) {
  case FaultKind::RouterDeath:
    Host.Process.kill();
    for (auto &Attempt : this->Attempts)
      Attempt.Changed.notify();
    break;
  case FaultKind::RouterPause:
    Host.Process.pauseUntil(Now + PauseDuration);
    this->LastFaultEnd = std::max(this->LastFaultEnd, Now + PauseDuration);
    break;
  case FaultKind::RouterStop:
    Host.stop();
    break;
  case FaultKind::AppendLostBefore:
    Host.NextAppendLoss = AppendLoss::BeforeEffect;
    break;
  case FaultKind::AppendLostAfter:
    Host.NextAppendLoss = AppendLoss::AfterEffect;
    break;
  case FaultKind::Partition:
    Host.Process.partitionUntil(Now + Fault.Span);
    this->LastFaultEnd = std::max(this->LastFaultEnd, Now + Fault.Span);
    break;
  default:
    break;
  }
}

void ReplaySimulation::injectLogFault(const ScenarioFault &Fault) {
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

void ReplaySimulation::injectCallerFault(const ScenarioFault &Fault,
                                         CallerState &Caller) {
  bool IsHangUp = Fault.Kind == FaultKind::CallerHangUp;
  if (!IsHangUp && Fault.Kind != FaultKind::RetryElsewhere)
    return;
  Caller.HasHungUp |= IsHangUp;
  if (Caller.CurrentAttempt == nullptr)
    return;
  Caller.CurrentAttempt->IsAbandoned = true;
  Caller.CurrentAttempt->Changed.notify();
}

} // namespace bergamothook
