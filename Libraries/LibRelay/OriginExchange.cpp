#include "LibRelay/OriginExchange.h"

#include "LibPeer/MessageCodec.h"

#include <algorithm>
#include <limits>

namespace bergamothook {

namespace {

/// The most origins in one record of the log.
constexpr std::size_t MaxOriginsTaken = 2048;

} // namespace

OriginExchange::OriginExchange(OriginPolicy Policy, VersionRegister &Versions,
                               HostRoster &Roster, OriginHooks Hooks)
    : Policy(Policy), Versions(Versions), Roster(Roster),
      Hooks(std::move(Hooks)), Origins(Policy.MaxOrigins) {
  this->setHandlers();
}

void OriginExchange::setLog(
    std::function<Result<void>()> ReadVersions,
    std::function<Result<void>(unsigned Partition)> ReadOrigins) {
  this->Hooks.ReadVersions = std::move(ReadVersions);
  this->Hooks.ReadOrigins = std::move(ReadOrigins);
}

void OriginExchange::setHandlers() {
  auto Handle = [this]<typename Message>(OriginMessageKind Kind, auto Apply,
                                         const Message &) {
    this->Hooks.SetHandler(static_cast<std::uint16_t>(Kind),
                           [Apply](const Incarnation &From,
                                   std::string_view Body) -> Result<void> {
                             BOOST_OUTCOME_TRY(Read,
                                               decodeMessage<Message>(Body));
                             if (!Read.isValid())
                               return PeerError::Malformed;
                             Apply(From, Read);
                             return success();
                           });
  };
  Handle(
      OriginMessageKind::Report,
      [this](const Incarnation &, const OriginReport &Report) {
        this->onReport(Report);
      },
      OriginReport{});
  Handle(
      OriginMessageKind::Question,
      [this](const Incarnation &From, const OriginQuestion &Question) {
        this->onQuestion(From, Question);
      },
      OriginQuestion{});
  Handle(
      OriginMessageKind::Answer,
      [this](const Incarnation &From, const OriginAnswer &Answer) {
        this->onAnswer(From, Answer);
      },
      OriginAnswer{});
}

void OriginExchange::onBegun(const std::string &Service,
                             const StreamOrigin &Origin) {
  this->Origins.put(Origin);
  bool IsMixed = this->Versions.isMixed(Service);
  this->OwnStreams.push_back({this->now(), Service, Origin, IsMixed});
  if (this->OwnStreams.size() > this->Policy.MaxOwnStreams)
    this->OwnStreams.pop_front();
  if (IsMixed)
    this->report({Origin});
}

void OriginExchange::update() {
  TimePoint Now = this->now();
  while (!this->OwnStreams.empty() && Now - this->OwnStreams.front().BegunAt >=
                                          this->Versions.policy().StreamLife)
    this->OwnStreams.pop_front();
  std::set<std::string> Mixed = this->Versions.mixedServices();
  std::vector<StreamOrigin> Unreported;
  if (!Mixed.empty())
    for (OwnStream &Own : this->OwnStreams)
      if (!Own.IsReported && Mixed.contains(Own.Service)) {
        Own.IsReported = true;
        Unreported.push_back(Own.Origin);
      }
  if (!Unreported.empty())
    this->report(Unreported);
}

void OriginExchange::onLogRestored() {
  for (OwnStream &Own : this->OwnStreams)
    Own.IsReported = false;
}

void OriginExchange::report(const std::vector<StreamOrigin> &Reported) {
  std::map<unsigned, std::vector<StreamOrigin>> ByPartition;
  for (const StreamOrigin &Origin : Reported)
    ByPartition[this->partitionOf(Origin.Stream)].push_back(Origin);
  for (const auto &[Partition, Origins] : ByPartition)
    this->sendReport(Partition, Origins);
}

void OriginExchange::sendReport(unsigned Partition,
                                const std::vector<StreamOrigin> &Reported) {
  // All hosts rank the homes alike, so the same ones write.
  std::vector<HostId> Homes = this->Roster.homes(Partition);
  std::string Key = "origins/" + std::to_string(Partition);
  std::sort(Homes.begin(), Homes.end(), [&](HostId Left, HostId Right) {
    return this->Roster.ranksBefore(Key, Left, Right);
  });
  for (std::size_t Rank = 0; Rank < Homes.size(); ++Rank) {
    bool IsForLog = Rank < this->Policy.Writers;
    if (Homes[Rank] == this->Roster.self().id()) {
      for (const StreamOrigin &Origin : Reported)
        if (IsForLog)
          this->queueForLog(Origin);
      continue;
    }
    for (std::size_t At = 0; At < Reported.size(); At += MaxOriginsInReport) {
      auto First = Reported.begin() + static_cast<std::ptrdiff_t>(At);
      auto Count = std::min(MaxOriginsInReport, Reported.size() - At);
      OriginReport Message{{First, First + static_cast<std::ptrdiff_t>(Count)},
                           IsForLog};
      this->Hooks.Send(Homes[Rank],
                       static_cast<std::uint16_t>(OriginMessageKind::Report),
                       encodeMessage(Message));
    }
  }
}

void OriginExchange::queueForLog(const StreamOrigin &Origin) {
  auto &Queue = this->ForLog[this->partitionOf(Origin.Stream)];
  Queue.push_back(Origin);
  if (Queue.size() > this->Policy.MaxPendingRecords)
    Queue.pop_front();
  this->LogWork.notify();
}

bool OriginExchange::hasForLog(unsigned Partition) const {
  auto Found = this->ForLog.find(Partition);
  return Found != this->ForLog.end() && !Found->second.empty();
}

std::vector<StreamOrigin> OriginExchange::takeForLog(unsigned Partition) {
  auto &Queue = this->ForLog[Partition];
  auto Count = std::min(Queue.size(), MaxOriginsTaken);
  auto End = Queue.begin() + static_cast<std::ptrdiff_t>(Count);
  std::vector<StreamOrigin> Taken(Queue.begin(), End);
  Queue.erase(Queue.begin(), End);
  return Taken;
}

void OriginExchange::putBackForLog(unsigned Partition,
                                   const std::vector<StreamOrigin> &Unwritten) {
  auto &Queue = this->ForLog[Partition];
  Queue.insert(Queue.begin(), Unwritten.begin(), Unwritten.end());
  while (Queue.size() > this->Policy.MaxPendingRecords)
    Queue.pop_front();
}

void OriginExchange::onRead(const std::vector<StreamOrigin> &Read) {
  for (const StreamOrigin &Origin : Read)
    this->Origins.put(Origin);
}

void OriginExchange::onReport(const OriginReport &Report) {
  for (const StreamOrigin &Origin : Report.Origins) {
    this->Origins.put(Origin);
    if (Report.IsForLog)
      this->queueForLog(Origin);
  }
}

void OriginExchange::onQuestion(const Incarnation &From,
                                const OriginQuestion &Question) {
  OriginAnswer Answer;
  Answer.Number = Question.Number;
  auto Found = this->Origins.find(Question.Stream);
  Answer.IsKnown = Found.has_value();
  Answer.Version = Found.value_or(AmbiguousVersion);
  Answer.IsCurrent =
      this->Versions.isCurrent(Question.Service, this->leaseNow());
  std::optional<VersionId> Only = this->unmixedVersion(Question.Service);
  if (auto Recorded = this->Versions.onlyVersion(Question.Service);
      Recorded && Answer.IsCurrent)
    Only = versionIdOf(*Recorded);
  Answer.IsOnly = Only.has_value();
  Answer.OnlyVersion = Only.value_or(AmbiguousVersion);
  this->Hooks.Send(From.Host,
                   static_cast<std::uint16_t>(OriginMessageKind::Answer),
                   encodeMessage(Answer));
}

void OriginExchange::onAnswer(const Incarnation &From,
                              const OriginAnswer &Answer) {
  auto Found = this->Lookups.find(Answer.Number);
  if (Found == this->Lookups.end())
    return this->onPollAnswer(From, Answer);
  if (Found->second->Unanswered.erase(From.Host) == 0)
    return;
  Found->second->Answers.push_back(Answer);
  Found->second->Changed.notify();
}

void OriginExchange::onPollAnswer(const Incarnation &From,
                                  const OriginAnswer &Answer) {
  auto Found = std::find_if(
      this->Polls.begin(), this->Polls.end(),
      [&](const auto &Each) { return Each.second.Number == Answer.Number; });
  if (Found == this->Polls.end() ||
      Found->second.Unanswered.erase(From.Host) == 0)
    return;
  Poll &Asked = Found->second;
  if (!Answer.IsOnly || Answer.OnlyVersion != Asked.OnlyVersion)
    Asked.IsRefuted = true;
  if (Asked.isSettled())
    for (auto &[Number, Waiting] : this->Lookups)
      Waiting->Changed.notify();
}

std::optional<VersionId>
OriginExchange::unmixedVersion(const std::string &Service) const {
  auto Only = this->Versions.onlyVersion(Service);
  if (!Only || this->Versions.isMixed(Service))
    return std::nullopt;
  return versionIdOf(*Only);
}

void OriginExchange::pollFleet(const std::string &Service,
                               TimePoint ResumedAt) {
  auto Only = this->unmixedVersion(Service);
  // A host that has just started does not know all others.
  if (!Only || !this->Roster.settledAt())
    return;
  TimePoint Now = this->leaseNow();
  auto [Position, IsFirst] = this->Polls.try_emplace(Service);
  Poll &Latest = Position->second;
  Duration Interval = this->Policy.PollInterval +
                      this->Policy.PollIntervalPerHost *
                          static_cast<Duration::rep>(this->Roster.hosts());
  bool MayBegin =
      IsFirst || (Now - Latest.BegunAt >= Interval &&
                  (Latest.isSettled() ||
                   Now - Latest.BegunAt >= this->Policy.PollTimeout));
  if (MayBegin && (IsFirst || Latest.BegunAt < ResumedAt)) {
    Latest = {};
    Latest.Number = ++this->LastNumber;
    Latest.BegunAt = Now;
    Latest.OnlyVersion = *Only;
    // A host that left may have begun streams that are still resumed.
    TimePoint RemovedAfter =
        this->Hooks.Tasks.Now() - this->Versions.policy().StreamLife;
    for (HostId Each : this->Roster.firstHosts(
             Service, std::numeric_limits<std::size_t>::max(), RemovedAfter))
      if (Each != this->Roster.self().id())
        Latest.Unanswered.insert(Each);
    this->askUnanswered(Service, Latest);
  } else if (!Latest.isSettled() &&
             Now - Latest.AskedAt >= this->Policy.PollRepeat) {
    this->askUnanswered(Service, Latest);
  }
}

void OriginExchange::askUnanswered(const std::string &Service, Poll &Asked) {
  Asked.AskedAt = this->leaseNow();
  std::string Question =
      encodeMessage(OriginQuestion{Asked.Number, {}, Service});
  for (HostId Host : Asked.Unanswered)
    this->Hooks.Send(Host,
                     static_cast<std::uint16_t>(OriginMessageKind::Question),
                     Question);
}

const OriginExchange::Poll *OriginExchange::pollFor(const std::string &Service,
                                                    TimePoint ResumedAt) const {
  auto Found = this->Polls.find(Service);
  if (Found == this->Polls.end() || Found->second.BegunAt < ResumedAt)
    return nullptr;
  return &Found->second;
}

void OriginExchange::readLog(const std::shared_ptr<Lookup> &Asked) {
  this->Hooks.Tasks.Spawn([this, Asked] {
    Result<void> Read = success();
    if (!this->Versions.isCurrent(Asked->Service, Asked->ResumedAt))
      Read = this->Hooks.ReadVersions();
    if (Read && !this->Versions.onlyVersion(Asked->Service))
      Read = this->Hooks.ReadOrigins(this->partitionOf(Asked->Stream));
    Asked->IsLogRead = true;
    Asked->HasLogFailed = !Read;
    Asked->Changed.notify();
  });
}

OriginDecision OriginExchange::recordedVersion(const Lookup &Asked) const {
  auto Only = this->Versions.onlyVersion(Asked.Service);
  if (Only && this->Versions.isCurrent(Asked.Service, Asked.ResumedAt))
    return {versionIdOf(*Only), OriginBasis::Record};
  for (const OriginAnswer &Answer : Asked.Answers)
    if (Answer.IsOnly && Answer.IsCurrent)
      return {Answer.OnlyVersion, OriginBasis::Record};
  // A host keeps the versions at which it may begin streams. So if every host
  // knows one version only, no stream began at another one.
  const Poll *Asking = this->pollFor(Asked.Service, Asked.ResumedAt);
  if (Asking && !Asking->IsRefuted && Asking->Unanswered.empty() &&
      this->unmixedVersion(Asked.Service) == Asking->OnlyVersion)
    return {Asking->OnlyVersion, OriginBasis::Fleet};
  return {};
}

std::optional<VersionId>
OriginExchange::knownVersion(const Lookup &Asked) const {
  std::optional<VersionId> Known = this->Origins.find(Asked.Stream);
  for (const OriginAnswer &Answer : Asked.Answers) {
    if (!Answer.IsKnown)
      continue;
    Known = Known.value_or(Answer.Version) == Answer.Version ? Answer.Version
                                                             : AmbiguousVersion;
  }
  return Known;
}

OriginDecision OriginExchange::decide(const Lookup &Asked) const {
  OriginDecision Recorded = this->recordedVersion(Asked);
  std::optional<VersionId> Known = this->knownVersion(Asked);
  if (!Known)
    return Recorded;
  if (Known == AmbiguousVersion ||
      (Recorded.Version && Recorded.Version != Known))
    return {std::nullopt, OriginBasis::Contradiction};
  return {Known, OriginBasis::Stream};
}

bool OriginExchange::isLookupDone(const Lookup &Asked, bool AwaitsHomes) const {
  if (this->recordedVersion(Asked).Version)
    return true;
  if (AwaitsHomes && !Asked.Unanswered.empty())
    return false;
  if (!AwaitsHomes && this->knownVersion(Asked))
    return true;
  if (!Asked.IsLogRead)
    return false;
  if (!Asked.HasLogFailed || this->knownVersion(Asked) ||
      !this->unmixedVersion(Asked.Service) || !this->Roster.settledAt())
    return true;
  const Poll *Asking = this->pollFor(Asked.Service, Asked.ResumedAt);
  return Asking && Asking->isSettled();
}

OriginDecision
OriginExchange::resolve(const std::string &Service, const Hash128 &Stream,
                        TimePoint ResumedAt, TimePoint Deadline,
                        const std::function<bool()> &IsCancelled) {
  const Runtime &Tasks = this->Hooks.Tasks;
  auto Asked = std::make_shared<Lookup>();
  Asked->Service = Service;
  Asked->Stream = Stream;
  TimePoint Begin = this->now();
  Asked->ResumedAt = this->leaseNow() - (Begin - ResumedAt);
  if (this->recordedVersion(*Asked).Version)
    return this->decide(*Asked);
  std::uint64_t Number = ++this->LastNumber;
  this->Lookups.emplace(Number, Asked);
  this->askHomes(*Asked, Number);
  this->readLog(Asked);
  // What this host knows itself does not suffice: a caller may have used the
  // same id at another host.
  TimePoint HomesEnd = std::min(Deadline, Begin + this->Policy.HomeTimeout);
  TimePoint End = std::min(Deadline, Begin + this->Policy.LookupTimeout);
  for (;;) {
    TimePoint Now = this->now();
    bool AwaitsHomes = Now < HomesEnd;
    if (IsCancelled() || Now >= End || this->isLookupDone(*Asked, AwaitsHomes))
      break;
    // The log may not answer at all.
    if (Asked->HasLogFailed || (!AwaitsHomes && !Asked->IsLogRead))
      this->pollFleet(Service, Asked->ResumedAt);
    std::uint64_t Seen = Asked->Changed.generation();
    TimePoint Next = std::min(End, Now + this->Policy.PollRepeat);
    if (AwaitsHomes)
      Next = std::min(Next, HomesEnd);
    Tasks.waitUntil(Asked->Changed, Next, [&] {
      return IsCancelled() || Asked->Changed.generation() != Seen;
    });
  }
  this->Lookups.erase(Number);
  return this->decide(*Asked);
}

void OriginExchange::askHomes(Lookup &Asked, std::uint64_t Number) {
  std::string Question =
      encodeMessage(OriginQuestion{Number, Asked.Stream, Asked.Service});
  for (HostId Home : this->Roster.homes(this->partitionOf(Asked.Stream))) {
    if (Home == this->Roster.self().id())
      continue;
    Asked.Unanswered.insert(Home);
    this->Hooks.Send(Home,
                     static_cast<std::uint16_t>(OriginMessageKind::Question),
                     Question);
  }
}

const char *nameOf(OriginBasis Basis) {
  switch (Basis) {
  case OriginBasis::Stream:
    return "stream";
  case OriginBasis::Record:
    return "record";
  case OriginBasis::Fleet:
    return "fleet";
  case OriginBasis::Contradiction:
    return "contradiction";
  case OriginBasis::Unknown:
    return "unknown";
  }
  return "unknown_basis";
}

} // namespace bergamothook
