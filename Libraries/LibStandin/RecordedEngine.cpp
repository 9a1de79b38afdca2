#include "LibStandin/RecordedEngine.h"

#include "LibStandin/TokenText.h"
#include "LibTarget/PrefixBlocks.h"

#include <algorithm>

namespace bergamothook {

namespace {

/// Ended streams that can still be read by the token.
constexpr std::size_t MaxEndedStreams = 4096;

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

RunOutcome outcomeOf(FinishReason Reason) {
  switch (Reason) {
  case FinishReason::Length:
    return RunOutcome::Length;
  case FinishReason::Cancelled:
    return RunOutcome::Cancelled;
  case FinishReason::Stop:
    break;
  }
  return RunOutcome::Stop;
}

} // namespace

RecordedEngine::RecordedEngine(EngineModelSettings Settings, std::uint64_t Seed)
    : Model(std::move(Settings), Seed) {}

Result<void> RecordedEngine::open(const GenerationRequest &Order,
                                  TimePoint Now) {
  this->advance(Now);
  if (Order.MaxTokens == 0 || Order.ResumeAfterTokens > Order.MaxTokens)
    return TargetError::BadRequest;
  bool Joins = this->joins(Order.Request);
  if (Order.MustResume && !Joins)
    return TargetError::UnknownStream;
  BOOST_OUTCOME_TRY(this->Model.submit(this->modelRequestOf(Order), Now));
  if (Joins)
    ++this->runOf(Order.Request)->Opens;
  else
    this->recordRun(Order);
  this->recordEvents();
  return success();
}

EngineModelRequest
RecordedEngine::modelRequestOf(const GenerationRequest &Order) const {
  EngineModelRequest Request;
  Request.Request = Order.Request;
  Request.Attempt = Order.Attempt;
  Request.Model = Order.Model;
  Request.Blocks = prefixBlocksOf(Order.Prompt, hash64(Order.Model));
  Request.PromptTokens = countPromptTokens(Order.Prompt);
  Request.ResponseTokens = naturalResponseTokens(Order.Prompt);
  Request.MaxTokens = Order.MaxTokens;
  Request.Priority = Order.Priority;
  Request.ResumeAfterTokens = Order.ResumeAfterTokens;
  Request.CrashesEngine =
      !this->CrashMarker.empty() &&
      Order.Prompt.find(this->CrashMarker) != std::string::npos;
  return Request;
}

bool RecordedEngine::joins(RequestId Request) const {
  auto Known = this->Latest.find(Request);
  if (Known == this->Latest.end() || !this->Model.probe(Request))
    return false;
  // The model starts anew what was cancelled before.
  return this->Runs[Known->second].Outcome != RunOutcome::Cancelled;
}

void RecordedEngine::recordRun(const GenerationRequest &Order) {
  GenerationRun Run;
  Run.Request = Order.Request;
  Run.Attempt = Order.Attempt;
  Run.Counted.PromptTokens = countPromptTokens(Order.Prompt);
  Run.FirstToken = Order.ResumeAfterTokens;
  Run.Counted.GeneratedTokens = Order.ResumeAfterTokens;
  this->Latest[Order.Request] = this->Runs.size();
  this->Runs.push_back(Run);
}

Result<StreamStatus> RecordedEngine::cancel(RequestId Request, TimePoint Now) {
  this->advance(Now);
  auto Status = this->Model.cancel(Request, Now);
  this->recordEvents();
  return Status;
}

Result<KvCache> RecordedEngine::exportKv(RequestId Request, TimePoint Now) {
  this->advance(Now);
  BOOST_OUTCOME_TRY(Moved, this->Model.exportKv(Request, Now));
  if (GenerationRun *Run = this->runOf(Request))
    Run->Outcome = RunOutcome::Moved;
  return Moved;
}

Result<std::optional<StreamChunk>>
RecordedEngine::pieceAfter(RequestId Request, std::uint32_t Sent) const {
  auto Known = this->Latest.find(Request);
  if (Known == this->Latest.end())
    return TargetError::UnknownStream;
  const GenerationRun &Run = this->Runs[Known->second];
  if (Run.Outcome == RunOutcome::Crashed || Run.Outcome == RunOutcome::Moved)
    return TargetError::UnknownStream;
  std::uint32_t Generated = Run.Counted.GeneratedTokens;
  bool IsLast = Run.Outcome != RunOutcome::Running;
  if (Sent >= Generated && !IsLast)
    return std::optional<StreamChunk>();
  StreamChunk Piece;
  Piece.Request = Request;
  Piece.FirstToken = Sent;
  Piece.Tokens = Generated - std::min(Sent, Generated);
  Piece.Text = tokensText(Request, Sent, Generated);
  Piece.IsLast = IsLast;
  Piece.Reason = reasonOf(Run.Outcome);
  Piece.Counted = Run.Counted;
  return std::optional<StreamChunk>(std::move(Piece));
}

void RecordedEngine::advance(TimePoint Now) {
  this->Model.advance(Now);
  this->recordEvents();
}

void RecordedEngine::crash(TimePoint Now) {
  this->Model.crash(Now);
  this->recordEvents();
}

void RecordedEngine::recordEvents() {
  for (const EngineModelEvent &Event : this->Model.takeEvents())
    this->record(Event);
}

void RecordedEngine::record(const EngineModelEvent &Event) {
  GenerationRun *Run = this->runOf(Event.Request);
  if (!Run || Run->Outcome != RunOutcome::Running)
    return;
  std::uint32_t &Generated = Run->Counted.GeneratedTokens;
  switch (Event.Kind) {
  case EngineModelEventKind::Tokens:
    Generated = std::max(Generated, Event.FirstToken + Event.Tokens);
    return;
  case EngineModelEventKind::Finished:
    Run->Counted = Event.Counted;
    Run->Outcome = outcomeOf(Event.Reason);
    break;
  case EngineModelEventKind::Crashed:
    Run->Outcome = RunOutcome::Crashed;
    break;
  }
  this->Ended.push_back(Event.Request);
  this->forgetOldest();
}

GenerationRun *RecordedEngine::runOf(RequestId Request) {
  auto Known = this->Latest.find(Request);
  return Known == this->Latest.end() ? nullptr : &this->Runs[Known->second];
}

void RecordedEngine::forgetOldest() {
  if (this->Ended.size() <= MaxEndedStreams)
    return;
  RequestId Oldest = this->Ended.front();
  this->Ended.pop_front();
  GenerationRun *Run = this->runOf(Oldest);
  if (Run && Run->Outcome != RunOutcome::Running)
    this->Latest.erase(Oldest);
}

} // namespace bergamothook
