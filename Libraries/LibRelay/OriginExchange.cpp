#include "LibRelay/OriginExchange.h"

#include "LibPeer/MessageCodec.h"

#include <algorithm>

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
  auto Only = this->Versions.onlyVersion(Question.Service);
  Answer.IsOnly = Only.has_value();
  Answer.IsCurrent = this->Versions.isCurrent(Question.Service, this->now());
  if (Only)
    Answer.OnlyVersion = versionIdOf(*Only);
  this->Hooks.Send(From.Host,
                   static_cast<std::uint16_t>(OriginMessageKind::Answer),
                   encodeMessage(Answer));
}

void OriginExchange::onAnswer(const Incarnation &From,
                              const OriginAnswer &Answer) {
  auto Found = this->Lookups.find(Answer.Number);
  if (Found == this->Lookups.end() ||
      Found->second->Unanswered.erase(From.Host) == 0)
    return;
  Found->second->Answers.push_back(Answer);
  Found->second->Changed.notify();
}

void OriginExchange::readLog(const std::shared_ptr<Lookup> &Asked,
                             const std::string &Service, const Hash128 &Stream,
                             TimePoint ResumedAt) {
  this->Hooks.Tasks.Spawn([this, Asked, Service, Stream, ResumedAt] {
    Result<void> Read = success();
    if (!this->Versions.isCurrent(Service, ResumedAt))
      Read = this->Hooks.ReadVersions();
    if (Read && !this->Versions.onlyVersion(Service))
      Read = this->Hooks.ReadOrigins(this->partitionOf(Stream));
    Asked->IsLogRead = true;
    Asked->HasLogFailed = !Read;
    Asked->Changed.notify();
  });
}

std::optional<VersionId>
OriginExchange::onlyVersion(const std::string &Service, TimePoint ResumedAt,
                            const Lookup *Asked) const {
  auto Only = this->Versions.onlyVersion(Service);
  if (Only && this->Versions.isCurrent(Service, ResumedAt))
    return versionIdOf(*Only);
  if (!Asked)
    return std::nullopt;
  for (const OriginAnswer &Answer : Asked->Answers)
    if (Answer.IsOnly && Answer.IsCurrent)
      return Answer.OnlyVersion;
  // While no host reaches the log, no version is added to the record.
  bool IsLogOut = Asked->HasLogFailed && Only && !Asked->Answers.empty() &&
                  Asked->Unanswered.empty();
  bool AllAgree = std::all_of(Asked->Answers.begin(), Asked->Answers.end(),
                              [&](const OriginAnswer &Answer) {
                                return Only && Answer.IsOnly &&
                                       Answer.OnlyVersion == versionIdOf(*Only);
                              });
  if (IsLogOut && AllAgree)
    return versionIdOf(*Only);
  return std::nullopt;
}

std::optional<VersionId>
OriginExchange::knownVersion(const Hash128 &Stream, const Lookup &Asked) const {
  std::optional<VersionId> Known = this->Origins.find(Stream);
  for (const OriginAnswer &Answer : Asked.Answers) {
    if (!Answer.IsKnown)
      continue;
    Known = Known.value_or(Answer.Version) == Answer.Version ? Answer.Version
                                                             : AmbiguousVersion;
  }
  return Known;
}

std::optional<VersionId>
OriginExchange::resolve(const std::string &Service, const Hash128 &Stream,
                        TimePoint ResumedAt, TimePoint Deadline,
                        const std::function<bool()> &IsCancelled) {
  if (auto Only = this->onlyVersion(Service, ResumedAt, nullptr))
    return Only;
  auto Asked = std::make_shared<Lookup>();
  std::uint64_t Number = ++this->LastNumber;
  this->Lookups.emplace(Number, Asked);
  this->ask(*Asked, Number, Service, Stream);
  this->readLog(Asked, Service, Stream, ResumedAt);
  // What this host knows itself does not suffice: a caller may have used the
  // same id at another host.
  std::optional<VersionId> Only;
  auto IsDone = [&] {
    Only = this->onlyVersion(Service, ResumedAt, Asked.get());
    return Only || IsCancelled() ||
           (Asked->IsLogRead && Asked->Unanswered.empty());
  };
  const Runtime &Tasks = this->Hooks.Tasks;
  TimePoint Begin = this->now();
  if (!Tasks.waitUntil(Asked->Changed,
                       std::min(Deadline, Begin + this->Policy.HomeTimeout),
                       IsDone))
    Tasks.waitUntil(Asked->Changed,
                    std::min(Deadline, Begin + this->Policy.LookupTimeout),
                    [&] {
                      return IsDone() || Asked->IsLogRead ||
                             this->knownVersion(Stream, *Asked);
                    });
  this->Lookups.erase(Number);
  if (!Asked->IsLogRead) {
    Asked->HasLogFailed = true;
    Only = this->onlyVersion(Service, ResumedAt, Asked.get());
  }
  if (Only)
    return Only;
  auto Known = this->knownVersion(Stream, *Asked);
  return Known == AmbiguousVersion ? std::nullopt : Known;
}

void OriginExchange::ask(Lookup &Asked, std::uint64_t Number,
                         const std::string &Service, const Hash128 &Stream) {
  std::string Question = encodeMessage(OriginQuestion{Number, Stream, Service});
  for (HostId Home : this->Roster.homes(this->partitionOf(Stream))) {
    if (Home == this->Roster.self().id())
      continue;
    Asked.Unanswered.insert(Home);
    this->Hooks.Send(Home,
                     static_cast<std::uint16_t>(OriginMessageKind::Question),
                     Question);
  }
}

} // namespace bergamothook
