#include "VersionFleet.h"

namespace bergamothook {

namespace {

constexpr Duration StepTime = std::chrono::milliseconds(10);
constexpr Duration ListReadInterval = std::chrono::milliseconds(360);
constexpr Duration VersionsCheckInterval = std::chrono::milliseconds(100);
constexpr Duration OriginWriteInterval = std::chrono::milliseconds(50);
constexpr Duration CopyInterval = std::chrono::milliseconds(500);
constexpr Duration MaxMessageDelay = std::chrono::milliseconds(5);
constexpr int MaxResumptions = 3;
const std::string Service = "engines";

std::error_code storeFailure() {
  return std::make_error_code(std::errc::timed_out);
}

RosterHost entryOf(int Index, std::uint64_t Run) {
  return {"host" + std::to_string(Index), "domain" + std::to_string(Index % 3),
          "", Run};
}

} // namespace

VersionFleet::Host::Host(VersionFleet &Fleet, int Index, std::uint64_t Run)
    : Run(Run), Roster(entryOf(Index, Run), {}),
      Versions(Fleet.Settings.Versions,
               [this, &Fleet](const std::string &Name) {
                 std::size_t Rank = 0;
                 for (HostId Each : this->Roster.firstHosts(
                          Name, this->Roster.hosts(), Fleet.now())) {
                   if (Each == this->Roster.self().id())
                     break;
                   ++Rank;
                 }
                 return Rank;
               }),
      Origins({}, this->Versions, this->Roster,
              {Fleet.runtimeOf(*this), [&Fleet] { return Fleet.now(); },
               [&Fleet, Index](HostId To, std::uint16_t Kind,
                               std::string_view Body) {
                 ++Fleet.Results.Messages;
                 if (Fleet.Rng.below(100) >= Fleet.Settings.LostPerCent)
                   Fleet.Network.emplace(
                       Fleet.now() + Fleet.randomUpTo(MaxMessageDelay),
                       Message{Index, Fleet.IndexOfHost.at(To), Kind,
                               std::string(Body)});
               },
               [this](std::uint16_t Kind, PeerNode::Handler Callback) {
                 this->Handlers[Kind] = std::move(Callback);
               },
               [&Fleet, Index] { return Fleet.readVersions(Index); },
               [&Fleet, Index](unsigned Partition) {
                 return Fleet.readOrigins(Index, Partition);
               }}),
      ListReadAt(Fleet.now() + Fleet.randomUpTo(ListReadInterval)),
      VersionsCheckAt(Fleet.now()), Era(Fleet.Era) {
  this->Versions.setServices({Service});
  this->Roster.setSettled(Fleet.now());
  for (int Other = 0; Other < Fleet.Settings.Hosts; ++Other)
    if (Other != Index)
      this->Roster.put(entryOf(Other, 1));
}

VersionFleet::VersionFleet(VersionFleetSettings Settings, std::uint64_t Seed)
    : Settings(Settings), Rng(Seed),
      Hosts(static_cast<std::size_t>(Settings.Hosts)) {
  for (int I = 0; I < Settings.Hosts; ++I)
    this->IndexOfHost[entryOf(I, 0).id()] = I;
  this->start(0, Settings.Hosts);
}

VersionFleet::~VersionFleet() {
  this->Simulated.runUntil([this] { return this->ResumptionsInProgress == 0; },
                           std::chrono::minutes(1));
}

Runtime VersionFleet::runtimeOf(const Host &Process) {
  Runtime Hooks = this->Simulated.hooks();
  Hooks.Now = [this, &Process] { return this->now() - Process.Suspended; };
  Hooks.WaitOn = [this, &Process](Event &Signal, std::uint64_t Seen,
                                  TimePoint Deadline) {
    this->Simulated.hooks().WaitOn(
        Signal, Seen,
        Deadline == TimePoint::max() ? Deadline : Deadline + Process.Suspended);
  };
  return Hooks;
}

void VersionFleet::freeze(std::set<int> Stopped, bool Suspends) {
  this->Frozen = std::move(Stopped);
  this->IsSuspended = Suspends;
}

void VersionFleet::leave(int Index) {
  this->kill(Index, Index + 1);
  for (int Other = 0; Other < this->Settings.Hosts; ++Other)
    if (this->hostAt(Other) && this->reachesStore(Other))
      this->hostAt(Other)->Roster.remove(
          entryOf(Index, 1).Name, this->now() - this->hostAt(Other)->Suspended);
}

std::set<int> VersionFleet::homesOf(unsigned Partition) {
  std::set<int> Homes;
  for (HostId Home : this->hostAt(0)->Roster.homes(Partition))
    Homes.insert(this->IndexOfHost.at(Home));
  return Homes;
}

bool VersionFleet::isCut(const Message &Sent) const {
  if ((Sent.To < this->SplitBelow) != (Sent.From < this->SplitBelow))
    return true;
  bool IsFromInside = this->CutPeers.contains(Sent.From);
  bool IsToInside = this->CutPeers.contains(Sent.To);
  return IsFromInside != IsToInside && (IsFromInside || this->IsCutBothWays);
}

Duration VersionFleet::randomUpTo(Duration Limit) {
  return std::chrono::duration_cast<Duration>(Limit * this->Rng.uniform());
}

int VersionFleet::randomHost() {
  for (int Tries = 0; Tries < 4 * this->Settings.Hosts; ++Tries) {
    int Index = static_cast<int>(
        this->Rng.below(static_cast<std::uint64_t>(this->Settings.Hosts)));
    if (this->hostAt(Index) && !this->Frozen.contains(Index))
      return Index;
  }
  return -1;
}

void VersionFleet::setTargets(const std::string &Version, int Count) {
  this->Targets[Version] = Count;
  if (Count == 0)
    this->Targets.erase(Version);
}

void VersionFleet::kill(int First, int End) {
  for (int Index = First; Index < End; ++Index)
    if (this->hostAt(Index))
      this->KilledHosts.push_back(
          std::move(this->Hosts[static_cast<std::size_t>(Index)]));
  std::vector<Stream> Kept;
  for (Stream &Each : this->Streams)
    if (Each.Host >= First && Each.Host < End)
      this->breakOff(std::move(Each));
    else
      Kept.push_back(std::move(Each));
  this->Streams = std::move(Kept);
}

void VersionFleet::start(int First, int End) {
  for (int Index = First; Index < End; ++Index) {
    this->Hosts[static_cast<std::size_t>(Index)] =
        std::make_unique<Host>(*this, Index, ++this->LastRun);
    // Hosts that reach the store see its entry.
    for (int Other = 0; Other < this->Settings.Hosts; ++Other)
      if (this->hostAt(Other) && this->reachesStore(Other))
        this->hostAt(Other)->Roster.put(entryOf(Index, 1));
  }
}

void VersionFleet::breakStreams(double Share) {
  std::vector<Stream> Kept;
  for (Stream &Each : this->Streams)
    if (this->Rng.uniform() < Share)
      this->breakOff(std::move(Each));
    else
      Kept.push_back(std::move(Each));
  this->Streams = std::move(Kept);
}

void VersionFleet::restoreStore(Duration Age) {
  TimePoint Wanted = this->now() - Age;
  while (!this->Copies.empty() && this->Copies.back().first > Wanted)
    this->Copies.pop_back();
  if (!this->Copies.empty())
    this->Store = this->Copies.back().second;
  ++this->Era;
}

void VersionFleet::runFor(Duration Span) {
  for (TimePoint End = this->now() + Span; this->now() < End;) {
    this->step();
    this->Simulated.runFor(StepTime);
  }
}

void VersionFleet::step() {
  TimePoint Now = this->now();
  if (this->Copies.empty() || Now - this->Copies.back().first >= CopyInterval)
    this->Copies.emplace_back(Now, this->Store);
  if (this->Copies.size() > 40)
    this->Copies.pop_front();
  while (!this->Network.empty() && this->Network.begin()->first <= Now) {
    Message Arrived = std::move(this->Network.begin()->second);
    this->Network.erase(this->Network.begin());
    Host *To = this->hostAt(Arrived.To);
    if (To && this->Frozen.contains(Arrived.To))
      this->Network.emplace(Now + StepTime, std::move(Arrived));
    else if (To && !this->isCut(Arrived))
      (void)To->Handlers.at(Arrived.Kind)({entryOf(Arrived.From, 0).id(), 1},
                                          Arrived.Body);
  }
  for (int Index = 0; Index < this->Settings.Hosts; ++Index)
    if (this->hostAt(Index) && !this->Frozen.contains(Index))
      this->stepHost(Index);
    else if (this->hostAt(Index) && this->IsSuspended)
      this->hostAt(Index)->Suspended += StepTime;
  double PerStep = this->Settings.StreamsPerSecond *
                   std::chrono::duration<double>(StepTime).count();
  for (; PerStep > 0; PerStep -= 1)
    if (this->Rng.uniform() < PerStep)
      this->beginStream();
  std::erase_if(this->Streams,
                [Now](const Stream &Each) { return Each.EndsAt <= Now; });
  while (!this->Broken.empty() && this->Broken.begin()->first <= Now) {
    Stream Next = std::move(this->Broken.begin()->second);
    this->Broken.erase(this->Broken.begin());
    this->resume(std::move(Next));
  }
}

void VersionFleet::stepHost(int Index) {
  Host &Stepped = *this->hostAt(Index);
  TimePoint Now = this->now();
  if (!this->reachesStore(Index))
    return;
  // Pauses are measured by the clock that stands still while a machine is
  // suspended.
  TimePoint Steady = Now - Stepped.Suspended;
  if (Stepped.ListReadAt <= Steady)
    this->readList(Stepped);
  if (Stepped.Era != this->Era) {
    Stepped.Era = this->Era;
    Stepped.NextOrigin.clear();
    Stepped.Versions.onLogRestored();
    Stepped.Origins.onLogRestored();
    Stepped.VersionsEnd = this->Store.VersionsEnd;
    Stepped.Versions.onRead(this->Store.Versions, Now);
  }
  if (Stepped.VersionsCheckAt <= Steady) {
    Stepped.VersionsCheckAt = Steady + VersionsCheckInterval;
    if (Stepped.Versions.isReadDue(Now)) {
      ++this->Results.VersionReads;
      Stepped.VersionsEnd = this->Store.VersionsEnd;
      Stepped.Versions.onRead(this->Store.Versions, Now);
    }
    this->writeVersions(Index);
    Stepped.Origins.update();
  }
  if (Stepped.OriginWriteAt > Now)
    return;
  for (unsigned I = 0; I < Stepped.Origins.policy().Partitions; ++I) {
    if (!Stepped.Origins.hasForLog(I))
      continue;
    Stepped.OriginWriteAt = Now + OriginWriteInterval;
    ++this->Results.OriginWrites;
    for (const StreamOrigin &Origin : Stepped.Origins.takeForLog(I))
      this->Store.Origins[I].push_back(Origin);
  }
}

void VersionFleet::readList(Host &Reader) {
  Reader.ListReadAt = this->now() - Reader.Suspended + ListReadInterval;
  Reader.List = this->Targets;
  for (const auto &[Version, Count] : this->Targets)
    Reader.Versions.onListed(Service, Version, this->now());
  Reader.Versions.onListRead(this->now());
}

VersionFleet::Host *VersionFleet::awaitStore(int Index) {
  const Host *Before = this->hostAt(Index);
  bool IsAnswered = this->reachesStore(Index);
  // A store that turns a host away says so at once.
  bool IsRefused = this->TurnedAway.contains(Index);
  this->Simulated.hooks().sleepUntil(
      this->now() + (IsAnswered || IsRefused ? this->Settings.StoreDelay
                                             : this->Settings.StoreTimeout));
  Host *After = this->hostAt(Index);
  return After == Before && IsAnswered && this->reachesStore(Index) ? After
                                                                    : nullptr;
}

Result<void> VersionFleet::readVersions(int Index) {
  ++this->Results.VersionReads;
  TimePoint Begin = this->now();
  Host *Reader = this->awaitStore(Index);
  if (!Reader)
    return storeFailure();
  Reader->VersionsEnd = this->Store.VersionsEnd;
  Reader->Versions.onRead(this->Store.Versions, Begin);
  return success();
}

Result<void> VersionFleet::readOrigins(int Index, unsigned Partition) {
  ++this->Results.OriginReads;
  Host *Reader = this->awaitStore(Index);
  if (!Reader)
    return storeFailure();
  const auto &Stored = this->Store.Origins[Partition];
  std::size_t &Next = Reader->NextOrigin[Partition];
  Reader->Origins.onRead(
      {Stored.begin() + static_cast<std::ptrdiff_t>(Next), Stored.end()});
  Next = Stored.size();
  return success();
}

void VersionFleet::writeVersions(int Index) {
  Host &Writer = *this->hostAt(Index);
  auto Proposed = Writer.Versions.proposals(this->now());
  if (Proposed.empty())
    return;
  ++this->Results.VersionWrites;
  if (Writer.VersionsEnd == this->Store.VersionsEnd) {
    for (const auto &[Name, Versions] : Proposed)
      this->Store.Versions[Name] = Versions;
    ++this->Store.VersionsEnd;
  }
  ++this->Results.VersionReads;
  Writer.VersionsEnd = this->Store.VersionsEnd;
  Writer.Versions.onRead(this->Store.Versions, this->now());
}

void VersionFleet::beginStream() {
  int Index = this->randomHost();
  if (Index < 0)
    return;
  Host &Relaying = *this->hostAt(Index);
  if (Relaying.List.empty() || !Relaying.Versions.hasRead())
    return; // The host is not ready yet.
  std::vector<std::string> Usable;
  for (const auto &[Version, Count] : Relaying.List)
    if (this->Targets.contains(Version) &&
        Relaying.Versions.mayBegin(Service, Version))
      Usable.insert(Usable.end(), static_cast<std::size_t>(Count), Version);
  if (Usable.empty()) {
    ++this->Results.NotBegun;
    return;
  }
  ++this->Results.Begun;
  constexpr std::uint64_t FewIds = 50;
  ++this->LastId;
  Stream Next;
  Next.Id =
      std::to_string(this->ReusesIds ? this->LastId % FewIds : this->LastId);
  Next.Version = Usable[this->Rng.below(Usable.size())];
  Next.Host = Index;
  Next.EndsAt =
      this->now() + this->Settings.MinStream +
      this->randomUpTo(this->Settings.MaxStream - this->Settings.MinStream);
  Relaying.Origins.onBegun(Service, {streamIdOf("team", Service, Next.Id),
                                     versionIdOf(Next.Version)});
  this->Streams.push_back(std::move(Next));
}

void VersionFleet::breakOff(Stream Broken) {
  if (++Broken.Resumptions <= MaxResumptions)
    this->Broken.emplace(this->now() +
                             this->randomUpTo(this->Settings.MaxResumeDelay),
                         std::move(Broken));
}

void VersionFleet::resume(Stream Broken) {
  int Index = this->randomHost();
  if (Index < 0) {
    this->Broken.emplace(this->now() + this->Settings.MaxResumeDelay,
                         std::move(Broken));
    return;
  }
  ++this->ResumptionsInProgress;
  ++this->Results.Resumptions;
  this->Simulated.hooks().Spawn([this, Index, Broken] {
    Host *Relaying = this->hostAt(Index);
    TimePoint Begin = this->now();
    TimePoint HostBegin = Begin - Relaying->Suspended;
    auto Version =
        Relaying->Origins
            .resolve(Service, streamIdOf("team", Service, Broken.Id), HostBegin,
                     HostBegin + std::chrono::seconds(5), [] { return false; })
            .Version;
    --this->ResumptionsInProgress;
    if (this->hostAt(Index) != Relaying)
      return; // The host was killed meanwhile.
    if (this->Frozen.empty())
      this->Results.LongestLookup =
          std::max(this->Results.LongestLookup, this->now() - Begin);
    bool IsServed = this->Targets.contains(Broken.Version) &&
                    Relaying->List.contains(Broken.Version);
    this->Results.Resumed += IsServed ? 1 : 0;
    if (!Version)
      return;
    if (*Version == versionIdOf(Broken.Version)) {
      this->Results.Continued += IsServed ? 1 : 0;
      Stream Next = Broken;
      Next.Host = Index;
      if (IsServed)
        this->Streams.push_back(std::move(Next));
      return;
    }
    for (const auto &[Other, Count] : Relaying->List)
      if (versionIdOf(Other) == *Version)
        ++this->Results.Joined;
  });
}

} // namespace bergamothook
