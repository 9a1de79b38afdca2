#include "LibStandin/RecordedEngine.h"

#include "LibStandin/TokenText.h"
#include "LibTarget/PrefixBlocks.h"

#include <algorithm>

namespace bergamothook {

namespace {

/// Ended streams whose output stays readable.
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

Result<void> RecordedEngine::open(const GenerationRequest &Generation,
                                  TimePoint Now) {
  this->advance(Now);
  if (Generation.MaxTokens == 0 ||
      Generation.ResumeAfterTokens > Generation.MaxTokens)
    return TargetError::BadRequest;
  bool CanAttach = this->canAttach(Generation.Request);
  if (Generation.MustResume && !CanAttach)
    return TargetError::UnknownStream;
  BOOST_OUTCOME_TRY(this->Model.submit(this->modelRequestOf(Generation), Now));
  if (CanAttach)
    ++this->runOf(Generation.Request)->Opens;
  else
    this->recordRun(Generation);
  this->recordEvents();
  return success();
}

EngineModelRequest
RecordedEngine::modelRequestOf(const GenerationRequest &Generation) const {
  EngineModelRequest Request;
  Request.Request = Generation.Request;
  Request.Attempt = Generation.Attempt;
  Request.Model = Generation.Model;
  Request.Blocks = prefixBlocksOf(Generation.Prompt, hash64(Generation.Model));
  Request.PromptTokens = countPromptTokens(Generation.Prompt);
  Request.ResponseTokens = naturalResponseTokens(Generation.Prompt);
  Request.MaxTokens = Generation.MaxTokens;
  Request.Priority = Generation.Priority;
  Request.ResumeAfterTokens = Generation.ResumeAfterTokens;
  Request.CrashesEngine =
      !this->CrashMarker.empty() &&
      Generation.Prompt.find(this->CrashMarker) != std::string::npos;
  return Request;
}

bool RecordedEngine::canAttach(RequestId Request) const {
  auto Found = this->LatestRun.find(Request);
  if (Found == this->LatestRun.end() || !this->Model.probe(Request))
    return false;
  // The model restarts a cancelled generation from the beginning.
  return this->Runs[Found->second].Outcome != RunOutcome::Cancelled;
}

void RecordedEngine::recordRun(const GenerationRequest &Generation) {
  GenerationRun Run;
  Run.Request = Generation.Request;
  Run.Attempt = Generation.Attempt;
  Run.Counted.PromptTokens = countPromptTokens(Generation.Prompt);
  Run.FirstToken = Generation.ResumeAfterTokens;
  Run.Counted.GeneratedTokens = Generation.ResumeAfterTokens;
  this->LatestRun[Generation.Request] = this->Runs.size();
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
  BOOST_OUTCOME_TRY(Exported, this->Model.exportKv(Request, Now));
  if (GenerationRun *Run = this->runOf(Request))
    Run->Outcome = RunOutcome::Moved;
  return Exported;
}

Result<std::optional<StreamChunk>>
RecordedEngine::chunkAfter(RequestId Request, std::uint32_t Sent) const {
  auto Found = this->LatestRun.find(Request);
  if (Found == this->LatestRun.end())
    return TargetError::UnknownStream;
  const GenerationRun &Run = this->Runs[Found->second];
  if (Run.Outcome == RunOutcome::Crashed || Run.Outcome == RunOutcome::Moved)
    return TargetError::UnknownStream;
  std::uint32_t Generated = Run.Counted.GeneratedTokens;
  bool IsLast = Run.Outcome != RunOutcome::Running;
  if (Sent >= Generated && !IsLast)
    return std::optional<StreamChunk>();
  StreamChunk Chunk;
  Chunk.Request = Request;
  Chunk.FirstToken = Sent;
  Chunk.Tokens = Generated - std::min(Sent, Generated);
  Chunk.Text = tokensText(Request, Sent, Generated);
  Chunk.IsLast = IsLast;
  Chunk.Reason = reasonOf(Run.Outcome);
  Chunk.Counted = Run.Counted;
  return std::optional<StreamChunk>(std::move(Chunk));
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
  this->EndedRequests.push_back(Event.Request);
  this->dropOldestEnded();
}

GenerationRun *RecordedEngine::runOf(RequestId Request) {
  auto Found = this->LatestRun.find(Request);
  return Found == this->LatestRun.end() ? nullptr : &this->Runs[Found->second];
}

void RecordedEngine::dropOldestEnded() {
  if (this->EndedRequests.size() <= MaxEndedStreams)
    return;
  RequestId Oldest = this->EndedRequests.front();
  this->EndedRequests.pop_front();
  GenerationRun *Run = this->runOf(Oldest);
  if (Run && Run->Outcome != RunOutcome::Running)
    this->LatestRun.erase(Oldest);
}

} // namespace bergamothook
