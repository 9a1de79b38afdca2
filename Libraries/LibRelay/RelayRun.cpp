#include "LibRelay/RelayRun.h"

#include "LibNet/NetError.h"

namespace bergamothook::detail {

namespace {

/// Sends of one call at the most, whatever its route allows: beyond that a call
/// costs the others more than it can gain.
constexpr unsigned MaxSends = 4;
/// The largest body that is held back until it is whole.
constexpr std::size_t MaxWholeBytes = 8 * 1024 * 1024;
/// What is read of late answers to other calls before a connection is given up.
constexpr std::size_t MaxForeignBytes = 1024 * 1024;
/// Less time than this is not worth a send: no target answers in it.
constexpr Duration LeastTimeForSend = std::chrono::milliseconds(20);
/// When to come back after a refusal for want of room or of a target: targets
/// free their slots within fractions of a second, and new ones are listed about
/// once a second.
constexpr Duration FullRetryAfter = std::chrono::milliseconds(500);
constexpr Duration NoTargetRetryAfter = std::chrono::milliseconds(1000);
/// Tokens that other hosts hold return within one or two of their rounds.
constexpr Duration TokensRetryAfter = std::chrono::milliseconds(1000);
/// A request that crashes targets is held off for minutes.
constexpr Duration QuarantineRetryAfter = std::chrono::minutes(1);

bool isEventStream(const HttpResponseHead &Head) {
  auto Type = Head.Headers.find("Content-Type");
  return Head.Status == 200 && Type && Type->starts_with("text/event-stream");
}

} // namespace

RelayRun::RelayRun(RelayDispatcher &Desk, const RelayCall &Call,
                   const CallerHooks &Caller)
    : Desk(Desk), Hooks(Desk.hooks()), Call(Call), Caller(Caller),
      Content(Call.content()), Deadline(Call.deadline()) {}

RelayOutcome RelayRun::run() {
  this->chooseService();
  if (this->setTokensAside()) {
    this->runAttempts();
    this->settle();
  }
  this->Result.Total = this->now() - this->Call.ArrivedAt;
  return this->Result;
}

void RelayRun::chooseService() {
  const auto &Shares = this->Call.Route->Services;
  std::uint64_t Sum = 0;
  for (const ServiceShare &Share : Shares)
    Sum += Share.Weight;
  std::uint64_t Drawn = Sum > 0 ? this->Desk.dice().below(Sum) : 0;
  for (const ServiceShare &Share : Shares) {
    this->Service = Share.Service;
    if (Drawn < Share.Weight)
      break;
    Drawn -= Share.Weight;
  }
  if (const RoutedService *Known =
          this->Call.Config->findService(this->Service))
    this->TokensPerEvent = Known->TokensPerEvent;
}

bool RelayRun::setTokensAside() {
  Tokens Amount = this->Call.worstCase();
  if (!this->Call.Team || !this->Call.Team->Budget || Amount == 0)
    return true;
  auto Verdict = this->Desk.tokens().reserve(
      this->Call.Team->Name, Amount, this->Deadline, this->Caller.HasLeft);
  this->Result.TokensWait = this->now() - this->Call.ArrivedAt;
  if (Verdict) {
    this->Hold = std::move(Verdict).value();
    return true;
  }
  if (this->Caller.HasLeft())
    this->finish(RelayEnd::CallerLeft, RelayReason::CallerGone);
  else if (Verdict.error() == WalletError::Exhausted)
    this->refuse(402, RelayEnd::NotRun, RelayReason::BudgetExhausted);
  else
    this->refuse(503, RelayEnd::NotRun, RelayReason::BudgetNotInHand,
                 TokensRetryAfter);
  return false;
}

void RelayRun::runAttempts() {
  this->Desk.resends().onRequest(this->Service, this->now());
  for (;;) {
    if (this->Caller.HasLeft())
      return this->finish(RelayEnd::CallerLeft, RelayReason::CallerGone);
    if (this->now() + LeastTimeForSend >= this->Deadline)
      return this->giveUp(AttemptEnd::OutOfTime);
    if (!this->Desk.quarantine().maySend(this->Content, this->now()))
      return this->giveUp(AttemptEnd::Quarantined);
    TargetState *Target = this->chooseTarget();
    if (!Target)
      return this->giveUp(AttemptEnd::NotSent);
    ListedTarget Chosen = Target->Listed;
    this->Result.Target = Chosen.Id;
    AttemptEnd End = this->attempt(Chosen);
    this->noteTarget(Chosen.Id, End);
    if (End == AttemptEnd::Done)
      return this->finish(RelayEnd::Done, RelayReason::None);
    if (!this->mayGoOn(End))
      return this->giveUp(End);
    this->Excluded.insert(Chosen.Id);
  }
}

TargetState *RelayRun::chooseTarget() {
  return this->Desk.picker().pick(this->Desk.targets(), this->Service,
                                  this->Call, this->Excluded, this->now());
}

AttemptEnd RelayRun::attempt(const ListedTarget &Target) {
  TargetDirectory &Targets = this->Desk.targets();
  this->HasEventOfTarget = false;
  Duration TimeLeft = this->Deadline - this->now();
  HttpRequestHead Head =
      this->Hooks.MakeHead(this->Call, Target, TimeLeft, this->Events.lastId());
  Targets.onStarted(Target.Id, this->Call.PromptTokens);
  this->IsPromptBeingRead = true;
  auto Opened =
      this->Hooks.Open(Target, this->Call, Head, this->Caller, this->Deadline);
  AttemptEnd End = AttemptEnd::NotSent;
  if (Opened) {
    ++this->Result.Sends;
    End = this->readAnswer(Opened.value());
  } else if (Opened.error() != NetError::ConnectFailed) {
    ++this->Result.Sends;
    End = this->endOf(Opened.error());
  }
  if (this->IsPromptBeingRead)
    Targets.onPromptRead(Target.Id, this->Call.PromptTokens);
  this->IsPromptBeingRead = false;
  Targets.onEnded(Target.Id);
  return End;
}

AttemptEnd RelayRun::endOf(std::error_code Failure) const {
  if (this->Caller.HasLeft())
    return AttemptEnd::CallerLeft;
  if (Failure == NetError::TimedOut)
    return AttemptEnd::OutOfTime;
  if (Failure == NetError::Malformed || Failure == NetError::HeadTooLarge ||
      Failure == NetError::BodyTooLarge)
    return AttemptEnd::Garbled;
  return AttemptEnd::Lost;
}

std::optional<AttemptEnd> RelayRun::passOver(TargetExchange &Exchange,
                                             std::size_t &Passed) const {
  for (;;) {
    auto Piece = Exchange.ReadBody(this->Deadline);
    if (!Piece)
      return this->endOf(Piece.error());
    // Also counts an answer without a body, so that their number is bounded.
    Passed += std::max<std::size_t>(Piece.value().Bytes.size(), 1024);
    if (Passed > MaxForeignBytes)
      return AttemptEnd::Garbled;
    if (Piece.value().IsLast)
      return std::nullopt;
  }
}

AttemptEnd RelayRun::readAnswer(TargetExchange &Exchange) {
  std::size_t ForeignBytes = 0;
  for (;;) {
    auto Head = Exchange.ReadHead(this->Deadline);
    if (!Head) {
      Exchange.Abort();
      return this->endOf(Head.error());
    }
    switch (this->Hooks.Classify(Head.value(), this->Call)) {
    case ResponseVerdict::WrongTarget:
      Exchange.Abort();
      this->Desk.targets().onReplaced(this->Result.Target);
      return AttemptEnd::NotRun;
    case ResponseVerdict::NotRun:
      Exchange.Finish();
      return AttemptEnd::NotRun;
    case ResponseVerdict::Unverified:
      Exchange.Abort();
      return AttemptEnd::Garbled;
    case ResponseVerdict::Stale:
      if (auto Failure = this->passOver(Exchange, ForeignBytes)) {
        Exchange.Abort();
        return *Failure;
      }
      Exchange.NextResponse();
      continue;
    case ResponseVerdict::Ran:
      if (isEventStream(Head.value()))
        return this->relayStream(Exchange, std::move(Head.value()));
      return this->relayWhole(Exchange, std::move(Head.value()));
    }
  }
}

AttemptEnd RelayRun::relayWhole(TargetExchange &Exchange,
                                HttpResponseHead Head) {
  std::string Body;
  for (bool IsLast = false; !IsLast;) {
    auto Piece = Exchange.ReadBody(this->Deadline);
    if (!Piece || Body.size() + Piece.value().Bytes.size() > MaxWholeBytes) {
      Exchange.Abort();
      return Piece ? AttemptEnd::Garbled : this->endOf(Piece.error());
    }
    Body += Piece.value().Bytes;
    IsLast = Piece.value().IsLast;
  }
  Exchange.Finish();
  if (this->HasBegun) // A resumed stream was answered by a failure.
    return AttemptEnd::Failed;
  Head.Headers.removeConnectionFields();
  if (Head.Status >= 500) {
    this->Reported = {std::move(Head), std::move(Body)};
    return AttemptEnd::Failed;
  }
  this->Result.Status = Head.Status;
  if (!this->Caller.SendResponse(Head, Body))
    return AttemptEnd::CallerLeft;
  return AttemptEnd::Done;
}

AttemptEnd RelayRun::relayStream(TargetExchange &Exchange,
                                 HttpResponseHead Head) {
  this->Events.dropRest();
  for (;;) {
    auto Piece = Exchange.ReadBody(this->Deadline);
    if (!Piece) {
      Exchange.Abort();
      return this->endOf(Piece.error());
    }
    EventRun Run = this->Events.take(Piece.value().Bytes);
    if (this->Events.hasGap() || this->Events.isOverlong()) {
      Exchange.Abort();
      return AttemptEnd::Garbled;
    }
    if (Piece.value().IsLast) {
      // Bytes behind the last event are part of the whole answer.
      Run.Bytes += this->Events.rest();
      this->Events.dropRest();
    }
    this->HasEventOfTarget |= Run.Events > 0;
    if (Run.Events > 0 && this->IsPromptBeingRead) {
      this->IsPromptBeingRead = false;
      this->Desk.targets().onPromptRead(this->Result.Target,
                                        this->Call.PromptTokens);
    }
    if (!this->HasBegun && (!Run.Bytes.empty() || Piece.value().IsLast)) {
      Head.Headers.removeConnectionFields();
      this->Result.Status = Head.Status;
      this->HasBegun = true;
      this->Result.FirstEvent = this->now() - this->Call.ArrivedAt;
      if (!this->Caller.BeginStream(Head)) {
        Exchange.Abort();
        return AttemptEnd::CallerLeft;
      }
    }
    if (!this->forward(Run)) {
      Exchange.Abort();
      return AttemptEnd::CallerLeft;
    }
    if (Piece.value().IsLast) {
      Exchange.Finish();
      return this->Caller.EndStream() ? AttemptEnd::Done
                                      : AttemptEnd::CallerLeft;
    }
  }
}

bool RelayRun::forward(const EventRun &Run) {
  if (Run.Bytes.empty())
    return true;
  // Counted before they are sent: what a caller may have is spent.
  this->Result.Events += Run.Events;
  return static_cast<bool>(this->Caller.SendChunk(Run.Bytes));
}

void RelayRun::noteTarget(const std::string &Id, AttemptEnd End) {
  TargetDirectory &Targets = this->Desk.targets();
  switch (End) {
  case AttemptEnd::Done:
    Targets.onGoodAnswer(Id);
    this->Desk.quarantine().onAnswered(this->Content);
    break;
  case AttemptEnd::NotRun:
    Targets.onFull(Id, this->now());
    break;
  case AttemptEnd::Lost:
    if (!this->HasEventOfTarget)
      this->Desk.quarantine().onLost(this->Content, Id, this->now());
    [[fallthrough]];
  case AttemptEnd::NotSent:
  case AttemptEnd::Garbled:
    Targets.onFailure(Id, this->now());
    break;
  case AttemptEnd::Failed:
  case AttemptEnd::OutOfTime:
  case AttemptEnd::CallerLeft:
  case AttemptEnd::Quarantined:
    break;
  }
  if (End != AttemptEnd::NotSent && End != AttemptEnd::NotRun)
    ++this->TargetsThatMayHaveRun;
}

bool RelayRun::mayRunAgain() const {
  const RelayRoute &Route = *this->Call.Route;
  if (this->TargetsThatMayHaveRun >= Route.MaxTargets)
    return false;
  if (Route.Kind == CallKind::Stream)
    return Route.IsResumable;
  return Route.Kind == CallKind::Idempotent;
}

bool RelayRun::mayGoOn(AttemptEnd End) {
  switch (End) {
  case AttemptEnd::Done:
  case AttemptEnd::OutOfTime:
  case AttemptEnd::CallerLeft:
  case AttemptEnd::Quarantined:
    return false;
  case AttemptEnd::NotSent:
    // Nothing arrived anywhere, so it is no resend.
    return this->Excluded.size() + 1 < MaxSends;
  case AttemptEnd::NotRun:
    break;
  case AttemptEnd::Failed:
  case AttemptEnd::Lost:
  case AttemptEnd::Garbled:
    if (!this->mayRunAgain())
      return false;
    break;
  }
  return this->Result.Sends < MaxSends &&
         this->Desk.resends().tryResend(this->Service, this->now());
}

void RelayRun::giveUp(AttemptEnd End) {
  if (this->Caller.HasLeft() || End == AttemptEnd::CallerLeft)
    return this->finish(RelayEnd::CallerLeft, RelayReason::CallerGone);
  if (this->HasBegun) {
    this->Caller.AbortStream();
    return this->finish(RelayEnd::Broken, End == AttemptEnd::OutOfTime
                                              ? RelayReason::DeadlinePassed
                                              : RelayReason::TargetLost);
  }
  if (this->Reported) {
    // The target's own word on a run that failed goes to the caller as it is.
    this->Result.Status = this->Reported->first.Status;
    if (!this->Caller.SendResponse(this->Reported->first,
                                   this->Reported->second))
      return this->finish(RelayEnd::CallerLeft, RelayReason::CallerGone);
    return this->finish(RelayEnd::Done, RelayReason::None);
  }
  bool MayHaveRun = this->TargetsThatMayHaveRun > 0;
  if (MayHaveRun) {
    if (End == AttemptEnd::OutOfTime)
      return this->refuse(504, RelayEnd::Unknown, RelayReason::DeadlinePassed);
    if (End == AttemptEnd::Quarantined)
      return this->refuse(502, RelayEnd::Unknown, RelayReason::Quarantined);
    return this->refuse(502, RelayEnd::Unknown,
                        End == AttemptEnd::Garbled ? RelayReason::TargetGarbled
                                                   : RelayReason::TargetLost);
  }
  if (End == AttemptEnd::OutOfTime)
    return this->refuse(503, RelayEnd::NotRun, RelayReason::DeadlinePassed);
  if (End == AttemptEnd::Quarantined)
    return this->refuse(503, RelayEnd::NotRun, RelayReason::Quarantined,
                        QuarantineRetryAfter);
  if (End == AttemptEnd::NotRun)
    return this->refuse(503, RelayEnd::NotRun, RelayReason::TargetsFull,
                        FullRetryAfter);
  this->refuse(503, RelayEnd::NotRun,
               this->Excluded.empty() ? RelayReason::NoTarget
                                      : RelayReason::TargetUnreachable,
               NoTargetRetryAfter);
}

void RelayRun::finish(RelayEnd End, RelayReason Reason) {
  this->Result.End = End;
  this->Result.Reason = Reason;
}

void RelayRun::refuse(unsigned Status, RelayEnd End, RelayReason Reason,
                      std::optional<Duration> RetryAfter) {
  this->finish(End, Reason);
  this->Result.Status = Status;
  auto Sent = this->Caller.SendResponse(
      this->Hooks.MakeRefusal(Status, this->Call, RetryAfter),
      refusalBody(Reason, End));
  if (!Sent)
    this->Result.End = RelayEnd::CallerLeft;
}

void RelayRun::settle() {
  if (!this->Hold)
    return;
  Tokens Spent = 0;
  if (this->TargetsThatMayHaveRun > 0)
    Spent = this->Call.PromptTokens +
            std::min<Tokens>(this->Call.MaxOutputTokens,
                             static_cast<Tokens>(this->Result.Events) *
                                 this->TokensPerEvent);
  this->Result.TokensCharged = Spent;
  this->Desk.tokens().settle(*this->Hold, Spent);
}

} // namespace bergamothook::detail
