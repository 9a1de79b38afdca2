#include "ChatHandler.h"

#include "HandlerHelpers.h"
#include "LibObserve/StructuredLog.h"
#include "ProblemMapping.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

/// Prompt bytes that stand for one token where only an estimate is needed.
constexpr std::uint32_t BytesPerTokenEstimate = 4;

ApiProblem problem(ApiFailure Failure, std::string Detail = "") {
  return {Failure, std::move(Detail), std::nullopt};
}

const char *finishReasonName(FinishReason Reason) {
  return Reason == FinishReason::Length ? "length" : "stop";
}

ChatUsage usageOf(const Usage &Counted) {
  return {Counted.PromptTokens, Counted.CachedPromptTokens,
          Counted.GeneratedTokens};
}

std::uint32_t promptEstimate(const ChatRequest &Asked) {
  return static_cast<std::uint32_t>(Asked.Prompt.size()) /
             BytesPerTokenEstimate +
         1;
}

} // namespace

ChatHandler::ChatHandler(ChatHandlerSettings Settings,
                         ChatHandlerDependencies Parts, std::uint64_t Seed)
    : Settings(Settings), Parts(std::move(Parts)), Dice(Seed) {}

RequestId ChatHandler::requestIdFor(TeamId Team, const HttpRequest &Request) {
  std::string Key = Request.header("idempotency-key");
  return Key.empty() ? this->Dice.next128() : requestIdOf(Team, Key);
}

ApiResult<ChatHandler::Job> ChatHandler::accept(const ConfigSnapshot &Config,
                                                const HttpRequest &Request) {
  const EffectiveTeam *Team = teamOf(Config, Request);
  if (!Team)
    return problem(ApiFailure::Unauthenticated);
  BOOST_OUTCOME_TRY(Asked, parseChatRequest(Request.Body));
  ModelId Model = idOfName<ModelId>(Asked.Model);
  if (!Team->allowsModel(Model))
    return problem(ApiFailure::NotAllowed,
                   "the team may not use the model " + Asked.Model);

  Job Made;
  Made.Team = Team;
  Made.Account = idOfName<TeamId>(Team->Budget.Account);
  Made.Asked = std::move(Asked);
  Made.Arrived = this->Parts.Tasks.Now();
  BOOST_OUTCOME_TRYV(this->applyLimits(Made, Made.Arrived));
  Made.IsKeyed = !Request.header("idempotency-key").empty();
  Made.Stream.Request = this->requestIdFor(Team->Team, Request);
  Made.Stream.Team = Team->Team;
  Made.Stream.Content = hash128(Made.Asked.Prompt, Model.Value);
  Made.Stream.Model = Made.Asked.Model;
  Made.Stream.Prompt = Made.Asked.Prompt;
  Made.Prefix = prefixBlocksOf(Made.Asked.Prompt, Model.Value);
  Made.Frame.Id = "chatcmpl-" + toHex(Made.Stream.Request);
  Made.Frame.Model = Made.Asked.Model;
  Made.Frame.CreatedSeconds = readWallClock().time_since_epoch().count() / 1000;
  return Made;
}

ApiResult<void> ChatHandler::applyLimits(Job &Asked, TimePoint Now) const {
  const EffectiveTeam &Team = *Asked.Team;
  if (!Asked.Asked.WorkClass.empty()) {
    auto Named = workClassOfName(Asked.Asked.WorkClass);
    if (!Named || *Named == WorkClass::Order)
      return problem(ApiFailure::UnsupportedRequest,
                     "the work class must be \"quick\" or \"draft\"");
    Asked.Class = *Named;
  }
  const ClassSettings &Rules = Team.classSettings(Asked.Class);
  std::uint32_t Most =
      Rules.MaxTokens > 0 ? Rules.MaxTokens : this->Settings.DefaultMaxTokens;
  if (Team.MaxTokensPerRequest > 0)
    Most = std::min(Most, Team.MaxTokensPerRequest);
  if (Asked.Asked.MaxTokens > Most)
    return problem(ApiFailure::RequestTooCostly,
                   "max_tokens must be at most " + std::to_string(Most));
  StreamRequest &Stream = Asked.Stream;
  Stream.MaxTokens = Asked.Asked.MaxTokens > 0 ? Asked.Asked.MaxTokens : Most;
  Stream.PromptTokens =
      static_cast<std::uint32_t>(Asked.Asked.promptTokenBound());
  Stream.Priority = Team.Priority + Rules.PriorityOffset;
  Stream.Deadline = Now + Rules.Deadline;
  Stream.MayRepeat = Rules.IsRepeatable;
  Stream.MayHedge = Rules.MayHedge;
  return success();
}

ApiResult<void> ChatHandler::admit(Job &Asked, const HttpReply &Reply) {
  AdmissionRequest Place;
  Place.Request = Asked.Stream.Request;
  Place.Team = Asked.Stream.Team;
  Place.Weight = std::max(1U, Asked.Team->Weight);
  Place.Priority = Asked.Stream.Priority;
  Place.Class = Asked.Class;
  Place.Cost = promptEstimate(Asked.Asked) + Asked.Stream.MaxTokens;
  Place.Deadline = Asked.Stream.Deadline - this->Settings.FirstTokenTarget;
  auto Admitted = this->Parts.Admissions.waitForPlace(
      idOfName<ModelId>(Asked.Asked.Model), Place,
      [&Reply] { return Reply.isCallerGone(); });
  this->Parts.Measured.observe("admission_wait_seconds",
                               this->Parts.Tasks.Now() - Asked.Arrived);
  if (!Admitted)
    return problemOf(Outcome::NotRun, Admitted.error().Reason,
                     Admitted.error().RetryAfter);
  Asked.Admitted = Admitted.value();
  return success();
}

Result<StreamTarget>
ChatHandler::chooseTarget(Job &Asked, const std::vector<TargetId> &Excluded,
                          TimePoint Now) {
  // The engine of an earlier attempt goes on with its stream, also while it is
  // leaving: that is no new work.
  if (Asked.Earlier) {
    TargetId Earlier = *Asked.Earlier;
    Asked.Earlier.reset();
    bool IsUsable = this->Parts.Watch.find(Earlier) &&
                    std::ranges::find(Excluded, Earlier) == Excluded.end();
    if (IsUsable)
      return StreamTarget{Earlier, this->Parts.Watch.addressOf(Earlier)};
  }
  RequestFeatures Features;
  Features.Request = Asked.Stream.Request;
  Features.Model = idOfName<ModelId>(Asked.Asked.Model);
  Features.Class = Asked.Class;
  Features.Priority = Asked.Stream.Priority;
  Features.PromptTokens = promptEstimate(Asked.Asked);
  Features.ExpectedTokens = Asked.Stream.MaxTokens;
  Features.Prefix = Asked.Prefix;
  std::vector<TargetId> Avoided = Excluded;
  for (TargetId Risky :
       this->Parts.Suspects.targetsToAvoid(Asked.Stream.Content, Now))
    Avoided.push_back(Risky);
  Features.Excluded = Avoided;
  Features.Domain = this->Settings.Domain;
  BOOST_OUTCOME_TRY(Made, this->Parts.Chooser.choose(Features, Now));
  ++Asked.Attempts;
  this->Parts.Explanations.add(
      {Asked.Stream.Request, AttemptNumber{Asked.Attempts}, Now, Made});
  Asked.LastChoice = Made;
  return StreamTarget{Made.Target, this->Parts.Watch.addressOf(Made.Target)};
}

Result<void> ChatHandler::reserve(Job &Asked, TimePoint Now) {
  TokenCount WorstCase = static_cast<TokenCount>(Asked.Stream.PromptTokens) +
                         Asked.Stream.MaxTokens;
  TimePoint Until =
      std::min(Asked.Stream.Deadline, Now + this->Settings.ReserveTimeout);
  auto Held = this->Parts.Budgets.reserve(Asked.Account, Asked.Stream.Request,
                                          WorstCase, Until);
  this->Parts.Measured.observe("reservation_wait_seconds",
                               this->Parts.Tasks.Now() - Now);
  if (!Held)
    return Held.error();
  Asked.Held = Held.value();
  return success();
}

void ChatHandler::startAttempt(Job &Asked, TargetId Target) {
  TimePoint Now = this->Parts.Tasks.Now();
  CountedAttempt Counted;
  Counted.PrefillTokens = Asked.LastChoice.PrefillTokens;
  Counted.SentAt = Now;
  Counted.ExpectedFirstToken = Asked.LastChoice.FirstToken;
  Counted.ExpectedPrefill =
      Asked.LastChoice.FirstToken - Asked.LastChoice.Queue;
  Asked.InFlight[Target] = Counted;
  this->Parts.Targets.dispatched(Target, Counted.PrefillTokens, Now);
  this->Parts.Admissions.sent(Asked.Admitted);
  if (Asked.IsKeyed)
    this->Parts.Peers.note(Asked.Stream.Request, Target);
}

void ChatHandler::endAttempt(Job &Asked, TargetId Target) {
  auto Known = Asked.InFlight.find(Target);
  if (Known == Asked.InFlight.end())
    return;
  this->Parts.Targets.finished(Target, Known->second.PrefillTokens,
                               Known->second.HasFirstToken,
                               this->Parts.Tasks.Now());
  Asked.InFlight.erase(Known);
}

void ChatHandler::report(TargetId Target, std::error_code Failure,
                         TimePoint Now) {
  auto Place = this->Parts.Targets.slotOf(Target);
  if (!Place)
    return;
  if (!Failure) {
    this->Parts.Outliers.succeeded(Place.value());
    return;
  }
  if (Failure == TargetError::ConnectFailed)
    this->Parts.Outliers.unreachable(Place.value(), Now);
  else
    this->Parts.Outliers.failed(Place.value(), Now);
  const Member *Known = this->Parts.Watch.find(Target);
  logEvent(LogLevel::Warning, "attempt_failed",
           {{"target", Known ? Known->Name : toHex(Target.Value)},
            {"reason", Failure.message()}});
}

void ChatHandler::noteFirstToken(Job &Asked) {
  TimePoint Now = this->Parts.Tasks.Now();
  for (auto &[Target, Counted] : Asked.InFlight) {
    if (Counted.HasFirstToken)
      continue;
    Counted.HasFirstToken = true;
    this->Parts.Targets.firstToken(Target, Counted.PrefillTokens, Now);
    Duration Waited = Now - Counted.SentAt - Counted.ExpectedPrefill;
    this->Parts.Admissions.firstToken(Asked.Admitted,
                                      std::max(Duration::zero(), Waited));
    auto Place = this->Parts.Targets.slotOf(Target);
    if (Place)
      this->Parts.Outliers.observe(Place.value(), Counted.ExpectedFirstToken,
                                   Now - Counted.SentAt, Now);
  }
}

bool ChatHandler::emit(Job &Asked, HttpReply &Reply, const StreamChunk &Piece) {
  bool IsFirst = !Asked.IsBegun;
  this->noteFirstToken(Asked);
  if (IsFirst)
    this->Parts.Measured.observe("first_token_seconds",
                                 this->Parts.Tasks.Now() - Asked.Arrived);
  Asked.IsBegun = true;
  if (!Asked.Asked.IsStreamed) {
    Asked.Text += Piece.Text;
    return !Reply.isCallerGone();
  }
  if (IsFirst)
    Reply.beginStream(200, "text/event-stream",
                      {{"cache-control", "no-cache"}});
  if (Piece.Text.empty())
    return !Reply.isCallerGone();
  return Reply.write(Asked.Frame.textEvent(Piece.Text, IsFirst));
}

StreamHooks ChatHandler::hooksFor(Job &Asked, HttpReply &Reply) {
  StreamHooks Made;
  Made.Tasks = this->Parts.Tasks;
  Made.Engine = this->Parts.Engines;
  Made.ChooseTarget = [this, &Asked](const StreamRequest &,
                                     const std::vector<TargetId> &Excluded,
                                     TimePoint Now) {
    return this->chooseTarget(Asked, Excluded, Now);
  };
  Made.Reserve = [this, &Asked](const StreamRequest &, TimePoint Now) {
    return this->reserve(Asked, Now);
  };
  Made.Settle = [this, &Asked](const StreamRequest &, const Usage &Counted) {
    TokenCount Tokens =
        static_cast<TokenCount>(Counted.PromptTokens) + Counted.GeneratedTokens;
    if (Tokens == 0)
      this->Parts.Budgets.release(Asked.Held);
    else
      this->Parts.Budgets.settle(Asked.Held, Tokens);
  };
  Made.Report = [this](TargetId Target, std::error_code Failure,
                       TimePoint Now) { this->report(Target, Failure, Now); };
  Made.Emit = [this, &Asked, &Reply](const StreamChunk &Piece) {
    return this->emit(Asked, Reply, Piece);
  };
  Made.MayRetry = [this](TimePoint) { return this->Parts.Retries.tryRetry(); };
  this->bindSuspects(Asked, Made);
  return Made;
}

void ChatHandler::bindSuspects(Job &Asked, StreamHooks &Hooks) {
  SuspectService &Suspects = this->Parts.Suspects;
  Hooks.Admit = [&Suspects](Hash128 Content, TimePoint Now) {
    return Suspects.admit(Content, Now);
  };
  Hooks.Started = [this, &Asked, &Suspects](Hash128 Content, TargetId Target) {
    Suspects.started(Content, Target);
    this->startAttempt(Asked, Target);
  };
  Hooks.Ended = [this, &Asked, &Suspects](Hash128 Content, TargetId Target) {
    Suspects.ended(Content, Target);
    this->endAttempt(Asked, Target);
  };
  Hooks.Crashed = [&Suspects](Hash128 Content, TargetId Target, TimePoint Now) {
    Suspects.crashed(Content, Target, Now);
  };
  Hooks.Cleared = [&Suspects](Hash128 Content) { Suspects.cleared(Content); };
}

void ChatHandler::answer(const ConfigSnapshot &Config,
                         const HttpRequest &Request, HttpReply Reply) {
  auto Accepted = this->accept(Config, Request);
  if (!Accepted)
    return sendProblem(Reply, Accepted.error());
  Job &Asked = Accepted.value();
  ++this->Active;
  auto Admitted = this->admit(Asked, Reply);
  if (!Admitted) {
    --this->Active;
    this->Parts.Measured.count("requests_total{outcome=\"not run\"}");
    return sendProblem(Reply, Admitted.error());
  }
  this->Parts.Retries.firstAttempt();
  if (Asked.IsKeyed)
    Asked.Earlier = this->Parts.Peers.locate(Asked.Stream.Request);
  StreamOutcome End = runStream(Asked.Stream, this->hooksFor(Asked, Reply),
                                this->Settings.Stream);
  if (End.Reason == LedgerError::AlreadyBilled)
    End = this->replay(Asked, Reply);
  this->Parts.Admissions.finish(Asked.Admitted);
  this->finish(Asked, Reply, End);
  this->count(Asked, End);
  --this->Active;
}

void ChatHandler::finish(Job &Asked, HttpReply &Reply,
                         const StreamOutcome &End) {
  if (End.Verdict != Outcome::Done || End.Reason) {
    ApiProblem Problem = problemOf(End.Verdict, End.Reason, End.RetryAfter);
    bool HasStreamBegun = Asked.IsBegun && Asked.Asked.IsStreamed;
    if (!HasStreamBegun)
      return sendProblem(Reply, Problem);
    Reply.write(ChatResponse::problemEvent(Problem));
    return Reply.abort();
  }
  const char *Reason = finishReasonName(End.Finish);
  ChatUsage Counted = usageOf(End.Billed);
  if (!Asked.Asked.IsStreamed) {
    Reply.sendWhole(200, "application/json",
                    Asked.Frame.completionBody(Asked.Text, Reason, Counted));
    return;
  }
  if (!Asked.IsBegun)
    Reply.beginStream(200, "text/event-stream",
                      {{"cache-control", "no-cache"}});
  Reply.write(Asked.Frame.finishEvent(Reason));
  if (Asked.Asked.IncludesUsage)
    Reply.write(Asked.Frame.usageEvent(Counted));
  Reply.write(ChatResponse::doneEvent());
  Reply.end();
}

void ChatHandler::count(const Job &Asked, const StreamOutcome &End) {
  Metrics &Measured = this->Parts.Measured;
  Measured.count(std::string("requests_total{outcome=\"") +
                 nameOf(End.Verdict) + "\"}");
  Measured.count("attempts_total", End.Attempts);
  Measured.count("resumes_total", End.Resumes);
  Measured.count("dropped_chunks_total", End.DroppedChunks);
  Measured.count("billed_tokens_total",
                 static_cast<double>(End.Billed.PromptTokens +
                                     End.Billed.GeneratedTokens));
  Duration Took = this->Parts.Tasks.Now() - Asked.Arrived;
  Measured.observe("request_seconds", Took);
  logEvent(LogLevel::Info, "chat_ended",
           {{"request", toHex(Asked.Stream.Request)},
            {"team", Asked.Team->Name},
            {"outcome", nameOf(End.Verdict)},
            {"reason", End.Reason ? End.Reason.message() : ""},
            {"attempts", End.Attempts},
            {"tokens", End.Billed.PromptTokens + End.Billed.GeneratedTokens},
            {"ms", std::chrono::duration<double, std::milli>(Took).count()}});
}

} // namespace bergamothook
