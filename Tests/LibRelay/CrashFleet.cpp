#include "CrashFleet.h"

namespace bergamothook {

namespace {

constexpr Duration StepTime = std::chrono::milliseconds(10);
constexpr Duration UpdateInterval = std::chrono::milliseconds(200);
constexpr Duration LogDelay = std::chrono::milliseconds(150);
/// A target is past the beginning of an answer this long after it began it.
constexpr Duration BeginTime = std::chrono::milliseconds(20);
/// Sends count from this time after the fifth crash on.
constexpr Duration AllowedReaction = std::chrono::seconds(3);
constexpr std::size_t AllowedCrashes = 5;
constexpr int MaxAttempts = 2;

Hash128 part(const std::string &Name) { return hash128(Name); }

RosterHost entryOf(int Index, std::uint64_t Run) {
  return {"host" + std::to_string(Index), "domain" + std::to_string(Index % 3),
          "", Run};
}

} // namespace

CrashFleet::Host::Host(CrashFleet &Fleet, int Index, std::uint64_t Process)
    : Process(Process), Roster(entryOf(Index, Process), {}),
      List(entryOf(Index, Process).Name + "#" + std::to_string(Process),
           Fleet.Settings.Policy,
           [this, &Fleet](const Hash128 &Trait, std::uint64_t Turn) {
             auto First = this->Roster.firstHosts(
                 toHex(Trait), this->Roster.hosts(), Fleet.Now);
             return First[Turn % First.size()] == this->Roster.self().id();
           }),
      Reports(
          this->List, this->Roster,
          {[&Fleet] { return Fleet.Now; },
           [&Fleet, Index](HostId To, std::uint16_t, std::string_view Body) {
             ++Fleet.Results.Messages;
             if (Fleet.Rng.below(100) < Fleet.Settings.LostPerCent)
               return;
             int Other = Fleet.IndexOfHost.at(To);
             if ((Other < Fleet.SplitBelow) == (Index < Fleet.SplitBelow))
               Fleet.Network.emplace(Fleet.Now + std::chrono::milliseconds(
                                                     1 + Fleet.Rng.below(20)),
                                     Message{Other, std::string(Body)});
           },
           [this](std::uint16_t, PeerNode::Handler Callback) {
             this->Handler = std::move(Callback);
           }}),
      UpdateAt(Fleet.Now + std::chrono::milliseconds(Fleet.Rng.below(200))) {
  for (int Other = 0; Other < Fleet.Settings.Hosts; ++Other)
    if (Other != Index)
      this->Roster.put(entryOf(Other, 1));
}

CrashFleet::CrashFleet(CrashFleetSettings Settings, std::uint64_t Seed)
    : Settings(Settings), Rng(Seed) {
  this->Results.Crashes.resize(static_cast<std::size_t>(Settings.DeadlyKinds));
  this->Results.LateSends.resize(
      static_cast<std::size_t>(Settings.DeadlyKinds));
  this->CrashTimes.resize(static_cast<std::size_t>(Settings.DeadlyKinds));
  for (int I = 0; I < Settings.Hosts; ++I)
    this->IndexOfHost[entryOf(I, 0).id()] = I;
  for (int I = 0; I < Settings.Hosts; ++I)
    this->Hosts.push_back(
        std::make_unique<Host>(*this, I, ++this->LastProcess));
  for (int I = 0; I < Settings.Targets; ++I)
    this->Targets.push_back({"run" + std::to_string(++this->LastRun), {}, {}});
}

Hash128 CrashFleet::deadlyPart(int Kind) {
  return part("deadly" + std::to_string(Kind));
}

CrashFleet::Request CrashFleet::makeRequest(int Kind, int Subject,
                                            bool IsDeadly) {
  std::string Name = std::to_string(Kind);
  Request Next;
  Next.Traits.Content = part("content" + std::to_string(++this->LastRequest));
  Next.Traits.Parts = {part("first" + Name),
                       part("subject" + Name + "." + std::to_string(Subject))};
  if (IsDeadly) {
    Next.Traits.Parts.push_back(this->deadlyPart(Kind));
    Next.DeadlyKind = Kind;
  }
  std::sort(Next.Traits.Parts.begin(), Next.Traits.Parts.end());
  return Next;
}

void CrashFleet::arrive() {
  double Seconds = std::chrono::duration<double>(StepTime).count();
  auto Count = [&](double Rate) {
    double Expected = Rate * Seconds;
    int Whole = static_cast<int>(Expected);
    return Whole + (this->Rng.chance(Expected - Whole) ? 1 : 0);
  };
  auto AnyHost = [&] {
    return static_cast<int>(
        this->Rng.below(static_cast<std::uint64_t>(this->Settings.Hosts)));
  };
  auto AnySubject = [&] {
    return 1 + static_cast<int>(this->Rng.below(
                   static_cast<std::uint64_t>(this->Settings.Subjects)));
  };
  for (int I = Count(this->Settings.RequestsPerSecond); I > 0; --I) {
    int Kind = static_cast<int>(
        this->Rng.below(static_cast<std::uint64_t>(this->Settings.Kinds)));
    ++this->Results.SoundRequests;
    this->send(this->makeRequest(Kind, AnySubject(), false), AnyHost());
  }
  for (int Kind = 0; Kind < this->Settings.DeadlyKinds; ++Kind)
    for (int I = Count(this->Settings.DeadlyPerSecond); I > 0; --I)
      this->send(
          this->makeRequest(
              Kind, this->Settings.HasDeadlySubject ? 0 : AnySubject(), true),
          AnyHost());
  for (int I = Count(this->MadeUpPerSecond); I > 0; --I) {
    Request Lost;
    Lost.Traits.Content = part("made up" + std::to_string(++this->LastRequest));
    for (int J = 0; J < 20; ++J)
      Lost.Traits.Parts.push_back(
          part("made up" + std::to_string(++this->LastRequest)));
    std::sort(Lost.Traits.Parts.begin(), Lost.Traits.Parts.end());
    Host &Server = *this->Hosts[static_cast<std::size_t>(AnyHost())];
    Server.List.onLost(Lost.Traits, "made up" + std::to_string(++this->LastRun),
                       this->Now, this->Now);
  }
}

void CrashFleet::send(Request Next, int HostIndex) {
  Host &Server = *this->Hosts[static_cast<std::size_t>(HostIndex)];
  SendAdmission Admission = Server.List.admit(Next.Traits, this->Now);
  if (Admission >= SendAdmission::Busy) {
    if (Next.DeadlyKind < 0 && Next.Attempts == 0)
      ++this->Results.SoundRefused;
    return;
  }
  std::vector<Target *> Up;
  for (Target &Each : this->Targets)
    if (Each.BackAt <= this->Now)
      Up.push_back(&Each);
  if (Up.empty())
    return Server.List.endProbe(Next.Traits);
  ++Next.Attempts;
  if (Next.DeadlyKind >= 0) {
    auto Kind = static_cast<std::size_t>(Next.DeadlyKind);
    const auto &Times = this->CrashTimes[Kind];
    if (Times.size() >= AllowedCrashes &&
        this->Now > Times[AllowedCrashes - 1] + AllowedReaction)
      ++this->Results.LateSends[Kind];
  }
  auto Range = static_cast<std::uint64_t>(
      (this->Settings.MaxWork - this->Settings.MinWork) /
      std::chrono::milliseconds(1));
  Run Started;
  Started.Content = std::move(Next);
  Started.Host = HostIndex;
  Started.Process = Server.Process;
  Started.Admission = Admission;
  Started.SentAt = this->Now;
  Started.BeginsAt = this->Now + this->Settings.MinWork +
                     std::chrono::milliseconds(this->Rng.below(Range));
  Up[this->Rng.below(Up.size())]->Runs.push_back(std::move(Started));
}

void CrashFleet::crash(Target &Fallen) {
  std::string FallenRun = Fallen.Run;
  std::vector<Run> Lost = std::move(Fallen.Runs);
  Fallen.Runs.clear();
  Fallen.Run = "run" + std::to_string(++this->LastRun);
  Fallen.BackAt = this->Now + this->Settings.TargetRestartTime;
  for (Run &Each : Lost) {
    Host &Server = *this->Hosts[static_cast<std::size_t>(Each.Host)];
    if (Server.Process != Each.Process)
      continue;
    Server.List.onLost(Each.Content.Traits, FallenRun, Each.SentAt, this->Now);
    if (Each.Admission == SendAdmission::Probe)
      Server.List.endProbe(Each.Content.Traits);
    if (Each.Content.Attempts < MaxAttempts)
      this->send(std::move(Each.Content), Each.Host);
  }
}

void CrashFleet::crashTargets(double Share) {
  for (Target &Each : this->Targets)
    if (Each.BackAt <= this->Now && this->Rng.chance(Share))
      this->crash(Each);
}

void CrashFleet::step() {
  this->Now += StepTime;
  this->arrive();
  for (Target &Each : this->Targets) {
    bool HasCrashed = false;
    for (Run &Running : Each.Runs) {
      int Kind = Running.Content.DeadlyKind;
      if (Running.BeginsAt <= this->Now && Kind >= 0 &&
          !this->Healed.contains(Kind)) {
        auto Index = static_cast<std::size_t>(Kind);
        this->CrashTimes[Index].push_back(this->Now);
        ++this->Results.Crashes[Index];
        HasCrashed = true;
        break;
      }
    }
    if (HasCrashed) {
      this->crash(Each);
      continue;
    }
    std::erase_if(Each.Runs, [&](Run &Running) {
      if (Running.BeginsAt + BeginTime > this->Now)
        return false;
      Host &Server = *this->Hosts[static_cast<std::size_t>(Running.Host)];
      if (Server.Process != Running.Process)
        return true;
      Server.List.onAnswered(Running.Content.Traits, this->Now);
      if (Running.Admission == SendAdmission::Probe)
        Server.List.endProbe(Running.Content.Traits);
      if (Running.Content.Served)
        ++*Running.Content.Served;
      return true;
    });
  }
  while (!this->Network.empty() && this->Network.begin()->first <= this->Now) {
    Message Next = std::move(this->Network.begin()->second);
    this->Network.erase(this->Network.begin());
    (void)this->Hosts[static_cast<std::size_t>(Next.To)]->Handler(Incarnation{},
                                                                  Next.Body);
  }
  for (int I = 0; I < this->Settings.Hosts; ++I) {
    Host &Each = *this->Hosts[static_cast<std::size_t>(I)];
    if (Each.UpdateAt <= this->Now)
      this->update(Each, I);
  }
}

void CrashFleet::update(Host &Updated, int Index) {
  Updated.UpdateAt = this->Now + UpdateInterval;
  Updated.Reports.update();
  this->Results.MostTraits =
      std::max(this->Results.MostTraits, Updated.List.size());
  if (!this->reachesStore(Index))
    return;
  for (const QuarantineReport &Report : Updated.Reports.takeForLog()) {
    ++this->Results.LogReports;
    this->Log.push_back({this->Now, Report});
  }
  for (; Updated.NextRecord < this->Log.size() &&
         this->Log[Updated.NextRecord].At + LogDelay <= this->Now;
       ++Updated.NextRecord)
    Updated.List.onReport(this->Log[Updated.NextRecord].Report, this->Now);
}

void CrashFleet::restart(int Index) {
  auto &Place = this->Hosts[static_cast<std::size_t>(Index)];
  Place = std::make_unique<Host>(*this, Index, ++this->LastProcess);
  if (!this->reachesStore(Index))
    return;
  std::map<Hash128, QuarantineReport> Quarantined;
  for (const LogRecord &Record : this->Log) {
    if (Record.Report.Kind == QuarantineReportKind::Quarantined)
      Quarantined[Record.Report.Subject] = Record.Report;
    if (Record.Report.Kind == QuarantineReportKind::Cleared)
      for (const Hash128 &Trait : Record.Report.Traits)
        Quarantined.erase(Trait);
  }
  for (const auto &[Trait, Report] : Quarantined)
    Place->List.onReport(Report, this->Now);
  Place->NextRecord = this->Log.size();
}

void CrashFleet::runFor(Duration Span) {
  for (TimePoint End = this->Now + Span; this->Now < End;)
    this->step();
}

int CrashFleet::serveDeadlySubject(int Requests) {
  int Served = 0;
  for (int I = 0; I < Requests; ++I) {
    Request Next = this->makeRequest(0, 0, false);
    Next.Served = &Served;
    this->send(std::move(Next), I % this->Settings.Hosts);
    this->runFor(std::chrono::seconds(1));
  }
  return Served;
}

int CrashFleet::hostsThatRefuse(int Kind) {
  int Refusing = 0;
  for (const auto &Each : this->Hosts) {
    Request Asked = this->makeRequest(Kind, 1, true);
    if (Each->List.admission(Asked.Traits, this->Now) >= SendAdmission::Busy)
      ++Refusing;
  }
  return Refusing;
}

} // namespace bergamothook
