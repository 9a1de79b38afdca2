#include "LibRelay/RelayCallHandler.h"

#include "LibNet/NetError.h"
#include "LibObserve/StructuredLog.h"
#include "LibRelay/CallForwarder.h"

#include <new>
#include <nlohmann/json.hpp>
#include <utility>

namespace bergamothook::detail {

namespace {

/// The maximum number of sends of one call, whatever its route allows: beyond
/// that, a call costs other calls more than it can gain.
constexpr unsigned MaxSends = 4;
/// How much of a field's text is logged.
constexpr std::size_t MaxLoggedBytes = 100;
constexpr std::size_t MaxLoggedParts = 8;
/// A request that crashes its target may do so within its first event.
constexpr std::uint32_t EventsPastBeginning = 2;
/// How much of stale responses is read before a connection is closed.
constexpr std::size_t MaxStaleBytes = 1024 * 1024;
/// When to retry after a refusal because targets are full or none is known:
/// targets free their slots within fractions of a second, and new ones are
/// listed about once a second.
constexpr Duration FullRetryAfter = std::chrono::milliseconds(500);
constexpr Duration NoTargetRetryAfter = std::chrono::milliseconds(1000);
/// Evacuations last for seconds at least.
constexpr Duration EvacuatedRetryAfter = std::chrono::milliseconds(2000);
/// When the health of a target that may be cold can be requested again.
constexpr Duration HealthRetryAfter = std::chrono::milliseconds(1000);
/// Over about which time callers return after the end of a cold period.
constexpr Duration ColdReturnSpread = std::chrono::milliseconds(200);
/// Tokens held by other hosts are returned within one or two of their rounds.
constexpr Duration TokensRetryAfter = std::chrono::milliseconds(1000);
/// Memory is freed as soon as other calls end.
constexpr Duration MemoryRetryAfter = std::chrono::milliseconds(500);
/// A request that crashes targets is quarantined for minutes.
constexpr Duration QuarantineRetryAfter = std::chrono::minutes(1);
/// A version that was listed is put to use within a second, and targets write
/// their entries about once a second.
constexpr Duration MaxVersionWait = std::chrono::milliseconds(1500);
constexpr Duration VersionCheckInterval = std::chrono::milliseconds(20);
/// A probe ends as soon as its target begins to answer.
constexpr Duration ProbeRetryAfter = std::chrono::milliseconds(500);

/// Bounds the time that is deducted for a prompt, whose length callers state.
constexpr std::int64_t MaxTimedPromptTokens = 1'000'000;

} // namespace

RelayCallHandler::RelayCallHandler(RelayDispatcher &Dispatcher,
                                   const RelayCall &Call,
                                   const CallerHooks &Caller)
    : Dispatcher(Dispatcher), Hooks(Dispatcher.hooks()), Call(Call),
      Caller(Caller), Traits(Call.traits()), Deadline(Call.deadline()),
      Versions(Dispatcher, Call),
      Memory(Dispatcher.hooks().Memory, {Call.memoryOwner()}) {}

RelayOutcome RelayCallHandler::run() {
  bool HasFailed = false;
  try {
    this->runCall();
  } catch (const std::bad_alloc &) {
    HasFailed = true;
  }
  // Not inside of the handler above: tasks that wait while they handle an
  // exception would mix it up with those of other tasks. A caller gets one
  // answer.
  if (HasFailed && !this->IsAnswered)
    this->finishFailed(AttemptEnd::OutOfMemory);
  this->settle();
  this->Outcome.Total = this->now() - this->Call.ArrivedAt;
  return this->Outcome;
}

void RelayCallHandler::runCall() {
  this->chooseService();
  if (this->isQuarantined())
    this->finishFailed(AttemptEnd::Quarantined);
  else if (this->isEvacuated())
    this->finishFailed(AttemptEnd::Evacuated);
  else if (this->mustForward())
    this->forward();
  else if (!this->Call.ForwardedBy.empty() &&
           this->Dispatcher.reach().isLost(this->Service))
    this->finishFailed(AttemptEnd::OutOfReach);
  else if (this->mayResume() && this->reserveTokens())
    this->runAttempts();
}

void RelayCallHandler::chooseService() {
  const auto &Shares = this->Call.Route->Services;
  std::uint64_t Sum = 0;
  for (const ServiceShare &Share : Shares)
    Sum += Share.Weight;
  std::uint64_t Drawn = 0;
  // A stream is resumed at the service where it began.
  if (Shares.size() > 1 && this->Call.Route->hasResumableStreams())
    Drawn = Sum > 0 ? hash64(this->Call.streamAttempt()) % Sum : 0;
  else if (Sum > 0)
    Drawn = this->Dispatcher.rng().below(Sum);
  for (const ServiceShare &Share : Shares) {
    this->Service = Share.Service;
    if (Drawn < Share.Weight)
      break;
    Drawn -= Share.Weight;
  }
  if (const RoutedService *Routed =
          this->Call.Config->findService(this->Service))
    this->TokensPerEvent = Routed->TokensPerEvent;
}

bool RelayCallHandler::reserveTokens() {
  Tokens Amount = this->Call.maxTokenCost();
  if (!this->Call.Team || !this->Call.Team->Budget || Amount == 0)
    return true;
  const std::string &Team = this->Call.Team->Name;
  FailureGate::Pass Pass =
      this->Dispatcher.tokenGate().enter(Team, Amount, this->now());
  // A call that the gate refuses still gets what this host has in hand.
  TimePoint Until = Pass.isRefused() ? this->now() : this->Deadline;
  auto Reservation =
      this->Dispatcher.tokens().reserve(Team, Amount, Until, [this] {
        return this->isGivenUp() || this->isEvacuated();
      });
  this->Outcome.TokensWait = this->now() - this->Call.ArrivedAt;
  if (Reservation) {
    Pass.succeed();
    this->Hold = std::move(Reservation).value();
    return true;
  }
  bool IsExhausted = Reservation.error() == WalletError::Exhausted;
  if (this->Caller.HasLeft())
    this->finish(RelayEnd::CallerLeft, RelayReason::CallerGone);
  else if (!this->maySend())
    this->finishFailed(AttemptEnd::HostStops);
  else if (this->isEvacuated())
    this->finishFailed(AttemptEnd::Evacuated);
  else if (Reservation.error() == WalletError::NoBudget ||
           (IsExhausted && !this->Hooks.IsConfigCurrent()))
    // A later version than that of the call may have raised the budget, or has
    // taken it away.
    this->refuse(503, RelayEnd::NotRun, RelayReason::ConfigOld,
                 TokensRetryAfter);
  else if (IsExhausted)
    this->refuse(402, RelayEnd::NotRun, RelayReason::BudgetExhausted);
  else if (Pass.isRefused())
    this->refuseAtGate(RelayReason::BudgetNotInHand, TokensRetryAfter);
  else {
    Pass.fail(this->now());
    this->refuse(503, RelayEnd::NotRun, RelayReason::BudgetNotInHand,
                 TokensRetryAfter);
  }
  return false;
}

void RelayCallHandler::refuseAtGate(RelayReason Reason, Duration RetryAfter) {
  this->Dispatcher.stats().count("relay_refusals_at_gate_total{reason=\"" +
                                 make_error_code(Reason).message() + "\"}");
  // Callers that were refused in the same moment do not return in the same one.
  this->refuse(503, RelayEnd::NotRun, Reason,
               this->Dispatcher.rng().jitter(RetryAfter));
}

bool RelayCallHandler::mayResume() {
  bool IsResolved =
      this->Versions.resolve(this->Service, this->Deadline, [this] {
        return this->isGivenUp() || this->isEvacuated();
      });
  if (!IsResolved) {
    AttemptEnd End = AttemptEnd::VersionUnknown;
    if (!this->maySend())
      End = AttemptEnd::HostStops;
    else if (this->isEvacuated())
      End = AttemptEnd::Evacuated;
    this->finishFailed(End);
    return false;
  }
  if (this->Versions.hasBegun() && !this->Versions.hasMatch()) {
    this->finishFailed(AttemptEnd::VersionNotServed);
    return false;
  }
  return true;
}

void RelayCallHandler::runAttempts() {
  // A stream that goes on may need a version that only lost targets serve,
  // which says nothing of other calls.
  if (!this->Versions.hasBegun())
    this->TargetPass.emplace(
        this->Dispatcher.targetGate().enter(this->Service, 0, this->now()));
  if (this->TargetPass && this->TargetPass->isRefused()) {
    if (this->mayForward() && this->Dispatcher.reach().isInDoubt(this->Service))
      return this->forward();
    return this->refuseAtGate(RelayReason::TargetUnreachable,
                              NoTargetRetryAfter);
  }
  if (this->awaitStart())
    this->tryTargets();
  this->Place.reset();
  if (this->TargetPass && this->Attempts > 0 &&
      this->AttemptsNotSent == this->Attempts)
    this->TargetPass->fail(this->now());
  this->TargetPass.reset();
}

bool RelayCallHandler::awaitStart() {
  if (this->now() + MinTimeForSend >= this->Deadline)
    return true; // tryTargets() refuses it, since its deadline has passed.
  TargetDirectory &Targets = this->Dispatcher.targets();
  TimePoint QueuedAt = this->now();
  this->Place.emplace(this->Dispatcher.admission(), this->Service);
  auto Refusal = this->Place->await(
      admissionRequestOf(this->Call, QueuedAt, this->Deadline),
      this->Caller.Changed, [this, &Targets] {
        return this->isGivenUp() || Targets.isEvacuated(this->Service) ||
               this->mustForward();
      });
  this->Outcome.QueueWait = this->now() - QueuedAt;
  if (!Refusal)
    return true;
  if (this->Caller.HasLeft())
    this->finish(RelayEnd::CallerLeft, RelayReason::CallerGone);
  else if (!this->maySend())
    this->finishFailed(AttemptEnd::HostStops);
  else if (Targets.isEvacuated(this->Service))
    this->finishFailed(AttemptEnd::Evacuated);
  else if (this->mustForward())
    this->forward();
  else
    // Callers that were refused in the same moment do not return in the same
    // one.
    this->refuse(503, RelayEnd::NotRun, RelayReason::CannotStart,
                 this->Dispatcher.rng().jitter(Refusal->RetryAfter));
  return false;
}

void RelayCallHandler::recordFirstEvent() {
  if (!this->Place)
    return;
  // A resumed stream says nothing of the time to a first event.
  if (this->HasStreamStarted || this->Versions.hasBegun())
    return this->Place->onAnswered();
  Duration OwnPrompt =
      PromptTokenTime * std::min(this->Call.PromptTokens, MaxTimedPromptTokens);
  this->Place->onFirstEvent(this->now() - this->SentAt - OwnPrompt);
}

void RelayCallHandler::tryTargets() {
  this->Dispatcher.resends().onRequest(this->Service, this->now());
  for (;;) {
    if (this->Caller.HasLeft())
      return this->finish(RelayEnd::CallerLeft, RelayReason::CallerGone);
    if (this->now() + MinTimeForSend >= this->Deadline)
      return this->finishFailed(AttemptEnd::OutOfTime);
    if (!this->maySend())
      return this->finishFailed(AttemptEnd::HostStops);
    if (this->isQuarantined())
      return this->finishFailed(AttemptEnd::Quarantined);
    if (this->mustForward())
      return this->forward();
    TargetState *Target = this->awaitTarget();
    if (!this->maySend())
      return this->finishFailed(AttemptEnd::HostStops);
    if (!Target)
      return this->finishFailed(this->endWithoutTarget());
    ListedTarget Chosen = Target->Listed;
    this->Outcome.Target = Chosen.Id;
    bool HasPermit = this->checkHealth(Chosen) && this->acquirePermit(Chosen);
    // These decisions may have changed while the permit was awaited.
    if (!this->maySend())
      return this->finishFailed(AttemptEnd::HostStops);
    // If the target restarted, its new run may be chosen.
    if (!this->Dispatcher.targets().mayReceive(Chosen))
      continue;
    if (!HasPermit) {
      this->Excluded.insert(Chosen.Id);
      continue;
    }
    this->Admission =
        this->Dispatcher.quarantine().admit(this->Traits, this->now());
    if (this->Admission >= SendAdmission::Busy)
      return this->finishFailed(AttemptEnd::Quarantined);
    ++this->Attempts;
    AttemptEnd End = this->attempt(Chosen);
    this->recordAttempt(Chosen, End);
    if (this->Admission == SendAdmission::Probe)
      this->Dispatcher.quarantine().endProbe(this->Traits);
    if (End == AttemptEnd::Done)
      return this->finish(RelayEnd::Done, RelayReason::None);
    if (!this->shouldRetry(End)) {
      bool IsInDoubt = End == AttemptEnd::NotSent && this->mayForward() &&
                       this->Dispatcher.reach().isInDoubt(this->Service);
      return IsInDoubt ? this->forward() : this->finishFailed(End);
    }
    if (End != AttemptEnd::Withdrawn)
      this->Excluded.insert(Chosen.Id);
  }
}

bool RelayCallHandler::mayForward() const {
  return this->Hooks.Forward && this->Call.ForwardedBy.empty() &&
         !this->HasStreamStarted;
}

bool RelayCallHandler::mustForward() const {
  // The same for a call each time.
  constexpr std::uint64_t Steps = 1024;
  double Draw = static_cast<double>(hash64(this->Call.Id) % Steps) / Steps;
  return this->mayForward() &&
         !this->Dispatcher.reach().mayUseOwnLinks(this->Service, Draw);
}

void RelayCallHandler::forward() {
  // The host that serves the call reserves its tokens, and its place.
  this->settle();
  this->Hold.reset();
  this->Place.reset();
  this->TargetPass.reset();
  CallForwarder Forwarder(this->Dispatcher, this->Call, this->Caller,
                          this->Memory);
  AttemptEnd End = AttemptEnd::OutOfMemory;
  try {
    End = Forwarder.run();
  } catch (const std::bad_alloc &) {
    // The connection to the other host has been closed.
  }
  this->HasStreamStarted = Forwarder.hasStreamStarted();
  this->IsAnswered = Forwarder.isAnswered();
  this->TargetsThatMayHaveRun += Forwarder.mayHaveRun() ? 1 : 0;
  this->Outcome.Host = Forwarder.host();
  this->Outcome.Status = Forwarder.status();
  this->Dispatcher.stats().count(
      End == AttemptEnd::OutOfReach
          ? "relay_calls_forwarded_total{taken=\"no\"}"
          : "relay_calls_forwarded_total{taken=\"yes\"}");
  if (End == AttemptEnd::Done)
    return this->finish(Forwarder.status() == 503 ? RelayEnd::NotRun
                                                  : RelayEnd::Done,
                        RelayReason::None);
  if (!this->IsAnswered)
    return this->finishFailed(End);
  this->finish(RelayEnd::CallerLeft, RelayReason::CallerGone);
}

bool RelayCallHandler::isAbandoned(const ListedTarget &Target) const {
  return this->IsAwaitingTarget && this->mayForward() &&
         this->Dispatcher.reach().isLost(this->Service) &&
         this->Dispatcher.reach().isSilent(Target) &&
         this->isRepeatAllowed(this->TargetsThatMayHaveRun + 1) &&
         this->Dispatcher.resends().hasResend(this->Service, this->now());
}

AttemptEnd RelayCallHandler::endWithoutTarget() {
  if (this->isEvacuated())
    return AttemptEnd::Evacuated;
  if (!this->refusingColdTargets().empty())
    return AttemptEnd::Cold;
  if (!this->rateLimitedTargets().empty())
    return AttemptEnd::RateLimited;
  return this->IsRunUnknown ? AttemptEnd::RunUnknown : AttemptEnd::NotSent;
}

bool RelayCallHandler::isGivenUp() const {
  return this->Caller.isSendGivenUp(this->Deadline, this->Call.mayRepeat());
}

bool RelayCallHandler::isEvacuated() const {
  return this->Dispatcher.targets().isEvacuated(this->Service);
}

bool RelayCallHandler::maySend() const {
  return !this->Caller.MustAnswer() &&
         this->Caller.MaySend(this->Deadline, this->Call.mayRepeat());
}

bool RelayCallHandler::isQuarantined() {
  this->Admission =
      this->Dispatcher.quarantine().admission(this->Traits, this->now());
  return this->Admission >= SendAdmission::Busy;
}

TargetState *RelayCallHandler::chooseTarget() {
  this->Dispatcher.endColdPeriods();
  return this->Dispatcher.picker().pick(
      this->Dispatcher.targets(), this->Service, this->Call,
      [this](const TargetState &Target) {
        return !this->Excluded.contains(Target.Listed.Id) &&
               this->Versions.match(Target) == VersionMatch::Yes;
      },
      this->now());
}

TargetState *RelayCallHandler::awaitTarget() {
  TimePoint End =
      std::min(this->Deadline - MinTimeForSend, this->now() + MaxVersionWait);
  auto IsAwaited = [this](const TargetState *Target) {
    return !this->Excluded.contains(Target->Listed.Id) &&
           this->Versions.match(*Target) == VersionMatch::NotYet;
  };
  for (;;) {
    if (TargetState *Target = this->chooseTarget())
      return Target;
    auto Usable = this->Dispatcher.targets().usable(this->Service);
    if (this->now() >= End || this->isGivenUp() ||
        std::none_of(Usable.begin(), Usable.end(), IsAwaited))
      return nullptr;
    this->Hooks.Tasks.sleepUntil(this->now() + VersionCheckInterval);
  }
}

bool RelayCallHandler::checkHealth(const ListedTarget &Target) {
  TargetDirectory &Targets = this->Dispatcher.targets();
  if (!Targets.needsHealthCheck(Target))
    return true;
  const RoutedService *Routed = this->Call.Config->findService(Target.Service);
  TimePoint AskedAt = this->now();
  if (!Routed || Routed->HealthPath.empty() ||
      !Targets.beginHealthCheck(Target.Id, AskedAt)) {
    this->RefusedPermits.insert(this->coldKeyOf(Target));
    return false;
  }
  auto IsGivenUp = [this, &Target] {
    return this->isGivenUp() || !this->Dispatcher.targets().mayReceive(Target);
  };
  auto Left = this->Hooks.AskHealth(Target, Routed->HealthPath, this->Caller,
                                    this->Deadline - MinTimeForSend, IsGivenUp);
  if (!Left && IsGivenUp())
    return false;
  this->Dispatcher.stats().count(
      Left ? "relay_health_requests_total{answer=\"read\"}"
           : "relay_health_requests_total{answer=\"none\"}");
  if (!Left) {
    Targets.onFailure(Target.Id, this->now());
    this->RefusedPermits.insert(this->coldKeyOf(Target));
    return false;
  }
  this->Dispatcher.onHealthResponse(Target, *Left, AskedAt);
  return true;
}

bool RelayCallHandler::acquirePermit(const ListedTarget &Target) {
  PermitDecision Permit =
      this->Dispatcher.limiter().acquire(Target.runKey(), [this, &Target] {
        return this->isGivenUp() ||
               !this->Dispatcher.targets().mayReceive(Target);
      });
  if (Permit.IsGranted)
    return this->acquireColdPermit(Target);
  this->recordRefusedPermit(Target, Target.runKey(), Permit);
  return false;
}

bool RelayCallHandler::acquireColdPermit(const ListedTarget &Target) {
  this->ColdPermit.reset();
  if (!this->isCold(Target))
    return true;
  ColdLimit Limit = this->Dispatcher.coldLimitOf(Target.Service);
  PermitDecision Permit = this->Dispatcher.limiter().acquireCold(
      Target.runKey(), Limit, [this, &Target] {
        return this->isGivenUp() ||
               !this->Dispatcher.targets().mayReceive(Target);
      });
  if (Permit.IsGranted) {
    this->ColdPermit = Permit;
    // It may have become too old while its home was asked.
    if (this->maySendCold(Target))
      return true;
  }
  this->recordRefusedPermit(Target, this->coldKeyOf(Target), Permit);
  return false;
}

void RelayCallHandler::recordRefusedPermit(const ListedTarget &Target,
                                           const std::string &Key,
                                           const PermitDecision &Permit) {
  if (!this->Dispatcher.targets().mayReceive(Target))
    return;
  this->Dispatcher.targets().onRateLimited(
      Target.Id, this->now() + Permit.NextRequestAfter);
  this->RefusedPermits.insert(Key);
}

std::string RelayCallHandler::coldKeyOf(const ListedTarget &Target) const {
  return coldKey(Target.runKey(),
                 this->Dispatcher.coldLimitOf(Target.Service).Shares);
}

bool RelayCallHandler::isCold(const ListedTarget &Target) const {
  this->Dispatcher.endColdPeriods();
  return this->Dispatcher.targets().isCold(Target);
}

bool RelayCallHandler::maySendCold(const ListedTarget &Target) const {
  if (this->Dispatcher.targets().needsHealthCheck(Target))
    return false;
  return !this->isCold(Target) ||
         (this->ColdPermit &&
          this->Hooks.LeaseClock() - this->ColdPermit->RequestedAt <=
              MaxColdPermitAge);
}

std::vector<const TargetState *> RelayCallHandler::refusingColdTargets() {
  this->Dispatcher.endColdPeriods();
  std::vector<const TargetState *> Cold;
  TargetDirectory &Targets = this->Dispatcher.targets();
  for (const TargetState *Target : Targets.usable(this->Service))
    if ((Targets.isCold(*Target) || Targets.needsHealthCheck(*Target)) &&
        (Target->RateLimitedUntil > this->now() ||
         this->RefusedPermits.contains(this->coldKeyOf(Target->Listed))))
      Cold.push_back(Target);
  return Cold;
}

Duration RelayCallHandler::coldRetryAfter() {
  std::vector<std::string> Keys;
  Duration FirstEnd = Duration::max();
  for (const TargetState *Target : this->refusingColdTargets()) {
    if (!Target->ColdUntil)
      continue;
    Keys.push_back(this->coldKeyOf(Target->Listed));
    FirstEnd =
        std::min(FirstEnd, *Target->ColdUntil - this->Hooks.LeaseClock());
  }
  if (Keys.empty())
    return this->Dispatcher.rng().jitter(HealthRetryAfter);
  Duration Scheduled =
      this->Dispatcher.limiter().scheduleReturn(Keys, this->now());
  if (Scheduled <= FirstEnd)
    return Scheduled;
  // The callers of all hosts do not return in the same moment.
  return FirstEnd + this->Dispatcher.rng().jitter(ColdReturnSpread);
}

std::vector<std::string> RelayCallHandler::rateLimitedTargets() {
  std::set<std::string> Keys = this->RefusedPermits;
  for (const TargetState *Target :
       this->Dispatcher.targets().usable(this->Service))
    if (Target->RateLimitedUntil > this->now())
      Keys.insert(Target->Listed.runKey());
  return {Keys.begin(), Keys.end()};
}

AttemptEnd RelayCallHandler::attempt(const ListedTarget &Target) {
  TargetDirectory &Targets = this->Dispatcher.targets();
  this->EventsFromTarget = 0;
  this->SentAt = this->now();
  Duration TimeLeft = this->Deadline - this->SentAt;
  HttpRequestHead Head =
      this->Hooks.MakeHead(this->Call, Target, TimeLeft, this->LastSentId);
  this->logResumption(Target);
  this->Memory.setOwners({this->Call.memoryOwner(), Target.memoryOwner()});
  Targets.onStarted(Target.Id, this->Call.PromptTokens);
  this->IsPrefillPending = true;
  AttemptEnd End = AttemptEnd::OutOfMemory;
  if (this->Caller.Changed)
    this->Dispatcher.addTargetWait(*this->Caller.Changed);
  try {
    End = this->exchange(Target, Head);
  } catch (const std::bad_alloc &) {
    // The exchange has closed its connection.
  }
  if (this->Caller.Changed)
    this->Dispatcher.removeTargetWait(*this->Caller.Changed);
  if (this->IsPrefillPending)
    Targets.onPrefillDone(Target.Id, this->Call.PromptTokens);
  this->IsPrefillPending = false;
  if (std::exchange(this->IsAwaitingTarget, false))
    this->Dispatcher.reach().onEnded(Target);
  Targets.onEnded(Target.Id);
  return End;
}

AttemptEnd RelayCallHandler::exchange(const ListedTarget &Target,
                                      const HttpRequestHead &Head) {
  SendTerms Terms{this->Deadline,
                  [this, &Target](Duration ConnectedFor) {
                    return this->Versions.checkRun(Target, ConnectedFor,
                                                   this->Hooks.LeaseClock());
                  },
                  [this, &Target] {
                    return this->Dispatcher.targets().mayReceive(Target) &&
                           this->maySendCold(Target) && !this->mustForward();
                  }};
  CallerHooks Waiting = this->Caller;
  Waiting.MustAnswer = [this, &Target] {
    return this->Caller.MustAnswer() || this->isAbandoned(Target);
  };
  auto Opened = this->Hooks.Open(Target, this->Call, Head, Waiting, Terms);
  if (!Opened && Opened.error() == NetError::UnexpectedPeer) {
    logEvent(LogLevel::Warning, "target_run_unknown",
             {{"request", this->Call.Id},
              {"target", Target.Id},
              {"listed_start", Target.StartedAt}});
    this->IsRunUnknown = true;
    return AttemptEnd::RunUnknown;
  }
  if (!Opened && Opened.error() == NetError::ConnectFailed)
    return this->endOfUnsent(Target);
  this->Dispatcher.limiter().onSend(Target.runKey(), this->sendKind());
  if (this->ColdPermit)
    this->Dispatcher.limiter().onSend(this->coldKeyOf(Target),
                                      this->sendKind());
  ++this->Outcome.Sends;
  if (this->TargetPass)
    this->TargetPass->succeed();
  if (!Opened)
    return this->attemptEndOf(Opened.error());
  this->IsAwaitingTarget = true;
  this->Dispatcher.reach().onSent(Target);
  AttemptEnd End = this->readResponse(Opened.value(), Target);
  bool IsCutOff = End == AttemptEnd::HostStops && this->isAbandoned(Target) &&
                  !this->Caller.MustAnswer();
  return IsCutOff ? AttemptEnd::Lost : End;
}

AttemptEnd RelayCallHandler::endOfUnsent(const ListedTarget &Target) {
  if (this->isGivenUp() || !this->Dispatcher.targets().mayReceive(Target) ||
      this->mustForward())
    return AttemptEnd::Withdrawn;
  bool LacksPermit = this->isCold(Target) && !this->ColdPermit;
  if (LacksPermit || this->Dispatcher.targets().needsHealthCheck(Target)) {
    this->RefusedPermits.insert(this->coldKeyOf(Target));
    return AttemptEnd::Withdrawn;
  }
  // A connection that took longer than a permit can be used is no proof that
  // the target can't be reached.
  if (this->isCold(Target) && !this->maySendCold(Target)) {
    this->RefusedPermits.insert(this->coldKeyOf(Target));
    this->Excluded.insert(Target.Id);
    return AttemptEnd::Withdrawn;
  }
  return AttemptEnd::NotSent;
}

AttemptEnd RelayCallHandler::attemptEndOf(std::error_code Failure) const {
  if (this->Caller.HasLeft())
    return AttemptEnd::CallerLeft;
  return detail::attemptEndOf(Failure);
}

std::optional<AttemptEnd>
RelayCallHandler::discardStaleBody(TargetExchange &Exchange,
                                   std::size_t &DiscardedBytes) const {
  for (;;) {
    auto Piece = Exchange.ReadBody(this->Deadline);
    if (!Piece)
      return this->attemptEndOf(Piece.error());
    // A piece counts at least 1024 bytes, so that the number of responses
    // without a body is bounded too.
    DiscardedBytes += std::max<std::size_t>(Piece.value().Bytes.size(), 1024);
    if (DiscardedBytes > MaxStaleBytes)
      return AttemptEnd::Malformed;
    if (Piece.value().IsLast)
      return std::nullopt;
  }
}

SendKind RelayCallHandler::sendKind() const {
  if (this->HasStreamStarted)
    return SendKind::Resumption;
  return this->Outcome.Sends == 0 ? SendKind::First : SendKind::Resend;
}

void RelayCallHandler::logResumption(const ListedTarget &Target) const {
  if (!this->HasStreamStarted && !this->Call.ResumedAttempt &&
      !this->Call.ResumedAfter)
    return;
  auto Shorten = [](const std::optional<std::string> &Text) {
    return Text.value_or("").substr(0, MaxLoggedBytes);
  };
  logEvent(
      LogLevel::Warning, "stream_resumed",
      {{"request", this->Call.Id},
       {"by", this->HasStreamStarted ? "host" : "caller"},
       {"first_request", Shorten(this->Call.ResumedAttempt)},
       {"after_event", this->LastSentId ? std::to_string(*this->LastSentId)
                                        : Shorten(this->Call.ResumedAfter)},
       {"first_target", this->FirstTarget.Id},
       {"first_version", this->FirstTarget.Version},
       {"target", Target.Id},
       {"version", Target.Version},
       {"send", this->Outcome.Sends + 1}});
}

void RelayCallHandler::recordRateLimit(const HttpResponseHead &Head,
                                       const ListedTarget &Target) {
  RateLimitField Field = this->Hooks.ReadRateLimit(Head);
  if (!Field.UnreadableText)
    return this->Dispatcher.limiter().onAnswer(Target.runKey(), Field.PerSecond,
                                               this->SentAt, this->now());
  logEvent(LogLevel::Warning, "target_limit_unreadable",
           {{"target", Target.Id},
            {"value", Field.UnreadableText->substr(0, MaxLoggedBytes)}});
}

AttemptEnd RelayCallHandler::readResponse(TargetExchange &Exchange,
                                          const ListedTarget &Target) {
  std::size_t StaleBytes = 0;
  for (;;) {
    auto Head = Exchange.ReadHead(this->Deadline);
    if (!Head) {
      Exchange.Abort();
      return this->attemptEndOf(Head.error());
    }
    this->Dispatcher.reach().onHeard(Target);
    switch (this->Hooks.Classify(Head.value(), this->Call)) {
    case ResponseVerdict::WrongTarget:
      Exchange.Abort();
      this->Dispatcher.targets().onReplaced(this->Outcome.Target);
      return AttemptEnd::NotRun;
    case ResponseVerdict::NotRun:
      this->recordRateLimit(Head.value(), Target);
      // The calls to a target that states a rate limit are bounded by permits.
      if (this->Place && !this->Hooks.ReadRateLimit(Head.value()).PerSecond)
        this->Place->onTargetFull();
      Exchange.FinishRefused();
      return AttemptEnd::NotRun;
    case ResponseVerdict::Unverified:
      Exchange.Abort();
      return AttemptEnd::Malformed;
    case ResponseVerdict::Stale:
      if (auto Failure = this->discardStaleBody(Exchange, StaleBytes)) {
        Exchange.Abort();
        return *Failure;
      }
      Exchange.NextResponse();
      continue;
    case ResponseVerdict::Ran:
      this->recordRateLimit(Head.value(), Target);
      // The response to a HEAD request has no body whatever its type.
      if (isEventStream(Head.value()) && this->Call.Head.Method != "HEAD")
        return this->relayStream(Exchange, std::move(Head.value()), Target);
      if (this->Place)
        this->Place->onAnswered();
      return this->relayBuffered(Exchange, std::move(Head.value()));
    }
  }
}

AttemptEnd RelayCallHandler::relayBuffered(TargetExchange &Exchange,
                                           HttpResponseHead Head) {
  std::string Body;
  for (bool IsLast = false; !IsLast;) {
    auto Piece = Exchange.ReadBody(this->Deadline);
    if (!Piece || Body.size() + Piece.value().Bytes.size() > MaxBufferedBytes) {
      Exchange.Abort();
      return Piece ? AttemptEnd::Malformed : this->attemptEndOf(Piece.error());
    }
    if (!this->hold(Body.size() + Piece.value().Bytes.size())) {
      Exchange.Abort();
      return AttemptEnd::OutOfMemory;
    }
    Body += Piece.value().Bytes;
    IsLast = Piece.value().IsLast;
  }
  Exchange.Finish();
  if (this->HasStreamStarted) // A resumed stream was answered with a failure.
    return AttemptEnd::Failed;
  Head.Headers.removeConnectionFields();
  if (Head.Status >= 500) {
    this->TargetFailure = {std::move(Head), std::move(Body)};
    return AttemptEnd::Failed;
  }
  this->Outcome.Status = Head.Status;
  return this->sendResponse(Head, Body) ? AttemptEnd::Done
                                        : AttemptEnd::CallerLeft;
}

bool RelayCallHandler::hold(std::size_t Bytes) {
  std::size_t OfFailure =
      this->TargetFailure ? this->TargetFailure->second.size() : 0;
  return this->Memory.resize(OfFailure + Bytes);
}

bool RelayCallHandler::sendResponse(const HttpResponseHead &Head,
                                    std::string_view Body) {
  // The call needs no target any more, however slowly its caller reads.
  this->Place.reset();
  // Without memory for the answer, SendResponse throws before it writes.
  auto Sent = this->Caller.SendResponse(Head, Body);
  this->IsAnswered = true;
  return static_cast<bool>(Sent);
}

AttemptEnd RelayCallHandler::relayStream(TargetExchange &Exchange,
                                         HttpResponseHead Head,
                                         const ListedTarget &Target) {
  this->Events.beginAfter(this->LastSentId);
  bool IsResumption = this->Versions.hasBegun();
  bool IsContinuation = this->HasStreamStarted;
  for (;;) {
    auto Piece = Exchange.ReadBody(this->Deadline);
    if (!Piece) {
      Exchange.Abort();
      return this->attemptEndOf(Piece.error());
    }
    this->Dispatcher.reach().onHeard(Target);
    EventBatch Batch = this->Events.feed(Piece.value().Bytes);
    if (this->Events.hasGap() || this->Events.isOverlong()) {
      Exchange.Abort();
      return AttemptEnd::Malformed;
    }
    // A caller that does not read makes the events wait, in the piece, in the
    // batch and in the chunk that is sent.
    if (!this->hold(this->Events.partialEvent().size() +
                    3 * Batch.Bytes.size())) {
      Exchange.Abort();
      return AttemptEnd::OutOfMemory;
    }
    // What a target appends to the stream of another one must be events.
    bool IsBrokenOff = (Piece.value().EndsWithConnection ||
                        (IsContinuation && Piece.value().IsLast)) &&
                       this->Events.isInsideEvent();
    if (Piece.value().IsLast && !IsBrokenOff) {
      // Bytes after the last event belong to the complete answer.
      Batch.Bytes += this->Events.partialEvent();
      this->Events.discardPartial();
    }
    bool WasBeginning = this->EventsFromTarget < EventsPastBeginning;
    this->EventsFromTarget += Batch.Events;
    if (WasBeginning && this->EventsFromTarget >= EventsPastBeginning)
      this->recordAnswer();
    if (Batch.Events > 0 && this->IsPrefillPending) {
      this->IsPrefillPending = false;
      this->recordFirstEvent();
      this->Dispatcher.targets().onPrefillDone(this->Outcome.Target,
                                               this->Call.PromptTokens);
    }
    if (!this->HasStreamStarted &&
        (!Batch.Bytes.empty() || (Piece.value().IsLast && !IsBrokenOff))) {
      Head.Headers.removeConnectionFields();
      this->Outcome.Status = Head.Status;
      this->HasStreamStarted = true;
      this->FirstTarget = Target;
      this->Versions.onFirstEvent(Target);
      this->Outcome.FirstEvent = this->now() - this->Call.ArrivedAt;
      this->IsWriting = true;
      if (!this->Caller.BeginStream(Head)) {
        Exchange.Abort();
        return AttemptEnd::CallerLeft;
      }
      this->IsWriting = false;
    }
    if (this->Versions.hasBegun() && this->Versions.isOtherVersion(Target)) {
      // Events still arrive, so they are of the run that was listed since.
      if (IsResumption) {
        Exchange.Abort();
        return AttemptEnd::Lost;
      }
      this->Versions.setAmbiguous();
    }
    if (!this->forwardEvents(Batch)) {
      Exchange.Abort();
      return AttemptEnd::CallerLeft;
    }
    if (IsBrokenOff) {
      Exchange.Abort();
      return Piece.value().EndsWithConnection ? AttemptEnd::Lost
                                              : AttemptEnd::Malformed;
    }
    if (Piece.value().IsLast) {
      Exchange.Finish();
      return this->Caller.EndStream() ? AttemptEnd::Done
                                      : AttemptEnd::CallerLeft;
    }
  }
}

bool RelayCallHandler::forwardEvents(const EventBatch &Batch) {
  if (Batch.Bytes.empty())
    return true;
  // Counted before they are sent: the caller is charged for events that it may
  // have received.
  this->Outcome.Events += Batch.Events;
  this->LastSentId = this->Events.lastId();
  this->EndsWithoutId = this->Events.endsWithoutId();
  this->IsWriting = true;
  bool IsSent = static_cast<bool>(this->Caller.SendChunk(Batch.Bytes));
  this->IsWriting = false;
  return IsSent;
}

void RelayCallHandler::recordAttempt(const ListedTarget &Target,
                                     AttemptEnd End) {
  const std::string &Id = Target.Id;
  TargetDirectory &Targets = this->Dispatcher.targets();
  // First of all: what follows may run out of memory, and a call that was sent
  // must not be refused as not run then.
  if (End != AttemptEnd::NotSent && End != AttemptEnd::Withdrawn &&
      End != AttemptEnd::RunUnknown && End != AttemptEnd::NotRun)
    ++this->TargetsThatMayHaveRun;
  switch (End) {
  case AttemptEnd::Done:
    Targets.onSuccess(Id);
    // A stream that ends before its first event proves nothing.
    if (this->EventsFromTarget > 0 || !this->HasStreamStarted)
      this->recordAnswer();
    break;
  case AttemptEnd::NotRun:
    Targets.onFull(Id, this->now());
    break;
  case AttemptEnd::Lost:
    Targets.onLost(Id, this->now());
    // It says nothing of the target, nor of the request.
    if (this->Dispatcher.reach().isLost(this->Service))
      break;
    if (this->EventsFromTarget < EventsPastBeginning)
      this->recordLoss(Target);
    Targets.onFailure(Id, this->now());
    this->Dispatcher.reach().onFailed(Target);
    break;
  case AttemptEnd::NotSent:
    ++this->AttemptsNotSent;
    Targets.onLost(Id, this->now());
    if (this->Dispatcher.reach().isLost(this->Service))
      break;
    this->Dispatcher.reach().onFailed(Target);
    [[fallthrough]];
  case AttemptEnd::Malformed:
  case AttemptEnd::OutOfMemory:
    Targets.onFailure(Id, this->now());
    break;
  case AttemptEnd::Withdrawn:
  case AttemptEnd::RunUnknown:
  case AttemptEnd::Failed:
  case AttemptEnd::OutOfTime:
  case AttemptEnd::CallerLeft:
  case AttemptEnd::Quarantined:
  case AttemptEnd::RateLimited:
  case AttemptEnd::VersionUnknown:
  case AttemptEnd::VersionNotServed:
  case AttemptEnd::HostStops:
  case AttemptEnd::Evacuated:
  case AttemptEnd::Cold:
  case AttemptEnd::OutOfReach:
    break;
  }
}

void RelayCallHandler::recordAnswer() {
  this->Dispatcher.quarantine().onAnswered(this->Traits, this->now());
}

void RelayCallHandler::recordLoss(const ListedTarget &Target) {
  bool IsCounted = this->Dispatcher.quarantine().onLost(
      this->Traits, Target.runKey(), this->SentAt, this->now());
  std::vector<std::string> Parts;
  for (const PromptPart &Part : this->Call.Parts)
    if (Parts.size() < MaxLoggedParts)
      Parts.push_back(Part.Id.substr(0, MaxLoggedBytes) + "=" +
                      toHex(hash128(Part.Id)));
  logEvent(LogLevel::Warning, "target_lost_before_answer",
           {{"request", this->Call.Id},
            {"target", Target.Id},
            {"content", toHex(this->Traits.Content)},
            {"parts", Parts},
            {"send", this->Outcome.Sends},
            {"counted", IsCounted}});
}

bool RelayCallHandler::isRepeatAllowed(unsigned MayHaveRun) const {
  const RelayRoute &Route = *this->Call.Route;
  if (this->IsWriting)
    return false;
  if (MayHaveRun >= Route.MaxTargets)
    return false;
  // A repeated call begins anew, which the stream of a caller can't.
  if (this->HasStreamStarted || Route.Kind == CallKind::Stream)
    return Route.hasResumableStreams() && !this->EndsWithoutId;
  return Route.Kind == CallKind::Idempotent;
}

bool RelayCallHandler::shouldRetry(AttemptEnd End) {
  switch (End) {
  case AttemptEnd::Done:
  case AttemptEnd::OutOfTime:
  case AttemptEnd::CallerLeft:
  case AttemptEnd::Quarantined:
  case AttemptEnd::RateLimited:
  case AttemptEnd::VersionUnknown:
  case AttemptEnd::VersionNotServed:
  case AttemptEnd::HostStops:
  case AttemptEnd::Evacuated:
  case AttemptEnd::Cold:
  case AttemptEnd::OutOfReach:
    return false;
  case AttemptEnd::Withdrawn:
    // What ended the attempt also ends the next one before it begins, or
    // another target is chosen.
    return true;
  case AttemptEnd::NotSent:
  case AttemptEnd::RunUnknown:
    // No byte was sent, so this does not count as a resend.
    return this->Attempts < MaxSends;
  case AttemptEnd::NotRun:
    break;
  case AttemptEnd::Failed:
  case AttemptEnd::Lost:
  case AttemptEnd::Malformed:
  case AttemptEnd::OutOfMemory:
    if (!this->isRepeatAllowed(this->TargetsThatMayHaveRun))
      return false;
    break;
  }
  return this->Outcome.Sends < MaxSends &&
         this->Dispatcher.resends().tryResend(this->Service, this->now());
}

void RelayCallHandler::finishFailed(AttemptEnd End) {
  if (this->Caller.HasLeft() || End == AttemptEnd::CallerLeft)
    return this->finish(RelayEnd::CallerLeft, RelayReason::CallerGone);
  if (this->HasStreamStarted) {
    this->Caller.AbortStream();
    if (End == AttemptEnd::OutOfTime)
      return this->finish(RelayEnd::Broken, RelayReason::DeadlinePassed);
    return this->finish(RelayEnd::Broken, End == AttemptEnd::HostStops
                                              ? RelayReason::Stopping
                                              : RelayReason::TargetLost);
  }
  if (this->TargetFailure) {
    // The target's own failure response is passed on unchanged.
    this->Outcome.Status = this->TargetFailure->first.Status;
    if (!this->sendResponse(this->TargetFailure->first,
                            this->TargetFailure->second))
      return this->finish(RelayEnd::CallerLeft, RelayReason::CallerGone);
    return this->finish(RelayEnd::Done, RelayReason::None);
  }
  bool MayHaveRun = this->TargetsThatMayHaveRun > 0;
  if (MayHaveRun) {
    if (End == AttemptEnd::OutOfTime)
      return this->refuse(504, RelayEnd::Unknown, RelayReason::DeadlinePassed);
    if (End == AttemptEnd::Quarantined)
      return this->refuse(502, RelayEnd::Unknown, RelayReason::Quarantined);
    if (End == AttemptEnd::OutOfMemory)
      return this->refuse(502, RelayEnd::Unknown, RelayReason::OutOfMemory);
    if (End == AttemptEnd::HostStops)
      return this->refuse(502, RelayEnd::Unknown, RelayReason::Stopping);
    return this->refuse(502, RelayEnd::Unknown,
                        End == AttemptEnd::Malformed
                            ? RelayReason::MalformedResponse
                            : RelayReason::TargetLost);
  }
  if (End == AttemptEnd::OutOfTime)
    return this->refuse(503, RelayEnd::NotRun, RelayReason::DeadlinePassed);
  if (End == AttemptEnd::Quarantined)
    return this->refuse(503, RelayEnd::NotRun, RelayReason::Quarantined,
                        this->Admission == SendAdmission::Busy
                            ? ProbeRetryAfter
                            : QuarantineRetryAfter);
  if (End == AttemptEnd::OutOfMemory)
    return this->refuse(503, RelayEnd::NotRun, RelayReason::OutOfMemory,
                        MemoryRetryAfter);
  if (End == AttemptEnd::HostStops)
    return this->refuse(503, RelayEnd::NotRun, RelayReason::Stopping,
                        StoppingRetryAfter);
  if (End == AttemptEnd::NotRun)
    return this->refuse(503, RelayEnd::NotRun, RelayReason::TargetsFull,
                        FullRetryAfter);
  if (End == AttemptEnd::Evacuated) {
    this->Dispatcher.stats().count("relay_refusals_evacuated_total");
    return this->refuse(503, RelayEnd::NotRun, RelayReason::Evacuated,
                        EvacuatedRetryAfter);
  }
  if (End == AttemptEnd::Cold) {
    this->Dispatcher.stats().count("relay_refusals_cold_total");
    return this->refuse(503, RelayEnd::NotRun, RelayReason::TargetsCold,
                        this->coldRetryAfter());
  }
  if (End == AttemptEnd::OutOfReach)
    return this->refuse(503, RelayEnd::NotRun, RelayReason::OutOfReach,
                        this->Dispatcher.rng().jitter(NoTargetRetryAfter));
  // Without a time to return: the caller had better start anew.
  if (End == AttemptEnd::VersionUnknown ||
      (End == AttemptEnd::RunUnknown && this->Versions.hasBegun()))
    return this->refuse(503, RelayEnd::NotRun,
                        RelayReason::StreamVersionUnknown);
  if (End == AttemptEnd::VersionNotServed)
    return this->refuse(503, RelayEnd::NotRun,
                        RelayReason::StreamVersionNotServed);
  if (End == AttemptEnd::RateLimited)
    return this->refuse(503, RelayEnd::NotRun, RelayReason::RateLimited,
                        this->Dispatcher.limiter().scheduleReturn(
                            this->rateLimitedTargets(), this->now()));
  this->refuse(503, RelayEnd::NotRun,
               this->Attempts == 0 ? RelayReason::NoTarget
                                   : RelayReason::TargetUnreachable,
               NoTargetRetryAfter);
}

void RelayCallHandler::finish(RelayEnd End, RelayReason Reason) {
  this->Outcome.End = End;
  this->Outcome.Reason = Reason;
}

void RelayCallHandler::refuse(unsigned Status, RelayEnd End, RelayReason Reason,
                              std::optional<Duration> RetryAfter) {
  this->finish(End, Reason);
  this->Outcome.Status = Status;
  this->Caller.WillRefuse(Reason);
  if (!this->sendResponse(
          this->Hooks.MakeRefusal(Status, this->Call, RetryAfter),
          refusalBody(Reason, End)))
    this->Outcome.End = RelayEnd::CallerLeft;
}

void RelayCallHandler::settle() {
  if (!this->Hold)
    return;
  Tokens Spent = 0;
  if (this->TargetsThatMayHaveRun > 0)
    Spent = this->Call.PromptTokens +
            std::min<Tokens>(this->Call.MaxOutputTokens,
                             static_cast<Tokens>(this->Outcome.Events) *
                                 this->TokensPerEvent);
  this->Outcome.TokensCharged = Spent;
  this->Dispatcher.tokens().settle(*this->Hold, Spent);
}

} // namespace bergamothook::detail
