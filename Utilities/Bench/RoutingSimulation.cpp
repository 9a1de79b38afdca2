#include "RoutingSimulation.h"

#include "LibTarget/TargetError.h"

#include <algorithm>

namespace bergamothook {

namespace {

using namespace std::chrono_literals;

constexpr Duration ReportPeriod = 200ms;
constexpr Duration CachePeriod = 500ms;
/// How long the membership list takes to tell that a target is gone.
constexpr Duration MembershipLag = 5s;
/// Callers wait so long before they give up, by class.
constexpr Duration QuickPatience = 10s;
constexpr Duration DraftPatience = 180s;
/// The latest useful start of a draft.
constexpr Duration DraftStart = 90s;
/// How long the run goes on after the last arrival.
constexpr Duration Tail = 60s;
constexpr std::uint32_t MaxResends = 2;
constexpr double SlowdownFactor = 10;
constexpr std::size_t IndexCapacity = 8192;
constexpr std::uint32_t ExpectedQuickTokens = 90;
constexpr std::uint32_t ExpectedDraftTokens = 600;
/// What a generated token costs in tokens of prefill.
constexpr double GeneratedTokenCost = 13;
/// The share of a prompt that is expected to be computed.
constexpr double UncoveredShare = 0.3;

const ModelId Model = idOfName<ModelId>("m");

bool isQuick(const WorkloadRequest &Work) {
  return Work.Class == WorkClass::QuickAnswer;
}

AdmissionSettings queueOf(const RoutingDesign &Design,
                          const RoutingSite &Site) {
  AdmissionSettings Settings;
  Settings.Concurrency = Design.Concurrency;
  Settings.Concurrency.Initial = 16.0 * Site.Targets / Site.Hosts;
  Settings.MaxQueued = 400;
  Settings.AssumedCostPerSecond = 8000.0 * Site.Targets / Site.Hosts;
  return Settings;
}

TargetTableSettings tableOf(const RoutingDesign &Design,
                            const RoutingSite &Site) {
  TargetTableSettings Settings = Design.Table;
  Settings.Hosts = Site.Hosts;
  return Settings;
}

EngineModelSettings engineOf(const RoutingCell &Cell, std::uint32_t Index) {
  EngineModelSettings Settings;
  Settings.Models = {"m"};
  Settings.LoadLag = Cell.LoadLag;
  Settings.CacheEventDelay = Cell.CacheEventDelay;
  Settings.CacheEventLoss = Cell.CacheEventLoss;
  bool IsSmall = Cell.Site.IsMixed && Index % 2 == 1;
  if (!IsSmall)
    return Settings;
  Settings.PrefillTokensPerSecond /= 2;
  Settings.StepBase *= 2;
  Settings.StepPerSequence *= 2;
  return Settings;
}

} // namespace

RoutingSimulation::Host::Host(const RoutingDesign &Design,
                              const RoutingSite &Site, std::uint64_t Seed)
    : Table(tableOf(Design, Site)), Prefixes(IndexCapacity),
      Outliers(OutlierSettings{}),
      Chooser(Table, Prefixes, Outliers, Design.Chooser, Seed),
      Queue(queueOf(Design, Site)), Retries(RetryBudgetSettings{}) {
  if (Design.Known)
    this->Known.emplace(*Design.Known, Seed);
}

RoutingSimulation::RoutingSimulation(const RoutingCell &Cell,
                                     const RoutingDesign &Design,
                                     double ArrivalsPerSecond,
                                     std::uint64_t Seed)
    : Cell(Cell), Design(Design), ArrivalsPerSecond(ArrivalsPerSecond),
      Workload(Seed), Draws(Seed + 1), Start(1h), Now(Start) {
  this->makeTargets(Seed);
  this->makeHosts(Seed);
  this->Figures.Seconds =
      std::chrono::duration<double>(Cell.Length - RoutingFigures::WarmUp)
          .count();
  auto Seconds = static_cast<std::size_t>(Cell.Length / 1s);
  this->Figures.OfferedBySecond.resize(Seconds);
  this->Figures.InTimeBySecond.resize(Seconds);
}

RoutingFigures RoutingSimulation::run() {
  this->schedule(this->Start, EventKind::Arrival, 0);
  this->schedule(this->Start, EventKind::Reports, 0);
  this->schedule(this->Start, EventKind::CacheEvents, 0);
  this->scheduleFaults();
  while (!this->Queue.empty()) {
    Event Next = this->Queue.top();
    this->Queue.pop();
    if (Next.At > this->Start + this->Cell.Length + Tail)
      break;
    this->Now = Next.At;
    this->handle(Next);
  }
  return std::move(this->Figures);
}

void RoutingSimulation::schedule(TimePoint At, EventKind Kind,
                                 std::uint64_t Subject) {
  this->Queue.push({At, ++this->Events, Kind, Subject});
}

void RoutingSimulation::handle(const Event &Next) {
  switch (Next.Kind) {
  case EventKind::Arrival:
    this->arrive();
    return;
  case EventKind::EngineStep:
    this->Targets[Next.Subject].Engine.advance(this->Now);
    this->collect(Next.Subject);
    return;
  case EventKind::Reports:
    this->readReports();
    return;
  case EventKind::CacheEvents:
    this->readCacheEvents();
    return;
  case EventKind::GiveUp:
    this->giveUp(Next.Subject);
    return;
  case EventKind::Resend:
    this->offer(Next.Subject);
    return;
  case EventKind::LoseDomain:
    this->setDomainDown(true);
    return;
  case EventKind::ReturnDomain:
    this->setDomainDown(false);
    return;
  case EventKind::SlowDown:
    this->Targets.front().Engine.setSlowdown(SlowdownFactor);
    return;
  }
}

void RoutingSimulation::makeTargets(std::uint64_t Seed) {
  for (std::uint32_t I = 0; I < this->Cell.Site.Targets; ++I) {
    EngineModel Engine(engineOf(this->Cell, I), Seed + I);
    this->Targets.push_back({std::move(Engine), I % this->Cell.Site.Domains,
                             TimePoint::max(), std::nullopt});
  }
}

void RoutingSimulation::makeHosts(std::uint64_t Seed) {
  for (std::uint32_t I = 0; I < this->Cell.Site.Hosts; ++I) {
    this->Hosts.push_back(
        std::make_unique<Host>(this->Design, this->Cell.Site, Seed * 1000 + I));
    Host &Made = *this->Hosts.back();
    for (std::size_t J = 0; J < this->Targets.size(); ++J) {
      TargetInfo Info;
      Info.Id = TargetId{J + 1};
      Info.Domain = FailureDomainId{this->Targets[J].Domain};
      Info.Models = {Model};
      // Targets of a start are not new; their slow start is over.
      Made.Table.upsert(Info, this->Start - 1h);
      Made.Outliers.add(static_cast<TargetTable::Slot>(J), this->Start - 1h);
    }
  }
}

void RoutingSimulation::scheduleFaults() {
  if (this->Cell.HasSlowTarget)
    this->schedule(this->Start + RoutingFigures::WarmUp, EventKind::SlowDown,
                   0);
  if (!this->Cell.LosesDomain)
    return;
  this->schedule(this->Start + this->Cell.Length / 3, EventKind::LoseDomain, 0);
  this->schedule(this->Start + this->Cell.Length * 2 / 3,
                 EventKind::ReturnDomain, 0);
}

double RoutingSimulation::arrivalRate() const {
  Duration Age = this->Now - this->Start;
  bool IsBurst = this->Cell.HasBurst && Age > this->Cell.Length / 3 &&
                 Age < this->Cell.Length / 2;
  if (!IsBurst)
    return this->ArrivalsPerSecond;
  return this->ArrivalsPerSecond * this->Cell.BurstLoad / this->Cell.Load;
}

void RoutingSimulation::arrive() {
  Live Request;
  Request.Work = this->Workload.draw();
  Request.HostIndex = this->Draws.below(this->Hosts.size());
  Request.FirstArrived = this->Now;
  auto Class = static_cast<std::size_t>(Request.Work.Class);
  Duration Age = this->Now - this->Start;
  if (Age >= RoutingFigures::WarmUp)
    ++this->Figures.Classes[Class].Offered;
  if (isQuick(Request.Work))
    ++this->Figures.OfferedBySecond[static_cast<std::size_t>(Age / 1s)];
  this->Requests.push_back(std::move(Request));
  this->offer(this->Requests.size() - 1);

  double Seconds = this->Draws.exponential(1 / this->arrivalRate());
  TimePoint Next = this->Now + std::chrono::duration_cast<Duration>(
                                   std::chrono::duration<double>(Seconds));
  if (Next < this->Start + this->Cell.Length)
    this->schedule(Next, EventKind::Arrival, 0);
}

void RoutingSimulation::offer(std::uint64_t Number) {
  Live &Request = this->Requests[Number];
  Request.Arrived = this->Now;
  Request.At = Stage::Waiting;
  Request.Tried.clear();
  Request.IsRetry = false;
  Duration Patience = isQuick(Request.Work) ? QuickPatience : DraftPatience;
  this->schedule(this->Now + Patience, EventKind::GiveUp, Number);
  Host &Entry = *this->Hosts[Request.HostIndex];
  if (!this->Design.UsesAdmission) {
    Entry.Retries.firstAttempt();
    this->send(Number, this->choose(Number));
    return;
  }
  AdmissionRequest Asked = this->admissionOf(Request);
  auto Ticket = Entry.Queue.admit(Asked, this->Now);
  this->answerRefused(Request.HostIndex);
  if (!Ticket) {
    this->endUnserved(Number, Entry.Queue.retryAfter(Asked, this->Now));
    return;
  }
  Request.Ticket = Ticket.value();
  this->pump(Request.HostIndex);
}

void RoutingSimulation::pump(std::uint64_t HostIndex) {
  Host &Entry = *this->Hosts[HostIndex];
  while (Entry.Queue.queued() > 0) {
    std::optional<Choice> Made;
    auto Fits = [&](const AdmissionRequest &Asked) {
      Made = this->choose(Asked.Request.Low - 1);
      return Made && Made->Queue <= this->Design.MaxTargetQueue;
    };
    auto Started = Entry.Queue.next(this->Now, Fits);
    this->answerRefused(HostIndex);
    if (!Started)
      return;
    Entry.Retries.firstAttempt();
    this->send(Started->Request.Request.Low - 1, Made);
  }
}

void RoutingSimulation::answerRefused(std::uint64_t HostIndex) {
  Host &Entry = *this->Hosts[HostIndex];
  for (const RefusedRequest &Refused : Entry.Queue.takeRefused(this->Now))
    this->endUnserved(Refused.Request.Low - 1, Refused.RetryAfter);
}

bool RoutingSimulation::send(std::uint64_t Number,
                             const std::optional<Choice> &Made) {
  Live &Request = this->Requests[Number];
  Host &Entry = *this->Hosts[Request.HostIndex];
  std::optional<Choice> Next = Made;
  while (Next) {
    auto Place = static_cast<TargetTable::Slot>(Next->Target.Value - 1);
    EngineModelRequest Order;
    Order.Request = Request.Work.Request;
    Order.Attempt = AttemptNumber{++Request.Attempt};
    Order.Model = "m";
    Order.Blocks = Request.Work.Blocks;
    Order.PromptTokens = Request.Work.PromptTokens;
    Order.ResponseTokens = Request.Work.AnswerTokens;
    Order.MaxTokens = Request.Work.AnswerTokens;
    bool IsUrgent = isQuick(Request.Work) && !this->Cell.IsPatient;
    Order.Priority = IsUrgent ? 1 : 0;
    Order.ResumeAfterTokens = Request.Generated;
    auto Accepted = this->Targets[Place].Engine.submit(Order, this->Now);
    if (Accepted) {
      Request.Place = Place;
      Request.At = Stage::Sent;
      Request.SentAt = this->Now;
      Request.Expected = Next->FirstToken;
      Request.Prefill = Next->FirstToken - Next->Queue;
      Request.PrefillTokens = Next->PrefillTokens;
      Entry.Table.dispatched(Next->Target, Next->PrefillTokens, this->Now);
      if (this->Design.UsesPrefixes)
        Entry.Prefixes.addExpected(Place, Request.Work.Blocks);
      ++this->Figures.Attempts;
      this->Figures.FirstAttempts += Request.IsRetry ? 0 : 1;
      this->collect(Place);
      return true;
    }
    if (Accepted.error() == TargetError::ConnectFailed)
      Entry.Outliers.unreachable(Place, this->Now);
    Request.Tried.push_back(Next->Target);
    Next = this->choose(Number);
  }
  this->endUnserved(Number, 1s);
  if (this->Design.UsesAdmission)
    (void)Entry.Queue.finish(Request.Ticket, this->Now);
  return false;
}

std::optional<Choice> RoutingSimulation::choose(std::uint64_t Number) {
  Live &Request = this->Requests[Number];
  Host &Entry = *this->Hosts[Request.HostIndex];
  if (!Entry.Known) {
    auto Made = Entry.Chooser.choose(this->featuresOf(Request), this->Now);
    if (!Made)
      return std::nullopt;
    return std::move(Made).value();
  }
  auto Place = Entry.Known->choose(Entry.Table, Entry.Table.serving(Model),
                                   Request.Tried);
  if (!Place)
    return std::nullopt;
  Choice Made;
  Made.Target = TargetId{*Place + 1};
  Made.PrefillTokens = Request.Work.PromptTokens;
  return Made;
}

RequestFeatures RoutingSimulation::featuresOf(const Live &Request) const {
  RequestFeatures Features;
  Features.Request = Request.Work.Request;
  Features.Model = Model;
  Features.Class = Request.Work.Class;
  Features.PromptTokens = Request.Work.PromptTokens + Request.Generated;
  Features.ExpectedTokens =
      isQuick(Request.Work) ? ExpectedQuickTokens : ExpectedDraftTokens;
  if (this->Design.UsesPrefixes)
    Features.Prefix = Request.Work.Blocks;
  Features.Excluded = Request.Tried;
  Features.Domain =
      FailureDomainId{Request.HostIndex % this->Cell.Site.Domains};
  return Features;
}

AdmissionRequest RoutingSimulation::admissionOf(const Live &Request) const {
  AdmissionRequest Asked;
  Asked.Request = Request.Work.Request;
  Asked.Team = Request.Work.Team;
  Asked.Class = Request.Work.Class;
  bool IsQuick = isQuick(Request.Work);
  Asked.Cost = Request.Work.PromptTokens * UncoveredShare +
               GeneratedTokenCost *
                   (IsQuick ? ExpectedQuickTokens : ExpectedDraftTokens);
  Asked.Deadline =
      Request.Arrived + (IsQuick ? this->Design.QuickStart : DraftStart);
  return Asked;
}

void RoutingSimulation::collect(std::uint64_t Index) {
  Target &Ran = this->Targets[Index];
  std::vector<std::uint64_t> Pumped;
  for (const EngineModelEvent &Event : Ran.Engine.takeEvents()) {
    std::uint64_t Number = Event.Request.Low - 1;
    Live &Request = this->Requests[Number];
    bool IsCurrent = Event.Attempt.Value == Request.Attempt &&
                     Request.At != Stage::Done && Request.At != Stage::Waiting;
    if (!IsCurrent)
      continue;
    if (Event.Kind == EngineModelEventKind::Tokens)
      this->onTokens(Request, Event);
    else if (Event.Kind == EngineModelEventKind::Finished)
      this->onFinished(Number, Event);
    else
      this->onCrashed(Number);
    if (Event.Kind != EngineModelEventKind::Tokens || Event.FirstToken == 0)
      Pumped.push_back(Request.HostIndex);
  }
  std::sort(Pumped.begin(), Pumped.end());
  Pumped.erase(std::unique(Pumped.begin(), Pumped.end()), Pumped.end());
  if (this->Design.UsesAdmission)
    for (std::uint64_t HostIndex : Pumped)
      this->pump(HostIndex);
  auto Next = Ran.Engine.nextEvent();
  if (!Next || *Next == Ran.Scheduled)
    return;
  Ran.Scheduled = *Next;
  this->schedule(*Next, EventKind::EngineStep, Index);
}

void RoutingSimulation::onTokens(Live &Request, const EngineModelEvent &Event) {
  Host &Entry = *this->Hosts[Request.HostIndex];
  Duration Age = Request.FirstArrived - this->Start;
  bool IsCounted = Age >= RoutingFigures::WarmUp;
  if (Request.At == Stage::Sent) {
    Request.At = Stage::Streaming;
    Entry.Table.firstToken(TargetId{Request.Place + 1}, Request.PrefillTokens,
                           Event.At);
    Entry.Outliers.succeeded(Request.Place);
    if (this->Design.UsesAdmission)
      Entry.Queue.firstToken(Request.Ticket,
                             Event.At - Request.SentAt - Request.Prefill,
                             Event.At);
    if (this->Design.UsesOutliers)
      Entry.Outliers.observe(Request.Place, Request.Expected,
                             Event.At - Request.SentAt, Event.At);
  }
  if (Request.Generated == 0 && Event.FirstToken == 0) {
    Duration Waited = Event.At - Request.FirstArrived;
    bool IsQuick = isQuick(Request.Work);
    if (IsCounted)
      (IsQuick ? this->Figures.QuickFirstToken : this->Figures.DraftFirstToken)
          .add(Waited);
    if (IsQuick && Waited <= QuickLimit) {
      this->Figures.Classes[0].InTime += IsCounted ? 1 : 0;
      ++this->Figures.InTimeBySecond[static_cast<std::size_t>(Age / 1s)];
    }
  } else if (IsCounted) {
    this->Figures.TokenGap.add(Event.At - Request.LastToken);
  }
  Request.LastToken = Event.At;
  Request.Generated = Event.FirstToken + Event.Tokens;
}

void RoutingSimulation::onFinished(std::uint64_t Number,
                                   const EngineModelEvent &Event) {
  Live &Request = this->Requests[Number];
  this->leaveTarget(Request);
  Request.At = Stage::Done;
  if (Request.FirstArrived - this->Start < RoutingFigures::WarmUp)
    return;
  ClassFigures &Class =
      this->Figures.Classes[static_cast<std::size_t>(Request.Work.Class)];
  ++Class.Finished;
  bool IsInTime = Event.At - Request.FirstArrived <= DraftLimit;
  if (!isQuick(Request.Work) && IsInTime)
    ++Class.InTime;
  this->Figures.PromptTokens += Request.Work.PromptTokens;
  this->Figures.CachedTokens += Event.Counted.CachedPromptTokens;
}

void RoutingSimulation::onCrashed(std::uint64_t Number) {
  Live &Request = this->Requests[Number];
  Host &Entry = *this->Hosts[Request.HostIndex];
  Entry.Outliers.failed(Request.Place, this->Now);
  Request.Tried.push_back(TargetId{Request.Place + 1});
  TicketId Ticket = Request.Ticket;
  this->leaveTarget(Request);
  if (!Entry.Retries.tryRetry()) {
    this->endUnserved(Number, 1s);
    return;
  }
  Request.Ticket = Ticket;
  Request.IsRetry = true;
  this->send(Number, this->choose(Number));
}

void RoutingSimulation::leaveTarget(Live &Request) {
  Host &Entry = *this->Hosts[Request.HostIndex];
  Entry.Table.finished(TargetId{Request.Place + 1}, Request.PrefillTokens,
                       Request.At == Stage::Streaming, this->Now);
  if (this->Design.UsesAdmission)
    (void)Entry.Queue.finish(Request.Ticket, this->Now);
}

void RoutingSimulation::endUnserved(std::uint64_t Number, Duration RetryAfter) {
  Live &Request = this->Requests[Number];
  Request.At = Stage::Done;
  ++this->Figures.Refused;
  bool SendsAgain = this->Cell.HasBurst && Request.Resends < MaxResends;
  if (!SendsAgain)
    return;
  ++Request.Resends;
  Request.Generated = 0;
  this->schedule(this->Now + this->Draws.jitter(RetryAfter), EventKind::Resend,
                 Number);
}

void RoutingSimulation::giveUp(std::uint64_t Number) {
  Live &Request = this->Requests[Number];
  Duration Patience = isQuick(Request.Work) ? QuickPatience : DraftPatience;
  bool IsOld = this->Cell.IsPatient || this->Now < Request.Arrived + Patience;
  bool HasAnswer = Request.At == Stage::Streaming || Request.At == Stage::Done;
  if (IsOld || HasAnswer)
    return;
  Host &Entry = *this->Hosts[Request.HostIndex];
  if (Request.At == Stage::Waiting) {
    (void)Entry.Queue.abandon(Request.Ticket, this->Now);
  } else {
    this->leaveTarget(Request);
    Request.At = Stage::Done;
    (void)this->Targets[Request.Place].Engine.cancel(Request.Work.Request,
                                                     this->Now);
    this->collect(Request.Place);
  }
  this->endUnserved(Number, 1s);
}

void RoutingSimulation::readReports() {
  for (std::size_t I = 0; I < this->Targets.size(); ++I) {
    Target &Asked = this->Targets[I];
    auto Load = Asked.Engine.load(this->Now);
    bool IsGone =
        Asked.DownSince && this->Now >= *Asked.DownSince + MembershipLag;
    for (auto &Entry : this->Hosts) {
      TargetId Id{I + 1};
      Entry->Table.setState(Id,
                            IsGone ? TargetState::Suspect : TargetState::Live);
      if (Load)
        Entry->Table.report(
            Id, reportOf(Load.value(), this->Now - this->Cell.LoadLag));
    }
  }
  if (this->Design.UsesAdmission)
    for (std::size_t I = 0; I < this->Hosts.size(); ++I)
      this->pump(I);
  this->schedule(this->Now + ReportPeriod, EventKind::Reports, 0);
}

void RoutingSimulation::readCacheEvents() {
  if (!this->Design.UsesPrefixes || this->Design.Known)
    return;
  for (std::size_t I = 0; I < this->Targets.size(); ++I) {
    auto Place = static_cast<TargetTable::Slot>(I);
    EngineModelCache &Cache = this->Targets[I].Engine.cache();
    if (this->Targets[I].Engine.isDown())
      continue;
    // Every host reads the same events, so the first one's place is asked for.
    std::uint64_t After = this->Hosts.front()->Prefixes.lastSequence(Place);
    auto Page = Cache.events(After, this->Now);
    for (auto &Entry : this->Hosts) {
      bool IsWhole = true;
      for (const CacheEvent &Event : Page)
        IsWhole = Entry->Prefixes.apply(Place, Event) && IsWhole;
      if (IsWhole)
        continue;
      CacheSnapshot Whole = Cache.snapshot();
      Entry->Prefixes.resynchronise(Place, Whole.Sequence, Whole.Blocks);
    }
  }
  this->schedule(this->Now + CachePeriod, EventKind::CacheEvents, 0);
}

void RoutingSimulation::setDomainDown(bool IsDown) {
  for (std::size_t I = 0; I < this->Targets.size(); ++I) {
    Target &Hit = this->Targets[I];
    if (Hit.Domain != 0)
      continue;
    if (IsDown) {
      Hit.DownSince = this->Now;
      Hit.Engine.crash(this->Now);
      this->collect(I);
      continue;
    }
    Hit.DownSince.reset();
    Hit.Engine.restart();
    for (auto &Entry : this->Hosts) {
      Entry->Prefixes.reset(static_cast<TargetTable::Slot>(I));
      Entry->Table.setState(TargetId{I + 1}, TargetState::Live);
    }
  }
}

double measureCapacity(const RoutingSite &Site, RoutingDesign Design,
                       std::uint64_t Seed) {
  // More than any site finishes, so that its queues never run empty.
  constexpr double OfferedPerTarget = 6;
  RoutingCell Cell;
  Cell.Site = Site;
  Cell.Length = 90s;
  Cell.IsPatient = true;
  Design.UsesAdmission = false;
  RoutingSimulation Run(Cell, Design, OfferedPerTarget * Site.Targets, Seed);
  RoutingFigures Figures = Run.run();
  // The tail after the last arrival works off the same queues.
  double Seconds =
      Figures.Seconds + std::chrono::duration<double>(Tail).count();
  std::uint64_t Finished = 0;
  for (const ClassFigures &Class : Figures.Classes)
    Finished += Class.Finished;
  return static_cast<double>(Finished) / Seconds;
}

double measureSustained(const RoutingSite &Site, const RoutingDesign &Design,
                        double FirstRate, std::uint64_t Seed) {
  constexpr int MaxSteps = 30;
  constexpr double StepShare = 0.05;
  constexpr double MaxLateShare = 0.01;
  double Sustained = FirstRate;
  for (int Step = 0; Step < MaxSteps; ++Step) {
    RoutingCell Cell;
    Cell.Site = Site;
    Cell.LoadLag = 1s;
    double Rate = FirstRate * (1 + Step * StepShare);
    RoutingSimulation Run(Cell, Design, Rate, Seed);
    if (Run.run().Classes[0].lateShare() > MaxLateShare)
      break;
    Sustained = Rate;
  }
  return Sustained;
}

} // namespace bergamothook
