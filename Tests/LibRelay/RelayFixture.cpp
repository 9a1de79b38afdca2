#include "RelayFixture.h"

#include "EmptyWalletLog.h"
#include "LibObserve/StructuredLog.h"

namespace bergamothook {

RelayFixture::RelayFixture(const std::function<void(RelayHooks &)> &Adjust)
    : Wallets({"host", "domain", "", 1}, "p", {}, this->tokenHooks(),
              this->Stats, 1),
      Dispatcher({"host#1", "domain", {}, {}, {}, 1}, this->makeHooks(Adjust),
                 this->Wallets, this->Stats) {
  startLogging("test", "test", LogLevel::Error);
  this->Dispatcher.resends().setHosts(1);
  this->Route.Name = "route";
  this->Route.Host = "api.example";
  this->Route.PathPrefix = "/";
  this->Route.Kind = CallKind::Stream;
  this->Route.Timeout = std::chrono::seconds(10);
  this->Route.MaxTargets = 2;
  this->Route.Services = {{"engines", 1}};
  this->Team.Name = "team";
}

TokenHooks RelayFixture::tokenHooks() {
  TokenHooks Hooks;
  Hooks.Tasks = this->Simulated.hooks();
  Hooks.MakeLog = [](unsigned) { return makeEmptyLog(); };
  Hooks.SendDatagram = [](const std::string &, const std::string &) {};
  return Hooks;
}

void RelayFixture::addTarget(const std::string &Id,
                             const std::string &Version) {
  this->InUse["engines"][Version] = VersionPhase::InUse;
  this->Dispatcher.versions().onRead(this->InUse, this->Simulated.now());
  this->listTarget(Id, Version);
}

void RelayFixture::listTarget(const std::string &Id,
                              const std::string &Version) {
  ListedTarget Target;
  Target.Id = Id;
  Target.Service = "engines";
  Target.Address = "10.0.0.1:80";
  Target.Version = Version;
  Target.FailureDomain = this->TargetDomain;
  TimePoint Now = this->Simulated.now();
  this->Dispatcher.versions().onListed("engines", Version, Now);
  this->Dispatcher.versions().onListRead(Now);
  this->Dispatcher.targets().onListed(Target, Now);
}

void RelayFixture::removeTarget(const std::string &Id) {
  this->Dispatcher.targets().onRemoved(Id, this->Simulated.now());
}

void RelayFixture::evacuate(const std::string &FailureDomain,
                            bool IsEvacuated) {
  static std::uint64_t Offset = 0;
  this->Dispatcher.targets().onEvacuationRecord(
      {FailureDomain, IsEvacuated, ++Offset}, this->Simulated.now());
}

void RelayFixture::reportCold(const std::string &Id, Duration Left) {
  static std::uint64_t Sequence = 0;
  this->Dispatcher.onColdReport({Id + "#0", Left, ++Sequence}, "entry");
}

void RelayFixture::configure() {
  auto Config = std::make_shared<RelayConfig>();
  Config->Version = this->Version++;
  Config->addRoute(this->Route);
  Config->addTeam(this->Team, {"key"});
  RoutedService Service;
  Service.Name = "engines";
  Service.TokensPerEvent = 7;
  Service.ColdPerSecond = this->ColdPerSecond;
  Service.HealthPath = "/health";
  Config->addService(Service);
  this->Dispatcher.setConfig(Config);
}

void RelayFixture::beginTokens() {
  this->Wallets.begin({KeyRing(), 1});
  this->Simulated.hooks().Spawn([this] { this->Wallets.run(); });
  this->Simulated.runFor(std::chrono::seconds(4));
}

void RelayFixture::endTokens() {
  this->Simulated.hooks().Spawn([this] {
    TimePoint Now = this->Simulated.now();
    this->Wallets.stop(Now, Now + std::chrono::seconds(1));
  });
  this->Simulated.runFor(std::chrono::seconds(3));
}

RelayCall RelayFixture::makeCall() {
  RelayCall Call;
  Call.Id = "call-1";
  Call.Config = this->Dispatcher.config();
  Call.Head.Method = "POST";
  Call.Head.Target = "/chat";
  Call.Route = Call.Config->findRoute("api.example", "/chat");
  Call.Team = Call.Config->findTeamByKey("key");
  Call.ArrivedAt = this->Simulated.now();
  Call.CallerDeadline = Call.ArrivedAt + std::chrono::seconds(5);
  return Call;
}

RelayOutcome RelayFixture::serve(RelayCall Call) {
  RelayOutcome Outcome;
  bool IsDone = false;
  this->Simulated.hooks().Spawn([&] {
    Outcome = this->Dispatcher.serve(Call, this->makeCaller());
    IsDone = true;
  });
  this->Simulated.runUntil([&] { return IsDone; }, std::chrono::minutes(1));
  return Outcome;
}

ScriptedResponse RelayFixture::makeOneEvent() {
  ScriptedResponse Response;
  Response.Pieces = {{std::chrono::milliseconds(1), "id: 1\ndata: x\n\n"}};
  return Response;
}

ScriptedResponse RelayFixture::makeUnreachable() {
  ScriptedResponse Response;
  Response.IsUnreachable = true;
  return Response;
}

RelayHooks
RelayFixture::makeHooks(const std::function<void(RelayHooks &)> &Adjust) {
  RelayHooks Hooks;
  Hooks.Tasks = this->Simulated.hooks();
  Hooks.Memory = this->Memory;
  Hooks.LeaseClock = Hooks.Tasks.Now;
  Hooks.MakeHead = [this](const RelayCall &Call, const ListedTarget &Target,
                          Duration TimeLeft,
                          std::optional<std::uint64_t> ResumeAfter) {
    this->BeforeSend(this->SentCalls.size());
    this->SentCalls.push_back({Target.Id, ResumeAfter, TimeLeft});
    return Call.Head;
  };
  Hooks.Open = [this](const ListedTarget &, const RelayCall &,
                      const HttpRequestHead &, const CallerHooks &,
                      const SendTerms &Terms) -> Result<TargetExchange> {
    // A copy, since the function may replace itself.
    auto Connecting = this->WhileConnecting;
    Connecting();
    if (!Terms.MayReceive()) {
      this->SentCalls.pop_back();
      return NetError::ConnectFailed;
    }
    ScriptedResponse Response = this->Responses.front();
    this->Responses.pop_front();
    if (Response.IsUnreachable)
      return NetError::ConnectFailed;
    RunCheck Check = Terms.CheckRun(Response.ConnectedFor);
    this->SentCalls.back().Check = Check;
    if ((Check != RunCheck::None && Response.Run == RunAnswer::Other) ||
        (Check == RunCheck::OnlyListed && Response.Run == RunAnswer::Unknown))
      return NetError::UnexpectedPeer;
    return this->makeExchange(Response, this->SentCalls.size() - 1);
  };
  Hooks.Classify = [](const HttpResponseHead &Head, const RelayCall &) {
    return static_cast<ResponseVerdict>(
        std::stoi(std::string(Head.Headers.find("Verdict").value())));
  };
  Hooks.ReadRateLimit = [](const HttpResponseHead &Head) -> RateLimitField {
    auto Text = Head.Headers.find("Rate-Limit");
    if (!Text)
      return {};
    return {std::stod(std::string(*Text)), std::nullopt};
  };
  Hooks.AskHealth = [this](const ListedTarget &, const std::string &Path,
                           const CallerHooks &, TimePoint,
                           const std::function<bool()> &) {
    if (Path == "/health")
      ++this->HealthRequests;
    this->Simulated.hooks().sleepUntil(this->Simulated.now() +
                                       std::chrono::milliseconds(5));
    return this->HealthResponse;
  };
  Hooks.MakeRefusal = [this](unsigned Status, const RelayCall &,
                             std::optional<Duration> After) {
    this->RetryAfter = After;
    HttpResponseHead Head;
    Head.Status = Status;
    return Head;
  };
  Adjust(Hooks);
  return Hooks;
}

TargetExchange RelayFixture::makeExchange(const ScriptedResponse &Response,
                                          std::size_t Index) {
  auto Remaining = std::make_shared<ScriptedResponse>(Response);
  auto Wait = [this](Duration Span, TimePoint Deadline) -> Result<void> {
    TimePoint Until = this->Simulated.now() + Span;
    this->Simulated.hooks().sleepUntil(
        std::min({Until, Deadline, this->LeavesAt, this->AnswersAt}));
    if (this->Simulated.now() >= std::min(this->LeavesAt, this->AnswersAt))
      return NetError::Cancelled;
    if (this->Simulated.now() < Until)
      return NetError::TimedOut;
    return success();
  };
  TargetExchange Exchange;
  Exchange.ReadHead = [=](TimePoint Deadline) -> Result<HttpResponseHead> {
    BOOST_OUTCOME_TRYV(Wait(Remaining->HeadAfter, Deadline));
    if (Remaining->ThrowsBadAlloc)
      throw std::bad_alloc();
    if (Remaining->Pieces.empty() && Remaining->ConnectionError)
      return Remaining->ConnectionError;
    HttpResponseHead Head;
    Head.Status = Remaining->Status;
    if (Remaining->IsEventStream)
      Head.Headers.add("Content-Type", "text/event-stream");
    Head.Headers.add("Verdict",
                     std::to_string(static_cast<int>(Remaining->Verdict)));
    if (Remaining->RateLimit)
      Head.Headers.add("Rate-Limit", std::to_string(*Remaining->RateLimit));
    return Head;
  };
  Exchange.ReadBody = [=](TimePoint Deadline) -> Result<BodyPiece> {
    if (!Remaining->Pieces.empty()) {
      auto [After, Bytes] = Remaining->Pieces.front();
      BOOST_OUTCOME_TRYV(Wait(After, Deadline));
      Remaining->Pieces.erase(Remaining->Pieces.begin());
      bool IsLast = Remaining->Pieces.empty() && !Remaining->ConnectionError &&
                    !Remaining->Stalls;
      return BodyPiece{Bytes, IsLast, IsLast && Remaining->EndsWithConnection};
    }
    if (Remaining->ConnectionError)
      return Remaining->ConnectionError;
    if (!Remaining->Stalls)
      return BodyPiece{"", true, Remaining->EndsWithConnection};
    BOOST_OUTCOME_TRYV(Wait(std::chrono::hours(1), Deadline));
    return NetError::TimedOut;
  };
  Exchange.NextResponse = [=] {
    Remaining->Verdict = ResponseVerdict::Ran;
    Remaining->Pieces = Remaining->NextPieces;
  };
  Exchange.Finish = [] {};
  Exchange.FinishRefused = [] {};
  Exchange.Abort = [this, Index] { this->SentCalls[Index].WasAborted = true; };
  return Exchange;
}

CallerHooks RelayFixture::makeCaller() {
  CallerHooks Caller;
  Caller.Changed = &this->Changed;
  Caller.HasLeft = [this] { return this->Simulated.now() >= this->LeavesAt; };
  Caller.MustAnswer = [this] {
    return this->Simulated.now() >= this->AnswersAt;
  };
  Caller.MaySend = [this](TimePoint Deadline, bool MayRepeat) {
    return MayRepeat || Deadline <= this->LastEnd;
  };
  Caller.SendResponse = [this](const HttpResponseHead &Head,
                               std::string_view Bytes) -> Result<void> {
    if (this->FailsWrites)
      return NetError::Closed;
    this->Status = Head.Status;
    this->Body = Bytes;
    this->IsEnded = true;
    return success();
  };
  Caller.BeginStream = [this](const HttpResponseHead &Head) -> Result<void> {
    this->Status = Head.Status;
    return success();
  };
  Caller.SendChunk = [this](std::string_view Bytes) -> Result<void> {
    this->Body += Bytes;
    return success();
  };
  Caller.EndStream = [this]() -> Result<void> {
    this->IsEnded = true;
    return success();
  };
  Caller.AbortStream = [this] { this->IsBroken = true; };
  return Caller;
}

} // namespace bergamothook
