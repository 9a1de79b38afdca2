#include "LibOutcome/StreamRun.h"

#include "LibOutcome/HedgeRace.h"

#include <algorithm>

namespace bergamothook::detail {

StreamRun::StreamRun(const StreamRequest &Request, const StreamHooks &Hooks,
                     const StreamSettings &Settings)
    : Request(Request), Hooks(Hooks), Settings(Settings),
      Chunks(Request.Request, Request.DeliveredTokens),
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

std::optional<StreamTarget> StreamRun::selectTarget(TimePoint Now) {
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
  // All targets have been tried. Those that failed may have recovered by now.
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
  this->Current = this->selectTarget(this->now());
  if (!this->Current)
    return;
  this->IsResuming = false;
  this->TokensAtStart = this->Chunks.deliveredTokens();
  ++this->Ending.Attempts;
  AttemptNumber Attempt{this->Ending.Attempts};
  this->Chunks.startAttempt(Attempt);
  GenerationRequest Generation{this->Request.Request,   Attempt,
                               this->Request.Model,     this->Request.Prompt,
                               this->Request.MaxTokens, this->Request.Priority,
                               this->TokensAtStart};
  if (this->Hooks.Started)
    this->Hooks.Started(this->Request.Content, this->Current->Id);
  auto Stream = this->open(Generation);
  auto Read =
      Stream ? this->readStream(Stream.value()) : Result<void>(Stream.error());
  if (!Read)
    this->handleFailure(Read.error());
  if (this->Hooks.Ended)
    this->Hooks.Ended(this->Request.Content, this->Current->Id);
  // Waits only now, so that the content is not in flight anywhere during the
  // back-off.
  this->Hooks.Tasks.sleepUntil(this->deadlineAfter(this->BackOff));
  this->BackOff = Duration::zero();
}

Result<EngineStream> StreamRun::open(const GenerationRequest &Generation) {
  if (this->Request.MayHedge && this->Request.MayRepeat &&
      this->Ending.Attempts == 1)
    return this->openHedged(Generation);
  return this->Hooks.Engine.Open(
      this->Current->Address, Generation,
      this->deadlineAfter(this->Settings.OpenTimeout));
}

std::optional<StreamTarget> StreamRun::selectHedgeTarget() {
  std::vector<TargetId> ExcludedTargets = this->Excluded;
  ExcludedTargets.push_back(this->Current->Id);
  auto Chosen =
      this->Hooks.ChooseTarget(this->Request, ExcludedTargets, this->now());
  if (!Chosen || !this->Hooks.MayRetry(this->now()))
    return std::nullopt;
  return Chosen.value();
}

Result<EngineStream>
StreamRun::openHedged(const GenerationRequest &Generation) {
  TimePoint Deadline = this->deadlineAfter(this->Settings.FirstChunkTimeout);
  StreamTarget First = *this->Current;
  HedgeRace Race(this->Hooks, this->Settings);
  Race.launch(First, Generation, Deadline);
  std::optional<StreamTarget> Second;
  if (!Race.wait(this->deadlineAfter(this->Settings.HedgeDelay)))
    Second = this->selectHedgeTarget();
  if (Second) {
    GenerationRequest Hedge = Generation;
    Hedge.Attempt = AttemptNumber{++this->Ending.Attempts};
    if (this->Hooks.Started)
      this->Hooks.Started(this->Request.Content, Second->Id);
    Race.launch(*Second, Hedge, Deadline);
  }
  Race.wait(Deadline);
  HedgeResult Winner = Race.finish();
  // The task of the losing attempt, if any, cancels its generation.
  bool HasSecondWon = Second && Winner.Target.Id == Second->Id;
  if (Second && this->Hooks.Ended)
    this->Hooks.Ended(this->Request.Content,
                      HasSecondWon ? First.Id : Second->Id);
  this->Current = Winner.Target;
  // Bytes were sent to an engine unless the failure proves otherwise, and a
  // second engine may have run what the first rejected.
  if (!Winner.Failure || Second || !provesNotRun(Winner.Failure))
    this->WasSent = true;
  if (Winner.Failure)
    return Winner.Failure;
  this->Chunks.startAttempt(Winner.Attempt);
  return Winner.Stream;
}

Result<void> StreamRun::readStream(const EngineStream &Stream) {
  this->WasSent = true;
  bool IsFirst = true;
  while (!this->HasEnded) {
    Duration Timeout = IsFirst ? this->Settings.FirstChunkTimeout
                               : this->Settings.ChunkTimeout;
    BOOST_OUTCOME_TRY(Chunk, Stream.Next(this->deadlineAfter(Timeout)));
    IsFirst = false;
    if (Chunk.IsLast)
      this->countUsage(Chunk.Counted);
    switch (this->Chunks.add(std::move(Chunk))) {
    case ChunkDisposition::Ready:
      this->deliver();
      break;
    case ChunkDisposition::Invalid:
      return TargetError::BadAnswer;
    case ChunkDisposition::Dropped:
      ++this->Ending.DroppedChunks;
      break;
    case ChunkDisposition::Buffered:
      break;
    }
    // An engine that sends only stale chunks must not block the task for ever.
    if (!this->HasEnded && this->now() >= this->Request.Deadline)
      return TargetError::TimedOut;
  }
  return success();
}

void StreamRun::deliver() {
  for (const auto &Chunk : this->Chunks.takeReady()) {
    if (!this->Hooks.Emit(Chunk)) {
      this->cancelAndCount();
      this->finish(Outcome::Unknown, OutcomeError::CallerGone);
      return;
    }
    this->Ending.DeliveredTokens = Chunk.FirstToken + Chunk.Tokens;
    this->Ending.Finish = Chunk.Reason;
  }
  if (this->Chunks.isComplete()) {
    this->Hooks.Report(this->Current->Id, {}, this->now());
    if (this->Hooks.Cleared)
      this->Hooks.Cleared(this->Request.Content);
    this->finish(Outcome::Done, {});
  } else if (this->Ending.DeliveredTokens > this->Request.MaxTokens) {
    // The engine exceeded the token limit that was reserved.
    this->cancelAndCount();
    this->Hooks.Report(this->Current->Id, TargetError::BadAnswer, this->now());
    this->finish(Outcome::Unknown, TargetError::BadAnswer);
  }
}

void StreamRun::handleFailure(std::error_code Failure) {
  if (!provesNotRun(Failure)) {
    this->WasSent = true;
    this->recoverStream(Failure);
    return;
  }
  this->Hooks.Report(this->Current->Id, Failure, this->now());
  if (Failure == TargetError::BadRequest) {
    this->finishIncomplete(Failure);
    return;
  }
  this->Excluded.push_back(this->Current->Id);
  this->scheduleRetry();
}

void StreamRun::recoverStream(std::error_code Failure) {
  if (this->now() >= this->Request.Deadline)
    return;
  auto Status =
      this->Hooks.Engine.Probe(this->Current->Address, this->Request.Request,
                               this->deadlineAfter(Settings.ProbeTimeout));
  if (Status) {
    this->resumeOnSameTarget();
    return;
  }
  if (Status.error() == TargetError::UnknownStream) {
    // The engine is healthy and runs nothing of this request.
    this->scheduleRetry();
    return;
  }
  if (Status.error() == TargetError::ConnectFailed && this->Hooks.Crashed)
    this->Hooks.Crashed(this->Request.Content, this->Current->Id, this->now());
  this->abandonTarget(Failure);
}

void StreamRun::resumeOnSameTarget() {
  bool HasProgressed = this->Chunks.deliveredTokens() > this->TokensAtStart;
  this->StalledResumes = HasProgressed ? 0 : this->StalledResumes + 1;
  if (this->StalledResumes > this->Settings.MaxStalledResumes) {
    this->abandonTarget(TargetError::TimedOut);
    return;
  }
  // The engine continues the same generation. This is no repetition, so neither
  // the retry budget nor the template applies.
  ++this->Ending.Resumes;
  this->IsResuming = true;
}

void StreamRun::abandonTarget(std::error_code Failure) {
  this->Hooks.Report(this->Current->Id, Failure, this->now());
  this->Excluded.push_back(this->Current->Id);
  this->cancelInBackground();
  this->StalledResumes = 0;
  this->scheduleRetry();
}

void StreamRun::scheduleRetry() {
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
  constexpr std::uint32_t MaxDoublings = 8;
  this->BackOff =
      std::min(this->Settings.LongestBackOff,
               this->Settings.FirstBackOff *
                   (1U << std::min(this->Retries - 1, MaxDoublings)));
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
  // The engine may still be generating without a reader. Its token count would
  // arrive too late.
  this->Hooks.Tasks.Spawn(
      [Cancel = this->Hooks.Engine.Cancel, At = this->Current->Address,
       Id = this->Request.Request,
       Deadline = this->now() + this->Settings.CancelTimeout] {
        (void)Cancel(At, Id, Deadline);
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
  bool HasNoCounts = Billed.PromptTokens == 0 && this->WasSent;
  if (HasNoCounts && this->Ending.Verdict != Outcome::NotRun)
    Billed.PromptTokens = this->Request.PromptTokens;
  if (!this->WasSent)
    Billed = Usage{};
}

TimePoint StreamRun::deadlineAfter(Duration Span) const {
  return std::min(this->Request.Deadline, this->now() + Span);
}

} // namespace bergamothook::detail
