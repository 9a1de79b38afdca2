#include "LibReplay/ReplayHost.h"

#include "LibReplay/PlainPolicy.h"

#include <algorithm>

namespace bergamothook {

namespace {

constexpr std::uint64_t RunnerIdBase = 1000;
constexpr Duration UnreachableDelay = std::chrono::milliseconds(20);
constexpr Duration StopAppendTime = std::chrono::seconds(10);
constexpr WallTime ReplayEpoch{std::chrono::milliseconds(1'780'000'000'000)};

} // namespace

TargetAddress addressOf(std::uint64_t Number) {
  return {"127.0.0.1", static_cast<std::uint16_t>(Number + 1)};
}

TargetId engineId(std::size_t Number) { return TargetId{Number + 1}; }

TargetId runnerId(std::size_t Number) {
  return TargetId{RunnerIdBase + Number + 1};
}

ReplayPlatform::ReplayPlatform(Runtime Base, std::uint64_t Seed)
    : Base(std::move(Base)), Log({}, Seed) {
  this->Log.Faults.Latency = std::chrono::milliseconds(2);
}

ReplayHost::ReplayHost(std::size_t Index, ReplayPlatform &Platform,
                       ReplayPolicy Policy, std::uint64_t Seed)
    : Self{HostId{Index + 1}, 1}, Platform(Platform), Policy(Policy),
      Process(Platform.Base), Tasks(this->Process.hooks()), Rng(Seed),
      Records(OrderStream, this->logHooks(), this->Tasks, {}, Seed),
      Dispatcher(this->Self, this->Records, {}, {}, this->dispatcherHooks(),
                 Seed),
      Follower(OrderStream, Offset{0}, this->logHooks(), this->Tasks,
               this->followerHooks(), {}, Seed),
      Poison(this->Self.Host, {}), Draining({}), Retries(RetryBudgetSettings{}),
      Outliers(OutlierSettings{}) {
  for (std::size_t Slot = 0; Slot < Platform.Engines.size(); ++Slot)
    this->Outliers.add(Slot, this->Tasks.Now());
  this->Tasks.Spawn([this] { this->Records.run(); });
  this->Tasks.Spawn([this] { this->Follower.run(); });
}

LogHooks ReplayHost::logHooks() {
  LogHooks Hooks;
  Hooks.Append = [this](const std::string &Stream, std::string Payload,
                        TimePoint) {
    return this->append(Stream, std::move(Payload));
  };
  Hooks.Read = [this](const std::string &Stream, Offset From,
                      std::size_t MaxEntries, Duration Wait) {
    return this->read(Stream, From, MaxEntries, Wait);
  };
  return Hooks;
}

void ReplayHost::notifyClaimSteps(const std::string &Payload) {
  auto Batch = decodeBatch(Payload);
  if (!Batch)
    return;
  for (const auto &Record : Batch.value()) {
    if (Record.Kind != static_cast<std::uint16_t>(OrderRecordKind::Claim))
      continue;
    if (auto Claim = readOrderRecord<OrderClaim>(Record))
      this->Platform.OnStep(Step::Claim, Claim.value().Request, this->Process);
  }
}

Result<Offset> ReplayHost::append(const std::string &Stream,
                                  std::string Payload) {
  this->Process.waitUntilRunning();
  this->notifyClaimSteps(Payload);
  this->Process.waitUntilRunning();
  AppendLoss Loss = std::exchange(this->NextAppendLoss, AppendLoss::None);
  this->Tasks.sleepUntil(this->Tasks.Now() + this->Platform.Log.Faults.Latency);
  if (this->Process.isPartitioned())
    return LogError::Unreachable;
  if (Loss == AppendLoss::BeforeEffect)
    return LogError::ResponseLost;
  auto Appended =
      this->Platform.Log.append(Stream, std::move(Payload), this->Tasks.Now());
  this->Platform.LogChanged.notify();
  if (Appended && Loss == AppendLoss::AfterEffect)
    return LogError::ResponseLost;
  return Appended;
}

Result<LogPage> ReplayHost::read(const std::string &Stream, Offset From,
                                 std::size_t MaxEntries, Duration Wait) {
  this->Process.waitUntilRunning();
  this->Tasks.sleepUntil(this->Tasks.Now() + this->Platform.Log.Faults.Latency);
  TimePoint Deadline = this->Tasks.Now() + Wait;
  Result<LogPage> Page = LogError::Unreachable;
  this->Tasks.waitUntil(this->Platform.LogChanged, Deadline, [&] {
    Page = LogError::Unreachable;
    if (!this->Process.isPartitioned())
      Page =
          this->Platform.Log.read(Stream, From, MaxEntries, this->Tasks.Now());
    return !Page || !Page.value().Entries.empty();
  });
  if (!Page)
    this->Tasks.sleepUntil(this->Tasks.Now() + UnreachableDelay);
  return Page;
}

StreamFollowerHooks ReplayHost::followerHooks() {
  StreamFollowerHooks Hooks;
  Hooks.Apply = [this](const StreamRecord &Record, RecordPosition Position) {
    this->Dispatcher.apply(Record, Position);
  };
  Hooks.Skip = [](const LogEntry &, std::error_code) {};
  Hooks.Recover = []() -> Result<Offset> { return LogError::BelowRetention; };
  return Hooks;
}

Result<TargetId>
ReplayHost::selectTarget(RequestId Request, std::size_t Count,
                         std::uint64_t First,
                         const std::vector<TargetId> &Excluded) {
  this->Platform.OnStep(Step::Choose, Request, this->Process);
  this->Process.waitUntilRunning();
  for (std::size_t Index = 0; Index < Count; ++Index) {
    TargetId Id{First + (Request.Low + Index) % Count};
    if (std::find(Excluded.begin(), Excluded.end(), Id) != Excluded.end())
      continue;
    this->Platform.LastTarget[Request] = Id;
    return Id;
  }
  return OutcomeError::NoTarget;
}

OrderDispatcherHooks ReplayHost::dispatcherHooks() {
  OrderDispatcherHooks Hooks;
  Hooks.Tasks = this->Tasks;
  Hooks.WallNow = [this] {
    return ReplayEpoch + std::chrono::duration_cast<std::chrono::milliseconds>(
                             this->Platform.Base.Now().time_since_epoch());
  };
  Hooks.ChooseTarget = [this](const OrderRequest &Request,
                              const std::vector<TargetId> &Excluded,
                              TimePoint) -> Result<OrderTarget> {
    BOOST_OUTCOME_TRY(Id,
                      this->selectTarget(requestIdOf(Request.Team, Request.Key),
                                         this->Platform.Runners.size(),
                                         runnerId(0).Value, Excluded));
    return OrderTarget{Id, addressOf(Id.Value - runnerId(0).Value)};
  };
  Hooks.Service.Call = [this](const TargetAddress &At, const ServiceCall &Call,
                              TimePoint Deadline) {
    return this->Platform.Runners[At.Port - 1].call(this->Process, Call,
                                                    Deadline);
  };
  return Hooks;
}

EngineHooks ReplayHost::engineHooks() {
  EngineHooks Hooks;
  Hooks.Open = [this](const TargetAddress &At,
                      const GenerationRequest &Generation, TimePoint Deadline) {
    ++this->Platform.EngineAttempts;
    return this->Platform.Engines[At.Port - 1].open(this->Process, Generation,
                                                    Deadline);
  };
  Hooks.Cancel = [this](const TargetAddress &At, RequestId Request, TimePoint) {
    return this->Platform.Engines[At.Port - 1].cancel(this->Process, Request);
  };
  Hooks.Probe = [this](const TargetAddress &At, RequestId Request, TimePoint) {
    return this->Platform.Engines[At.Port - 1].probe(this->Process, Request);
  };
  return Hooks;
}

Result<StreamTarget> ReplayHost::selectEngine(const StreamRequest &Request,
                                              std::vector<TargetId> Excluded,
                                              TimePoint Now) {
  std::vector<TargetId> Avoided =
      this->Poison.targetsToAvoid(Request.Content, Now);
  Avoided.insert(Avoided.end(), Excluded.begin(), Excluded.end());
  for (std::size_t Slot = 0; Slot < this->Platform.Engines.size(); ++Slot)
    if (this->Outliers.isEjected(Slot, Now))
      Avoided.push_back(engineId(Slot));
  auto Id = this->selectTarget(Request.Request, this->Platform.Engines.size(),
                               engineId(0).Value, Avoided);
  // If every engine is ejected or to be avoided, use one of them anyway.
  if (!Id)
    Id = this->selectTarget(Request.Request, this->Platform.Engines.size(),
                            engineId(0).Value, Excluded);
  if (!Id)
    return Id.error();
  return StreamTarget{Id.value(), addressOf(Id.value().Value - 1)};
}

StreamHooks
ReplayHost::streamHooks(CallerAttempt &Attempt,
                        std::function<bool(const StreamChunk &)> Emit) {
  StreamHooks Hooks;
  Hooks.Tasks = this->Tasks;
  Hooks.Engine = this->engineHooks();
  Hooks.ChooseTarget = [this](const StreamRequest &Request,
                              const std::vector<TargetId> &Excluded,
                              TimePoint Now) {
    return this->selectEngine(Request, Excluded, Now);
  };
  Hooks.Reserve = [this, &Attempt](const StreamRequest &Request,
                                   TimePoint) -> Result<void> {
    this->Platform.OnStep(Step::Reserve, Request.Request, this->Process);
    this->Process.waitUntilRunning();
    ++Attempt.Reserved;
    ++this->Platform.Streams;
    this->Retries.firstAttempt();
    return success();
  };
  Hooks.Settle = [this, &Attempt](const StreamRequest &Request, const Usage &) {
    this->Platform.OnStep(Step::Settle, Request.Request, this->Process);
    this->Process.waitUntilRunning();
    ++Attempt.Settled;
  };
  Hooks.Report = [this](TargetId Target, std::error_code Failure,
                        TimePoint Now) {
    this->recordTargetResult(Target, Failure, Now);
  };
  Hooks.MayRetry = [this](TimePoint) { return this->Retries.tryRetry(); };
  Hooks.Emit = [&Attempt, Emit = std::move(Emit)](const StreamChunk &Chunk) {
    return !Attempt.IsAbandoned && Emit(Chunk);
  };
  Hooks.Admit = [this](Hash128 Content, TimePoint Now) {
    return this->Poison.admit(Content, Now);
  };
  Hooks.Started = [this](Hash128 Content, TargetId Target) {
    this->Poison.started(Content, Target);
  };
  Hooks.Ended = [this](Hash128 Content, TargetId Target) {
    this->Poison.ended(Content, Target);
  };
  Hooks.Crashed = [this](Hash128 Content, TargetId Target, TimePoint Now) {
    auto Report =
        this->Poison.crashed(Content, Target, this->Rng.next128(), Now);
    if (Report)
      this->Platform.Gossip(this->Self.Host, *Report);
  };
  Hooks.Cleared = [this](Hash128 Content) { this->Poison.cleared(Content); };
  return Hooks;
}

void ReplayHost::recordTargetResult(TargetId Target, std::error_code Failure,
                                    TimePoint Now) {
  std::size_t Slot = Target.Value - engineId(0).Value;
  if (Failure)
    this->Outliers.failed(Slot, Now);
  else
    this->Outliers.succeeded(Slot);
}

void ReplayHost::sendResponse(CallerAttempt &Attempt, RequestId Request) {
  this->Platform.OnStep(Step::Answer, Request, this->Process);
  this->Process.waitUntilRunning();
  Attempt.HasResponse = true;
  Attempt.Changed.notify();
}

void ReplayHost::serveOrder(OrderRequest Request, CallerAttempt &Attempt) {
  this->Tasks.Spawn([this, Request = std::move(Request), &Attempt] {
    RequestId Id = requestIdOf(Request.Team, Request.Key);
    this->Platform.OnStep(Step::Admit, Id, this->Process);
    this->Process.waitUntilRunning();
    bool IsEntered = this->Draining.enter(this->Tasks.Now());
    OrderAnswer Response =
        this->Policy == ReplayPolicy::Project
            ? this->Dispatcher.run(Request)
            : runPlainOrder(Request, this->dispatcherHooks(), this->Policy);
    Attempt.Verdict = Response.Verdict;
    Attempt.Reason = Response.Reason;
    Attempt.Body = Response.Answer.Body;
    Attempt.IsRetrySafe = Response.IsRetrySafe;
    Attempt.RetryAfter = Response.RetryAfter;
    this->sendResponse(Attempt, Id);
    if (IsEntered)
      this->Draining.leave();
  });
}

void ReplayHost::serveStream(StreamRequest Request, CallerAttempt &Attempt,
                             std::function<bool(const StreamChunk &)> Emit) {
  this->Tasks.Spawn([this, Request = std::move(Request), &Attempt,
                     Emit = std::move(Emit)]() mutable {
    this->Platform.OnStep(Step::Admit, Request.Request, this->Process);
    this->Process.waitUntilRunning();
    bool IsEntered = this->Draining.enter(this->Tasks.Now());
    StreamOutcome Ending;
    if (!IsEntered) {
      Ending.Verdict = Outcome::NotRun;
      Ending.Reason = OutcomeError::Draining;
    } else {
      StreamHooks Hooks = this->streamHooks(Attempt, std::move(Emit));
      Ending = this->Policy == ReplayPolicy::Project
                   ? runStream(Request, Hooks, {})
                   : runPlainStream(Request, Hooks, this->Policy);
    }
    Attempt.Verdict = Ending.Verdict;
    Attempt.Reason = Ending.Reason;
    Attempt.IsRetrySafe = Ending.Reason != OutcomeError::Quarantined;
    Attempt.RetryAfter = Ending.RetryAfter;
    this->sendResponse(Attempt, Request.Request);
    if (IsEntered)
      this->Draining.leave();
  });
}

void ReplayHost::stop() {
  if (this->HasStopped)
    return;
  this->HasStopped = true;
  this->Draining.signal(this->Tasks.Now());
  this->Tasks.Spawn([this] {
    this->AbortedAtStop = this->Draining.waitUntilEmpty(this->Tasks);
    TimePoint Deadline = this->Tasks.Now() + StopAppendTime;
    this->Dispatcher.drain(Deadline);
    this->Records.stop(Deadline);
    while (this->Records.health().Queued > 0 && this->Tasks.Now() < Deadline)
      this->Tasks.sleepUntil(this->Tasks.Now() + UnreachableDelay);
    this->Process.kill();
  });
}

} // namespace bergamothook
