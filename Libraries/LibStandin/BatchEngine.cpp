#include "LibStandin/BatchEngine.h"

#include "LibStandin/TokenText.h"

#include <algorithm>

namespace bergamothook {

namespace {

FinishReason reasonOf(RunOutcome Outcome) {
  switch (Outcome) {
  case RunOutcome::Length:
    return FinishReason::Length;
  case RunOutcome::Cancelled:
    return FinishReason::Cancelled;
  default:
    return FinishReason::Stop;
  }
}

std::vector<PrefixHash> blocksOf(const std::string &Model,
                                 const std::string &Prompt) {
  return prefixBlocksOf(Prompt, hash64(Model));
}

} // namespace

BatchEngine::BatchEngine(BatchEngineLimits Limits, std::uint64_t Seed)
    : Cache(Limits.CacheBlocks, Seed), Limits(std::move(Limits)),
      Models(this->Limits.Models.begin(), this->Limits.Models.end()) {}

bool BatchEngine::QueuePlace::operator<(const QueuePlace &Other) const {
  if (this->Priority != Other.Priority)
    return this->Priority > Other.Priority;
  return this->Arrival < Other.Arrival;
}

Result<void> BatchEngine::open(const GenerationOrder &Order, TimePoint Now) {
  this->forgetOldStreams(Now);
  auto Known = this->Sequences.find(Order.Request);
  if (Known != this->Sequences.end()) {
    ++this->Runs[Known->second.Run].Opens;
    return success();
  }
  BOOST_OUTCOME_TRY(this->checkOrder(Order));
  this->addSequence(Order, Now);
  if (!this->StepEnd)
    this->startStep(Now);
  return success();
}

Result<void> BatchEngine::checkOrder(const GenerationOrder &Order) const {
  if (Order.ResumeAfterTokens > 0 || Order.MustResume)
    return TargetError::UnknownStream;
  if (Order.MaxTokens == 0)
    return TargetError::BadRequest;
  bool IsLoaded = this->Models.count(Order.Model) > 0;
  if (!IsLoaded || this->Faults.IsLeaving)
    return TargetError::Refused;
  if (this->Waiting.size() >= this->Limits.QueueLimit)
    return TargetError::Refused;
  return success();
}

void BatchEngine::addSequence(const GenerationOrder &Order, TimePoint Now) {
  Sequence Added;
  Added.Order = Order;
  Added.Run = this->Runs.size();
  Added.AnswerTokens =
      std::min(Order.MaxTokens, naturalAnswerTokens(Order.Prompt));
  GenerationRun Run;
  Run.Request = Order.Request;
  Run.Attempt = Order.Attempt;
  Run.Counted.PromptTokens = countPromptTokens(Order.Prompt);
  Run.Opens = 1;
  this->Runs.push_back(Run);
  this->Sequences[Order.Request] = std::move(Added);
  this->Waiting.insert({Order.Priority, this->Arrivals++, Order.Request});
  this->noteLoad(Now);
}

bool BatchEngine::isRunning(const Sequence &Of) const {
  return this->Runs[Of.Run].Outcome == RunOutcome::Running;
}

StreamStatus BatchEngine::statusOf(const Sequence &Of) const {
  return {this->isRunning(Of), this->Runs[Of.Run].Counted};
}

Result<StreamStatus> BatchEngine::probe(RequestId Request) const {
  auto Known = this->Sequences.find(Request);
  if (Known == this->Sequences.end())
    return TargetError::UnknownStream;
  return this->statusOf(Known->second);
}

Result<StreamStatus> BatchEngine::cancel(RequestId Request, TimePoint Now) {
  auto Known = this->Sequences.find(Request);
  if (Known == this->Sequences.end())
    return TargetError::UnknownStream;
  if (this->isRunning(Known->second)) {
    std::erase_if(this->Waiting, [&](const QueuePlace &Place) {
      return Place.Request == Request;
    });
    this->Batch.erase(Request);
    this->StepPrefill.erase(Request);
    this->finish(Known->second, RunOutcome::Cancelled, Now);
  }
  return this->statusOf(Known->second);
}

Result<std::optional<StreamChunk>>
BatchEngine::pieceAfter(RequestId Request, std::uint32_t Sent) const {
  auto Known = this->Sequences.find(Request);
  if (Known == this->Sequences.end())
    return TargetError::UnknownStream;
  const GenerationRun &Run = this->Runs[Known->second.Run];
  std::uint32_t Generated = Run.Counted.GeneratedTokens;
  if (Sent > Generated)
    return TargetError::BadRequest;
  bool IsLast = Run.Outcome != RunOutcome::Running;
  if (Sent == Generated && !IsLast)
    return std::optional<StreamChunk>();
  StreamChunk Piece;
  Piece.Request = Request;
  Piece.FirstToken = Sent;
  Piece.Tokens = Generated - Sent;
  Piece.Text = tokensText(Request, Sent, Generated);
  Piece.IsLast = IsLast;
  Piece.Reason = reasonOf(Run.Outcome);
  Piece.Counted = Run.Counted;
  return std::optional<StreamChunk>(std::move(Piece));
}

void BatchEngine::advance(TimePoint Now) {
  while (this->StepEnd && *this->StepEnd <= Now) {
    TimePoint End = *this->StepEnd;
    this->finishStep(End);
    this->startStep(End);
  }
}

void BatchEngine::startStep(TimePoint Now) {
  this->StepEnd.reset();
  this->fillBatch(Now);
  if (this->Batch.empty())
    return;
  this->StepPrefill.clear();
  std::uint32_t PrefillRoom = this->Limits.PrefillTokensPerStep;
  std::uint32_t Decoding = 0;
  for (RequestId Request : this->Batch) {
    const Sequence &Running = this->Sequences.at(Request);
    if (Running.PrefillLeft == 0) {
      ++Decoding;
      continue;
    }
    std::uint32_t Share = std::min(PrefillRoom, Running.PrefillLeft);
    this->StepPrefill[Request] = Share;
    PrefillRoom -= Share;
  }
  std::uint32_t Prefilled = this->Limits.PrefillTokensPerStep - PrefillRoom;
  Duration Normal = this->Limits.StepBase +
                    Decoding * this->Limits.StepPerSequence +
                    Prefilled * this->Limits.PrefillPerToken;
  auto Actual = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, Duration::period>(Normal) *
      this->Faults.SlowFactor);
  this->StepEnd = Now + Actual;
}

void BatchEngine::fillBatch(TimePoint Now) {
  while (!this->Waiting.empty() &&
         this->Batch.size() < this->Limits.BatchLimit) {
    RequestId Request = this->Waiting.begin()->Request;
    this->Waiting.erase(this->Waiting.begin());
    this->Batch.insert(Request);
    Sequence &Admitted = this->Sequences.at(Request);
    auto Blocks = blocksOf(Admitted.Order.Model, Admitted.Order.Prompt);
    auto Held = static_cast<std::uint32_t>(this->Cache.use(Blocks));
    Usage &Counted = this->Runs[Admitted.Run].Counted;
    Counted.CachedPromptTokens =
        std::min(Counted.PromptTokens, Held * PrefixBlockTokens);
    Admitted.PrefillLeft = Counted.PromptTokens - Counted.CachedPromptTokens;
  }
  this->noteLoad(Now);
}

void BatchEngine::finishStep(TimePoint Now) {
  auto Members = this->Batch;
  for (RequestId Request : Members) {
    // A crash in the middle of the step has ended every sequence.
    if (this->Sequences.count(Request) > 0)
      this->advanceSequence(Request, Now);
  }
  this->noteLoad(Now);
}

void BatchEngine::advanceSequence(RequestId Request, TimePoint Now) {
  Sequence &Running = this->Sequences.at(Request);
  const std::string &Marker = this->Faults.CrashMarker;
  if (!Marker.empty() &&
      Running.Order.Prompt.find(Marker) != std::string::npos) {
    this->crash();
    return;
  }
  if (Running.PrefillLeft > 0) {
    Running.PrefillLeft -= this->StepPrefill[Request];
    if (Running.PrefillLeft > 0)
      return;
    this->Cache.store(blocksOf(Running.Order.Model, Running.Order.Prompt), Now);
  }
  Usage &Counted = this->Runs[Running.Run].Counted;
  ++Counted.GeneratedTokens;
  if (Counted.GeneratedTokens < Running.AnswerTokens)
    return;
  bool IsCutShort =
      Running.AnswerTokens < naturalAnswerTokens(Running.Order.Prompt);
  this->Batch.erase(Request);
  this->finish(Running, IsCutShort ? RunOutcome::Length : RunOutcome::Stop,
               Now);
}

void BatchEngine::finish(Sequence &Of, RunOutcome Outcome, TimePoint Now) {
  this->Runs[Of.Run].Outcome = Outcome;
  Of.FinishedAt = Now;
  this->FinishedStreams.emplace_back(Now, Of.Order.Request);
}

void BatchEngine::forgetOldStreams(TimePoint Now) {
  while (!this->FinishedStreams.empty() &&
         this->FinishedStreams.front().first + this->Limits.FinishedRetention <
             Now) {
    this->Sequences.erase(this->FinishedStreams.front().second);
    this->FinishedStreams.pop_front();
  }
}

EngineLoad BatchEngine::presentLoad() const {
  EngineLoad Load;
  Load.Engine = this->Limits.Name;
  Load.Running = static_cast<std::uint32_t>(this->Batch.size());
  Load.Waiting = static_cast<std::uint32_t>(this->Waiting.size());
  for (const QueuePlace &Place : this->Waiting)
    Load.WaitingPrefillTokens +=
        this->Runs[this->Sequences.at(Place.Request).Run].Counted.PromptTokens;
  std::chrono::duration<double> Step =
      this->Limits.StepBase +
      std::max(Load.Running, 1U) * this->Limits.StepPerSequence;
  std::chrono::duration<double> Prefill = this->Limits.PrefillPerToken;
  double Slow = this->Faults.SlowFactor;
  Load.DecodeTokensPerSecond =
      std::max(Load.Running, 1U) / (Step.count() * Slow);
  Load.PrefillTokensPerSecond = 1 / (Prefill.count() * Slow);
  Load.BatchLimit = this->Limits.BatchLimit;
  Load.LoadedModels.assign(this->Models.begin(), this->Models.end());
  Load.IsLeaving = this->Faults.IsLeaving;
  return Load;
}

void BatchEngine::noteLoad(TimePoint Now) {
  this->Loads.emplace_back(Now, this->presentLoad());
  TimePoint Visible = Now - this->Limits.LoadLag;
  while (this->Loads.size() > 1 && this->Loads[1].first <= Visible)
    this->Loads.pop_front();
}

EngineLoad BatchEngine::load(TimePoint Now) const {
  // Before the first request the engine idles, as it does now.
  EngineLoad Seen = this->Loads.empty() ? this->presentLoad()
                                        : this->Loads.front().second;
  TimePoint Visible = Now - this->Limits.LoadLag;
  for (const auto &[At, Load] : this->Loads)
    if (At <= Visible)
      Seen = Load;
  // What the engine knows of itself comes without a lag.
  Seen.LoadedModels.assign(this->Models.begin(), this->Models.end());
  Seen.IsLeaving = this->Faults.IsLeaving;
  return Seen;
}

Result<void> BatchEngine::orderModel(const std::string &Model, bool IsLoaded,
                                     std::uint64_t FencingNumber) {
  if (this->Limits.ChecksFence && FencingNumber < this->HighestFence)
    return TargetError::FencedOff;
  this->HighestFence = std::max(this->HighestFence, FencingNumber);
  if (IsLoaded)
    this->Models.insert(Model);
  else
    this->Models.erase(Model);
  return success();
}

std::vector<PrefixHash> BatchEngine::exportCache(const std::string &Model,
                                                 const std::string &Prompt) {
  auto Blocks = blocksOf(Model, Prompt);
  Blocks.resize(this->Cache.use(Blocks));
  return Blocks;
}

void BatchEngine::importCache(std::span<const PrefixHash> Blocks,
                              TimePoint Now) {
  this->Cache.store(Blocks, Now);
}

void BatchEngine::crash() {
  for (GenerationRun &Run : this->Runs)
    if (Run.Outcome == RunOutcome::Running)
      Run.Outcome = RunOutcome::Crashed;
  this->Sequences.clear();
  this->Waiting.clear();
  this->Batch.clear();
  this->StepPrefill.clear();
  this->FinishedStreams.clear();
  this->Loads.clear();
  this->StepEnd.reset();
  this->Cache.clear();
  this->HasCrashed = true;
}

} // namespace bergamothook
