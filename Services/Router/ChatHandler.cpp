#include "ChatHandler.h"

#include "HandlerHelpers.h"
#include "LibObserve/StructuredLog.h"
#include "ProblemMapping.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

/// Assumed number of prompt bytes per token, for estimates.
constexpr std::uint32_t BytesPerTokenEstimate = 4;

ApiProblem problem(ApiFailure Failure, std::string Detail = "") {
  return {Failure, std::move(Detail), std::nullopt};
}

const char *finishReasonName(FinishReason Reason) {
  return Reason == FinishReason::Length ? "length" : "stop";
}

ChatUsage usageOf(const Usage &Billed) {
  return {Billed.PromptTokens, Billed.CachedPromptTokens,
          Billed.GeneratedTokens};
}

std::uint32_t promptEstimate(const ChatRequest &Chat) {
  return static_cast<std::uint32_t>(Chat.Prompt.size()) /
             BytesPerTokenEstimate +
         1;
}

} // namespace

ChatHandler::ChatHandler(ChatHandlerSettings Settings,
                         ChatHandlerDependencies Dependencies,
                         std::uint64_t Seed)
    : Settings(Settings), Dependencies(std::move(Dependencies)), Rng(Seed) {}

RequestId ChatHandler::requestIdFor(TeamId Team, const HttpRequest &Request) {
  std::string Key = Request.header("idempotency-key");
  return Key.empty() ? this->Rng.next128() : requestIdOf(Team, Key);
}

ApiResult<ChatHandler::Job> ChatHandler::createJob(const ConfigSnapshot &Config,
                                                   const HttpRequest &Request) {
  const EffectiveTeam *Team = teamOf(Config, Request);
  if (!Team)
    return problem(ApiFailure::Unauthenticated);
  BOOST_OUTCOME_TRY(Chat, parseChatRequest(Request.Body));
  ModelId Model = idOfName<ModelId>(Chat.Model);
  if (!Team->allowsModel(Model))
    return problem(ApiFailure::NotAllowed,
                   "the team may not use the model " + Chat.Model);

  Job NewJob;
  NewJob.Team = Team;
  NewJob.Account = idOfName<TeamId>(Team->Budget.Account);
  NewJob.Chat = std::move(Chat);
  NewJob.ArrivedAt = this->Dependencies.Tasks.Now();
  BOOST_OUTCOME_TRYV(this->applyLimits(NewJob, NewJob.ArrivedAt));
  NewJob.HasIdempotencyKey = !Request.header("idempotency-key").empty();
  NewJob.Stream.Request = this->requestIdFor(Team->Team, Request);
  NewJob.Stream.Team = Team->Team;
  NewJob.Stream.Content = hash128(NewJob.Chat.Prompt, Model.Value);
  NewJob.Stream.Model = NewJob.Chat.Model;
  NewJob.Stream.Prompt = NewJob.Chat.Prompt;
  NewJob.Prefix = prefixBlocksOf(NewJob.Chat.Prompt, Model.Value);
  NewJob.Envelope.Id = "chatcmpl-" + toHex(NewJob.Stream.Request);
  NewJob.Envelope.Model = NewJob.Chat.Model;
  NewJob.Envelope.CreatedSeconds =
      readWallClock().time_since_epoch().count() / 1000;
  return NewJob;
}

ApiResult<void> ChatHandler::applyLimits(Job &Current, TimePoint Now) const {
  const EffectiveTeam &Team = *Current.Team;
  if (!Current.Chat.WorkClass.empty()) {
    auto Requested = workClassOfName(Current.Chat.WorkClass);
    if (!Requested || *Requested == WorkClass::Order)
      return problem(ApiFailure::UnsupportedRequest,
                     "the work class must be \"quick\" or \"draft\"");
    Current.Class = *Requested;
  }
  const ClassSettings &Rules = Team.classSettings(Current.Class);
  std::uint32_t MaxTokens =
      Rules.MaxTokens > 0 ? Rules.MaxTokens : this->Settings.DefaultMaxTokens;
  if (Team.MaxTokensPerRequest > 0)
    MaxTokens = std::min(MaxTokens, Team.MaxTokensPerRequest);
  if (Current.Chat.MaxTokens > MaxTokens)
    return problem(ApiFailure::RequestTooCostly,
                   "max_tokens must be at most " + std::to_string(MaxTokens));
  StreamRequest &Stream = Current.Stream;
  Stream.MaxTokens =
      Current.Chat.MaxTokens > 0 ? Current.Chat.MaxTokens : MaxTokens;
  Stream.PromptTokens =
      static_cast<std::uint32_t>(Current.Chat.promptTokenBound());
  Stream.Priority = Team.Priority + Rules.PriorityOffset;
  Stream.Deadline = Now + Rules.Deadline;
  Stream.MayRepeat = Rules.IsRepeatable;
  Stream.MayHedge = Rules.MayHedge;
  return success();
}

ApiResult<void> ChatHandler::admit(Job &Current, const HttpReply &Reply) {
  AdmissionRequest QueueEntry;
  QueueEntry.Request = Current.Stream.Request;
  QueueEntry.Team = Current.Stream.Team;
  QueueEntry.Weight = std::max(1U, Current.Team->Weight);
  QueueEntry.Priority = Current.Stream.Priority;
  QueueEntry.Class = Current.Class;
  QueueEntry.Cost = promptEstimate(Current.Chat) + Current.Stream.MaxTokens;
  QueueEntry.Deadline =
      Current.Stream.Deadline - this->Settings.FirstTokenTarget;
  auto Admitted = this->Dependencies.Admissions.waitForAdmission(
      idOfName<ModelId>(Current.Chat.Model), QueueEntry,
      [&Reply] { return Reply.isClientDisconnected(); });
  this->Dependencies.Stats.observe("admission_wait_seconds",
                                   this->Dependencies.Tasks.Now() -
                                       Current.ArrivedAt);
  if (!Admitted)
    return problemOf(Outcome::NotRun, Admitted.error().Reason,
                     Admitted.error().RetryAfter);
  Current.Admitted = Admitted.value();
  return success();
}

Result<StreamTarget>
ChatHandler::chooseTarget(Job &Current, const std::vector<TargetId> &Excluded,
                          TimePoint Now) {
  // Prefer the engine of an earlier attempt, even while it is leaving: resuming
  // its stream adds no new work.
  if (Current.PreviousTarget) {
    TargetId Previous = *Current.PreviousTarget;
    Current.PreviousTarget.reset();
    bool IsUsable = this->Dependencies.Monitor.find(Previous) &&
                    std::ranges::find(Excluded, Previous) == Excluded.end();
    if (IsUsable)
      return StreamTarget{Previous,
                          this->Dependencies.Monitor.addressOf(Previous)};
  }
  RequestFeatures Features;
  Features.Request = Current.Stream.Request;
  Features.Model = idOfName<ModelId>(Current.Chat.Model);
  Features.Class = Current.Class;
  Features.Priority = Current.Stream.Priority;
  Features.PromptTokens = promptEstimate(Current.Chat);
  Features.ExpectedTokens = Current.Stream.MaxTokens;
  Features.Prefix = Current.Prefix;
  std::vector<TargetId> ExcludedTargets = Excluded;
  for (TargetId SuspectTarget :
       this->Dependencies.Suspects.targetsToAvoid(Current.Stream.Content, Now))
    ExcludedTargets.push_back(SuspectTarget);
  Features.Excluded = ExcludedTargets;
  Features.Domain = this->Settings.Domain;
  BOOST_OUTCOME_TRY(Selected, this->Dependencies.Chooser.choose(Features, Now));
  ++Current.Attempts;
  this->Dependencies.Explanations.add(
      {Current.Stream.Request, AttemptNumber{Current.Attempts}, Now, Selected});
  Current.LastChoice = Selected;
  return StreamTarget{Selected.Target,
                      this->Dependencies.Monitor.addressOf(Selected.Target)};
}

Result<void> ChatHandler::reserve(Job &Current, TimePoint Now) {
  TokenCount WorstCase = static_cast<TokenCount>(Current.Stream.PromptTokens) +
                         Current.Stream.MaxTokens;
  TimePoint ReserveDeadline =
      std::min(Current.Stream.Deadline, Now + this->Settings.ReserveTimeout);
  auto Reserved = this->Dependencies.Budgets.reserve(
      Current.Account, Current.Stream.Request, WorstCase, ReserveDeadline);
  this->Dependencies.Stats.observe("reservation_wait_seconds",
                                   this->Dependencies.Tasks.Now() - Now);
  if (!Reserved)
    return Reserved.error();
  Current.Reservation = Reserved.value();
  return success();
}

void ChatHandler::startAttempt(Job &Current, TargetId Target) {
  TimePoint Now = this->Dependencies.Tasks.Now();
  TrackedAttempt Tracked;
  Tracked.PrefillTokens = Current.LastChoice.PrefillTokens;
  Tracked.SentAt = Now;
  Tracked.ExpectedFirstToken = Current.LastChoice.FirstToken;
  Tracked.ExpectedPrefill =
      Current.LastChoice.FirstToken - Current.LastChoice.Queue;
  Current.InFlight[Target] = Tracked;
  this->Dependencies.Targets.dispatched(Target, Tracked.PrefillTokens, Now);
  this->Dependencies.Admissions.markSent(Current.Admitted);
  if (Current.HasIdempotencyKey)
    this->Dependencies.Peers.recordLocation(Current.Stream.Request, Target);
}

void ChatHandler::endAttempt(Job &Current, TargetId Target) {
  auto Entry = Current.InFlight.find(Target);
  if (Entry == Current.InFlight.end())
    return;
  this->Dependencies.Targets.finished(Target, Entry->second.PrefillTokens,
                                      Entry->second.HasFirstToken,
                                      this->Dependencies.Tasks.Now());
  Current.InFlight.erase(Entry);
}

void ChatHandler::reportAttempt(TargetId Target, std::error_code Failure,
                                TimePoint Now) {
  auto SlotIndex = this->Dependencies.Targets.slotOf(Target);
  if (!SlotIndex)
    return;
  if (!Failure) {
    this->Dependencies.Outliers.succeeded(SlotIndex.value());
    return;
  }
  if (Failure == TargetError::ConnectFailed)
    this->Dependencies.Outliers.unreachable(SlotIndex.value(), Now);
  else
    this->Dependencies.Outliers.failed(SlotIndex.value(), Now);
  const Member *Entry = this->Dependencies.Monitor.find(Target);
  logEvent(LogLevel::Warning, "attempt_failed",
           {{"target", Entry ? Entry->Name : toHex(Target.Value)},
            {"reason", Failure.message()}});
}

void ChatHandler::recordFirstToken(Job &Current) {
  TimePoint Now = this->Dependencies.Tasks.Now();
  for (auto &[Target, Tracked] : Current.InFlight) {
    if (Tracked.HasFirstToken)
      continue;
    Tracked.HasFirstToken = true;
    this->Dependencies.Targets.firstToken(Target, Tracked.PrefillTokens, Now);
    Duration Waited = Now - Tracked.SentAt - Tracked.ExpectedPrefill;
    this->Dependencies.Admissions.recordFirstToken(
        Current.Admitted, std::max(Duration::zero(), Waited));
    auto SlotIndex = this->Dependencies.Targets.slotOf(Target);
    if (SlotIndex)
      this->Dependencies.Outliers.observe(SlotIndex.value(),
                                          Tracked.ExpectedFirstToken,
                                          Now - Tracked.SentAt, Now);
  }
}

bool ChatHandler::emitChunk(Job &Current, HttpReply &Reply,
                            const StreamChunk &Chunk) {
  bool IsFirst = !Current.HasStarted;
  this->recordFirstToken(Current);
  if (IsFirst)
    this->Dependencies.Stats.observe("first_token_seconds",
                                     this->Dependencies.Tasks.Now() -
                                         Current.ArrivedAt);
  Current.HasStarted = true;
  if (!Current.Chat.IsStreamed) {
    Current.Text += Chunk.Text;
    return !Reply.isClientDisconnected();
  }
  if (IsFirst)
    Reply.beginStream(200, "text/event-stream",
                      {{"cache-control", "no-cache"}});
  if (Chunk.Text.empty())
    return !Reply.isClientDisconnected();
  return Reply.write(Current.Envelope.textEvent(Chunk.Text, IsFirst));
}

StreamHooks ChatHandler::makeHooks(Job &Current, HttpReply &Reply) {
  StreamHooks Hooks;
  Hooks.Tasks = this->Dependencies.Tasks;
  Hooks.Engine = this->Dependencies.Engines;
  Hooks.ChooseTarget = [this, &Current](const StreamRequest &,
                                        const std::vector<TargetId> &Excluded,
                                        TimePoint Now) {
    return this->chooseTarget(Current, Excluded, Now);
  };
  Hooks.Reserve = [this, &Current](const StreamRequest &, TimePoint Now) {
    return this->reserve(Current, Now);
  };
  Hooks.Settle = [this, &Current](const StreamRequest &, const Usage &Billed) {
    TokenCount Tokens =
        static_cast<TokenCount>(Billed.PromptTokens) + Billed.GeneratedTokens;
    if (Tokens == 0)
      this->Dependencies.Budgets.release(Current.Reservation);
    else
      this->Dependencies.Budgets.settle(Current.Reservation, Tokens);
  };
  Hooks.Report = [this](TargetId Target, std::error_code Failure,
                        TimePoint Now) {
    this->reportAttempt(Target, Failure, Now);
  };
  Hooks.Emit = [this, &Current, &Reply](const StreamChunk &Chunk) {
    return this->emitChunk(Current, Reply, Chunk);
  };
  Hooks.MayRetry = [this](TimePoint) {
    return this->Dependencies.Retries.tryRetry();
  };
  this->setSuspectHooks(Current, Hooks);
  return Hooks;
}

void ChatHandler::setSuspectHooks(Job &Current, StreamHooks &Hooks) {
  SuspectService &Suspects = this->Dependencies.Suspects;
  Hooks.Admit = [&Suspects](Hash128 Content, TimePoint Now) {
    return Suspects.admit(Content, Now);
  };
  Hooks.Started = [this, &Current, &Suspects](Hash128 Content,
                                              TargetId Target) {
    Suspects.started(Content, Target);
    this->startAttempt(Current, Target);
  };
  Hooks.Ended = [this, &Current, &Suspects](Hash128 Content, TargetId Target) {
    Suspects.ended(Content, Target);
    this->endAttempt(Current, Target);
  };
  Hooks.Crashed = [&Suspects](Hash128 Content, TargetId Target, TimePoint Now) {
    Suspects.crashed(Content, Target, Now);
  };
  Hooks.Cleared = [&Suspects](Hash128 Content) { Suspects.cleared(Content); };
}

void ChatHandler::handle(const ConfigSnapshot &Config,
                         const HttpRequest &Request, HttpReply Reply) {
  auto Accepted = this->createJob(Config, Request);
  if (!Accepted)
    return sendProblem(Reply, Accepted.error());
  Job &Current = Accepted.value();
  ++this->Active;
  auto Admitted = this->admit(Current, Reply);
  if (!Admitted) {
    --this->Active;
    this->Dependencies.Stats.count("requests_total{outcome=\"not run\"}");
    return sendProblem(Reply, Admitted.error());
  }
  this->Dependencies.Retries.firstAttempt();
  if (Current.HasIdempotencyKey)
    Current.PreviousTarget =
        this->Dependencies.Peers.locate(Current.Stream.Request);
  StreamOutcome StreamResult = runStream(
      Current.Stream, this->makeHooks(Current, Reply), this->Settings.Stream);
  if (StreamResult.Reason == LedgerError::AlreadyBilled)
    StreamResult = this->replay(Current, Reply);
  this->Dependencies.Admissions.finish(Current.Admitted);
  this->sendResult(Current, Reply, StreamResult);
  this->recordStats(Current, StreamResult);
  --this->Active;
}

void ChatHandler::sendResult(Job &Current, HttpReply &Reply,
                             const StreamOutcome &StreamResult) {
  if (StreamResult.Verdict != Outcome::Done || StreamResult.Reason) {
    ApiProblem Problem = problemOf(StreamResult.Verdict, StreamResult.Reason,
                                   StreamResult.RetryAfter);
    bool HasStreamStarted = Current.HasStarted && Current.Chat.IsStreamed;
    if (!HasStreamStarted)
      return sendProblem(Reply, Problem);
    Reply.write(ChatResponse::problemEvent(Problem));
    return Reply.abort();
  }
  const char *Reason = finishReasonName(StreamResult.Finish);
  ChatUsage Billed = usageOf(StreamResult.Billed);
  if (!Current.Chat.IsStreamed) {
    Reply.sendResponse(
        200, "application/json",
        Current.Envelope.completionBody(Current.Text, Reason, Billed));
    return;
  }
  if (!Current.HasStarted)
    Reply.beginStream(200, "text/event-stream",
                      {{"cache-control", "no-cache"}});
  Reply.write(Current.Envelope.finishEvent(Reason));
  if (Current.Chat.IncludesUsage)
    Reply.write(Current.Envelope.usageEvent(Billed));
  Reply.write(ChatResponse::doneEvent());
  Reply.end();
}

void ChatHandler::recordStats(const Job &Current,
                              const StreamOutcome &StreamResult) {
  Metrics &Stats = this->Dependencies.Stats;
  Stats.count(std::string("requests_total{outcome=\"") +
              nameOf(StreamResult.Verdict) + "\"}");
  Stats.count("attempts_total", StreamResult.Attempts);
  Stats.count("resumes_total", StreamResult.Resumes);
  Stats.count("dropped_chunks_total", StreamResult.DroppedChunks);
  Stats.count("billed_tokens_total",
              static_cast<double>(StreamResult.Billed.PromptTokens +
                                  StreamResult.Billed.GeneratedTokens));
  Duration Elapsed = this->Dependencies.Tasks.Now() - Current.ArrivedAt;
  Stats.observe("request_seconds", Elapsed);
  logEvent(
      LogLevel::Info, "chat_ended",
      {{"request", toHex(Current.Stream.Request)},
       {"team", Current.Team->Name},
       {"outcome", nameOf(StreamResult.Verdict)},
       {"reason", StreamResult.Reason ? StreamResult.Reason.message() : ""},
       {"attempts", StreamResult.Attempts},
       {"tokens",
        StreamResult.Billed.PromptTokens + StreamResult.Billed.GeneratedTokens},
       {"ms", std::chrono::duration<double, std::milli>(Elapsed).count()}});
}

} // namespace bergamothook
