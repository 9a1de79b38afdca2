#include "LibOutcome/StreamRun.h"

#include "LibOutcome/HedgeRace.h"

#include <algorithm>

namespace bergamothook::detail {

StreamRun::StreamRun(const StreamRequest &Request, const StreamHooks &Hooks,
                     const StreamSettings &Settings)
    : Request(Request), Hooks(Hooks), Settings(Settings),
      Pieces(Request.Request, Request.DeliveredTokens),
      WasSent(Request.DeliveredTokens > 0) {}

StreamOutcome StreamRun::run() {
  this->Ending.DeliveredTokens = this->Request.DeliveredTokens;
  auto Reserved = this->Hooks.Reserve(this->Request, this->now());
  if (!Reserved) {
    this->finish(Outcome::NotRun, Reserved.error());
    return this->Ending;
  }
  this->runAttempts();
  this->bill();
  this->Hooks.Settle(this->Request, this->Ending.Billed);
  return this->Ending;
}

void StreamRun::runAttempts() {
  while (!this->HasEnded) {
    if (this->now() >= this->Request.Deadline) {
      this->cancelInBackground();
      this->finishIncomplete(OutcomeError::DeadlinePassed);
    } else {
      this->runAttempt();
    }
  }
}

std::optional<StreamTarget> StreamRun::takeTarget(TimePoint Now) {
  if (this->IsResuming)
    return this->Current;
  if (this->Hooks.Admit)
    if (auto Admitted = this->Hooks.Admit(this->Request.Content, Now);
        !Admitted) {
      this->finishIncomplete(Admitted.error());
      return std::nullopt;
    }
  auto Chosen = this->Hooks.ChooseTarget(this->Request, this->Excluded, Now);
  if (Chosen)
    return Chosen.value();
  // Every target was tried; the ones that failed may be back by now.
  if (!this->Excluded.empty()) {
    this->Excluded.clear();
    Chosen = this->Hooks.ChooseTarget(this->Request, this->Excluded, Now);
    if (Chosen)
      return Chosen.value();
  }
  this->finishIncomplete(Chosen.error());
  return std::nullopt;
}

void StreamRun::runAttempt() {
  this->Current = this->takeTarget(this->now());
  if (!this->Current)
    return;
  this->IsResuming = false;
  this->TokensBefore = this->Pieces.deliveredTokens();
  ++this->Ending.Attempts;
  AttemptNumber Attempt{this->Ending.Attempts};
  this->Pieces.startAttempt(Attempt);
  GenerationRequest Order{this->Request.Request,   Attempt,
                          this->Request.Model,     this->Request.Prompt,
                          this->Request.MaxTokens, this->Request.Priority,
                          this->TokensBefore};
  if (this->Hooks.Started)
    this->Hooks.Started(this->Request.Content, this->Current->Id);
  auto Stream = this->open(Order);
  auto Read =
      Stream ? this->readStream(Stream.value()) : Result<void>(Stream.error());
  if (!Read)
    this->handleFailure(Read.error());
  if (this->Hooks.Ended)
    this->Hooks.Ended(this->Request.Content, this->Current->Id);
  // Only now, since a content that waits is in flight nowhere.
  this->Hooks.Tasks.sleepUntil(this->limit(this->Pause));
  this->Pause = Duration::zero();
}

Result<EngineStream> StreamRun::open(const GenerationRequest &Order) {
  if (this->Request.MayHedge && this->Request.MayRepeat &&
      this->Ending.Attempts == 1)
    return this->openHedged(Order);
  return this->Hooks.Engine.Open(this->Current->Address, Order,
                                 this->limit(this->Settings.OpenTimeout));
}

std::optional<StreamTarget> StreamRun::takeHedgeTarget() {
  std::vector<TargetId> Taken = this->Excluded;
  Taken.push_back(this->Current->Id);
  auto Chosen = this->Hooks.ChooseTarget(this->Request, Taken, this->now());
  if (!Chosen || !this->Hooks.MayRetry(this->now()))
    return std::nullopt;
  return Chosen.value();
}

Result<EngineStream> StreamRun::openHedged(const GenerationRequest &Order) {
  TimePoint Deadline = this->limit(this->Settings.FirstChunkTimeout);
  StreamTarget First = *this->Current;
  HedgeRace Race(this->Hooks, this->Settings);
  Race.launch(First, Order, Deadline);
  std::optional<StreamTarget> Second;
  if (!Race.wait(this->limit(this->Settings.HedgeDelay)))
    Second = this->takeHedgeTarget();
  if (Second) {
    GenerationRequest Hedge = Order;
    Hedge.Attempt = AttemptNumber{++this->Ending.Attempts};
    if (this->Hooks.Started)
      this->Hooks.Started(this->Request.Content, Second->Id);
    Race.launch(*Second, Hedge, Deadline);
  }
  Race.wait(Deadline);
  HedgeResult Winner = Race.finish();
  // The loser, if any, is cancelled by its own task.
  bool HasSecondWon = Second && Winner.Target.Id == Second->Id;
  if (Second && this->Hooks.Ended)
    this->Hooks.Ended(this->Request.Content,
                      HasSecondWon ? First.Id : Second->Id);
  this->Current = Winner.Target;
  // Bytes were sent to an engine unless the failure proves otherwise, and a
  // second engine may have run what the first refused.
  if (!Winner.Failure || Second || !provesNotRun(Winner.Failure))
    this->WasSent = true;
  if (Winner.Failure)
    return Winner.Failure;
  this->Pieces.startAttempt(Winner.Attempt);
  return Winner.Stream;
}

Result<void> StreamRun::readStream(const EngineStream &Stream) {
  this->WasSent = true;
  bool IsFirst = true;
  while (!this->HasEnded) {
    Duration Patience = IsFirst ? this->Settings.FirstChunkTimeout
                                : this->Settings.ChunkTimeout;
    BOOST_OUTCOME_TRY(Chunk, Stream.Next(this->limit(Patience)));
    IsFirst = false;
    if (Chunk.IsLast)
      this->countUsage(Chunk.Counted);
    switch (this->Pieces.take(std::move(Chunk))) {
    case ChunkFate::Ready:
      this->deliver();
      break;
    case ChunkFate::Broken:
      return TargetError::BadAnswer;
    case ChunkFate::Dropped:
      ++this->Ending.DroppedChunks;
      break;
    case ChunkFate::Held:
      break;
    }
    // An engine that sends only late pieces must not hold the task for ever.
    if (!this->HasEnded && this->now() >= this->Request.Deadline)
      return TargetError::TimedOut;
  }
  return success();
}

void StreamRun::deliver() {
  for (const auto &Piece : this->Pieces.takeReady()) {
    if (!this->Hooks.Emit(Piece)) {
      this->cancelAndCount();
      this->finish(Outcome::Unknown, OutcomeError::CallerGone);
      return;
    }
    this->Ending.DeliveredTokens = Piece.FirstToken + Piece.Tokens;
    this->Ending.Finish = Piece.Reason;
  }
  if (this->Pieces.isComplete()) {
    this->Hooks.Report(this->Current->Id, {}, this->now());
    if (this->Hooks.Cleared)
      this->Hooks.Cleared(this->Request.Content);
    this->finish(Outcome::Done, {});
  } else if (this->Ending.DeliveredTokens > this->Request.MaxTokens) {
    // The engine went past the limit that was reserved for.
    this->cancelAndCount();
    this->Hooks.Report(this->Current->Id, TargetError::BadAnswer, this->now());
    this->finish(Outcome::Unknown, TargetError::BadAnswer);
  }
}

void StreamRun::handleFailure(std::error_code Failure) {
  if (!provesNotRun(Failure)) {
    this->WasSent = true;
    this->handleLostStream(Failure);
    return;
  }
  this->Hooks.Report(this->Current->Id, Failure, this->now());
  if (Failure == TargetError::BadRequest) {
    this->finishIncomplete(Failure);
    return;
  }
  this->Excluded.push_back(this->Current->Id);
  this->planRetry();
}

void StreamRun::handleLostStream(std::error_code Failure) {
  if (this->now() >= this->Request.Deadline)
    return;
  auto Status =
      this->Hooks.Engine.Probe(this->Current->Address, this->Request.Request,
                               this->limit(Settings.ProbeTimeout));
  if (Status) {
    this->resumeHere();
    return;
  }
  if (Status.error() == TargetError::UnknownStream) {
    // The engine is well, and runs nothing of this request.
    this->planRetry();
    return;
  }
  if (Status.error() == TargetError::ConnectFailed && this->Hooks.Crashed)
    this->Hooks.Crashed(this->Request.Content, this->Current->Id, this->now());
  this->leaveTarget(Failure);
}

void StreamRun::resumeHere() {
  bool HasMoved = this->Pieces.deliveredTokens() > this->TokensBefore;
  this->IdleResumes = HasMoved ? 0 : this->IdleResumes + 1;
  if (this->IdleResumes > this->Settings.MaxIdleResumes) {
    this->leaveTarget(TargetError::TimedOut);
    return;
  }
  // The engine goes on with the same generation: no repetition, so neither the
  // retry budget nor the template is asked.
  ++this->Ending.Resumes;
  this->IsResuming = true;
}

void StreamRun::leaveTarget(std::error_code Failure) {
  this->Hooks.Report(this->Current->Id, Failure, this->now());
  this->Excluded.push_back(this->Current->Id);
  this->cancelInBackground();
  this->IdleResumes = 0;
  this->planRetry();
}

void StreamRun::planRetry() {
  if (this->WasSent && !this->Request.MayRepeat) {
    this->finishIncomplete(OutcomeError::AnswerTruncated);
    return;
  }
  ++this->Retries;
  if (this->Retries >= this->Settings.MaxAttempts ||
      !this->Hooks.MayRetry(this->now())) {
    this->finishIncomplete(OutcomeError::RetryBudgetExhausted);
    return;
  }
  constexpr std::uint32_t MostDoublings = 8;
  this->Pause =
      std::min(this->Settings.LongestBackOff,
               this->Settings.FirstBackOff *
                   (1U << std::min(this->Retries - 1, MostDoublings)));
}

void StreamRun::finish(Outcome Verdict, std::error_code Reason) {
  this->HasEnded = true;
  this->Ending.Verdict = Verdict;
  this->Ending.Reason = Reason;
}

void StreamRun::finishIncomplete(std::error_code Reason) {
  this->finish(this->WasSent ? Outcome::Unknown : Outcome::NotRun, Reason);
  this->Ending.RetryAfter = this->Settings.RetryAfter;
}

void StreamRun::cancelAndCount() {
  auto Status =
      this->Hooks.Engine.Cancel(this->Current->Address, this->Request.Request,
                                this->now() + Settings.CancelTimeout);
  if (Status)
    this->countUsage(Status.value().Counted);
}

void StreamRun::cancelInBackground() {
  if (!this->Current || !this->WasSent)
    return;
  // The engine may still generate for nobody; its count comes too late here.
  this->Hooks.Tasks.Spawn([Cancel = this->Hooks.Engine.Cancel,
                           At = this->Current->Address,
                           Id = this->Request.Request,
                           Limit = this->now() + this->Settings.CancelTimeout] {
    (void)Cancel(At, Id, Limit);
  });
}

void StreamRun::countUsage(const Usage &Counted) {
  Usage &Billed = this->Ending.Billed;
  Billed.PromptTokens = std::max(Billed.PromptTokens, Counted.PromptTokens);
  Billed.CachedPromptTokens =
      std::max(Billed.CachedPromptTokens, Counted.CachedPromptTokens);
  Billed.GeneratedTokens =
      std::max(Billed.GeneratedTokens, Counted.GeneratedTokens);
}

void StreamRun::bill() {
  Usage &Billed = this->Ending.Billed;
  Billed.GeneratedTokens =
      std::max(Billed.GeneratedTokens, this->Ending.DeliveredTokens);
  Billed.GeneratedTokens =
      std::min(Billed.GeneratedTokens, this->Request.MaxTokens);
  bool IsUncounted = Billed.PromptTokens == 0 && this->WasSent;
  if (IsUncounted && this->Ending.Verdict != Outcome::NotRun)
    Billed.PromptTokens = this->Request.PromptTokens;
  if (!this->WasSent)
    Billed = Usage{};
}

TimePoint StreamRun::limit(Duration Span) const {
  return std::min(this->Request.Deadline, this->now() + Span);
}

} // namespace bergamothook::detail
