#include "LibRelay/RequestQuarantine.h"

#include "LibObserve/StructuredLog.h"

#include <nlohmann/json.hpp>

namespace bergamothook {

namespace {

constexpr Duration ExpiryInterval = std::chrono::seconds(1);

std::uint64_t ageOf(TimePoint At, TimePoint Now) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::max(Duration::zero(), Now - At))
          .count());
}

TimePoint timeOf(std::uint64_t AgeMicroseconds, TimePoint Now) {
  return Now - std::chrono::microseconds(AgeMicroseconds);
}

} // namespace

RequestQuarantine::RequestQuarantine(
    std::string Self, QuarantinePolicy Policy,
    std::function<bool(const Hash128 &, std::uint64_t)> HasTurn)
    : Self(std::move(Self)), Policy(Policy), HasTurn(std::move(HasTurn)),
      Answered(Policy.MaxAnsweredTraits), ReportsSeen(Policy.MaxReportsSeen) {}

bool RequestQuarantine::isHeld(const Entry &Suspect, TimePoint Now) const {
  return Suspect.IsQuarantined ||
         (Suspect.SufficientSince &&
          Now - *Suspect.SufficientSince >= this->Policy.SettleTime);
}

SendAdmission RequestQuarantine::admissionOf(const Hash128 &Trait,
                                             const Entry &Found,
                                             const RequestTraits &Traits,
                                             TimePoint Now) const {
  if (!this->isHeld(Found, Now))
    return SendAdmission::Allowed;
  const std::set<Hash128> &Companions = Found.Evidence.companions();
  bool MayProbe = !std::all_of(
      Companions.begin(), Companions.end(), [&](const Hash128 &Other) {
        return Traits.contains(Other) || !this->isSuspected(Other);
      });
  Duration Age = Now - Found.Evidence.lastLoss() - this->Policy.Retention;
  if (!MayProbe && Age >= Duration::zero())
    MayProbe = this->HasTurn(
        Trait, static_cast<std::uint64_t>(Age / this->Policy.TurnTime));
  if (!MayProbe)
    return SendAdmission::Refused;
  return this->Probes.contains(Trait) ? SendAdmission::Busy
                                      : SendAdmission::Probe;
}

SendAdmission RequestQuarantine::admission(const RequestTraits &Traits,
                                           TimePoint Now) const {
  SendAdmission Strictest = SendAdmission::Allowed;
  Traits.forEach([&](const Hash128 &Trait) {
    if (auto Found = this->Entries.find(Trait); Found != this->Entries.end())
      Strictest = std::max(
          Strictest, this->admissionOf(Trait, Found->second, Traits, Now));
  });
  return Strictest;
}

SendAdmission RequestQuarantine::admit(const RequestTraits &Traits,
                                       TimePoint Now) {
  SendAdmission Decision = this->admission(Traits, Now);
  Traits.forEach([&](const Hash128 &Trait) {
    auto Found = this->Entries.find(Trait);
    if (Found == this->Entries.end() || !this->isHeld(Found->second, Now))
      return;
    Found->second.LastUse = Now;
    // A host that gets no such request must not forget the trait before others.
    if (Now - Found->second.ReportedAt >= this->Policy.Retention / 2) {
      Found->second.ReportedAt = Now;
      this->PendingQuarantined.insert(Trait);
    }
    if (Decision == SendAdmission::Probe)
      this->Probes.insert(Trait);
  });
  return Decision;
}

void RequestQuarantine::endProbe(const RequestTraits &Traits) {
  Traits.forEach([&](const Hash128 &Trait) { this->Probes.erase(Trait); });
}

bool RequestQuarantine::onLost(const RequestTraits &Traits,
                               const std::string &TargetRun, TimePoint SentAt,
                               TimePoint Now) {
  PendingLoss Lost;
  Lost.Loss = {hash64(TargetRun), SentAt, Now};
  Lost.Traits.Content = Traits.Content;
  for (const Hash128 &Part : Traits.Parts)
    if (!this->hasAnsweredSince(Part, Now - this->Policy.AnswerMemory))
      Lost.Traits.Parts.push_back(Part);
  this->recordFallen(Lost.Loss);
  this->addLoss(Lost.Traits, Lost.Loss, true);
  if (this->PendingLosses.size() >= this->Policy.MaxPendingReports)
    return false;
  this->PendingLosses.push_back(std::move(Lost));
  return true;
}

bool RequestQuarantine::hasAnsweredSince(const Hash128 &Trait,
                                         TimePoint Since) const {
  const TimePoint *At = this->Answered.find(Trait);
  return At && *At >= Since;
}

void RequestQuarantine::recordFallen(const TargetLoss &Loss) {
  for (TargetLoss &Known : this->Fallen)
    if (Known.TargetRun == Loss.TargetRun) {
      Known.LostAt = std::min(Known.LostAt, Loss.LostAt);
      return;
    }
  this->Fallen.push_back(Loss);
  if (this->Fallen.size() > this->Policy.MaxFallenTargets)
    this->Fallen.pop_front();
}

RequestQuarantine::Entry *RequestQuarantine::findOrAdd(const Hash128 &Trait) {
  if (auto Found = this->Entries.find(Trait); Found != this->Entries.end())
    return &Found->second;
  if (this->Entries.size() >= this->Policy.MaxTraits)
    this->forgetOldest();
  if (this->Entries.size() >= this->Policy.MaxTraits)
    return nullptr;
  this->AddOrder.push_back(Trait);
  return &this->Entries[Trait];
}

/// Traits that callers made up are lost once; one that crashes targets returns.
void RequestQuarantine::forgetOldest() {
  for (std::size_t I = this->AddOrder.size(); I > 0; --I) {
    Hash128 Trait = this->AddOrder.front();
    this->AddOrder.pop_front();
    auto Found = this->Entries.find(Trait);
    if (Found == this->Entries.end())
      continue;
    if (!Found->second.IsQuarantined && !this->StrongSuspects.contains(Trait))
      return this->erase(Trait);
    this->AddOrder.push_back(Trait);
  }
}

void RequestQuarantine::addLoss(const RequestTraits &Traits,
                                const TargetLoss &Loss, bool IsOwn) {
  Traits.forEach([&](const Hash128 &Trait) {
    Entry *Suspect = this->findOrAdd(Trait);
    if (!Suspect)
      return;
    Suspect->IsContent = Trait == Traits.Content;
    Suspect->HasOwnLosses |= IsOwn;
    Suspect->Evidence.add(Loss, Trait, Traits);
    if (!Suspect->IsContent &&
        Suspect->Evidence.losses().size() >= this->Policy.MinLosses)
      this->StrongSuspects.insert(Trait);
    Suspect->LastUse = std::max(Suspect->LastUse, Loss.LostAt);
    if (Suspect->IsQuarantined || !this->isSufficient(Trait, *Suspect))
      return;
    if (Suspect->IsContent)
      this->quarantine(Trait, *Suspect, Loss.LostAt);
    else if (!Suspect->SufficientSince)
      Suspect->SufficientSince = Loss.LostAt;
  });
}

/// A connection may break some time after its target fell.
TimePoint RequestQuarantine::fallTime(const TargetLoss &Loss) const {
  for (const TargetLoss &Fall : this->Fallen)
    if (Fall.TargetRun == Loss.TargetRun)
      return Fall.LostAt;
  return Loss.LostAt;
}

unsigned RequestQuarantine::countMoments(const CrashEvidence &Evidence) const {
  const std::vector<TargetLoss> &Losses = Evidence.losses();
  std::vector<std::size_t> Starts = Evidence.moments(this->Policy.MomentGap);
  unsigned Count = 0;
  for (std::size_t I = 0; I < Starts.size(); ++I) {
    TimePoint Begin = this->fallTime(Losses[Starts[I]]);
    std::size_t End = I + 1 < Starts.size() ? Starts[I + 1] : Losses.size();
    std::size_t Others = 0;
    for (const TargetLoss &Fall : this->Fallen)
      if (Fall.LostAt >= Begin - this->Policy.MassFailureTime &&
          Fall.LostAt <= Begin + this->Policy.MassFailureTime &&
          !Evidence.contains(Fall.TargetRun))
        ++Others;
    if (Others < this->Policy.MassFailureTargets || Others < End - Starts[I])
      ++Count;
  }
  return Count;
}

bool RequestQuarantine::areInseparable(const Hash128 &Left,
                                       const Entry &LeftEntry,
                                       const Hash128 &Right,
                                       const Entry &RightEntry) {
  return LeftEntry.Evidence.companions().contains(Right) &&
         RightEntry.Evidence.companions().contains(Left);
}

bool RequestQuarantine::isSufficient(const Hash128 &Trait,
                                     const Entry &Suspect) const {
  const CrashEvidence &Evidence = Suspect.Evidence;
  // The repetitions of one request say nothing about its parts.
  if (Evidence.losses().size() < this->Policy.MinLosses ||
      (!Suspect.IsContent && Evidence.onlyContent()))
    return false;
  unsigned Moments = this->countMoments(Evidence);
  if (Moments < this->Policy.MinLosses)
    return false;
  if (Suspect.IsContent)
    return true;
  bool IsAmbiguous = false;
  for (const Hash128 &Name : this->StrongSuspects) {
    const Entry &Other = this->Entries.at(Name);
    if (Name == Trait || !Other.Evidence.covers(Evidence))
      continue;
    // The other trait explains all losses of this one, and more.
    if (Other.Evidence.losses().size() > Evidence.losses().size())
      return false;
    IsAmbiguous |= !areInseparable(Trait, Suspect, Name, Other);
  }
  return !IsAmbiguous || Moments >= this->Policy.MinAmbiguousLosses;
}

void RequestQuarantine::quarantine(const Hash128 &Trait, Entry &Suspect,
                                   TimePoint Now) {
  Suspect.IsQuarantined = true;
  Suspect.ReportedAt = Now;
  if (!Suspect.IsContent)
    this->StrongSuspects.insert(Trait);
  if (Suspect.HasOwnLosses)
    this->PendingQuarantined.insert(Trait);
  std::vector<std::string> Companions;
  for (const Hash128 &Other : Suspect.Evidence.companions())
    Companions.push_back(toHex(Other));
  logEvent(LogLevel::Warning, "trait_quarantined",
           {{"trait", toHex(Trait)},
            {"is_content", Suspect.IsContent},
            {"losses", Suspect.Evidence.losses().size()},
            {"only_with", Companions}});
}

void RequestQuarantine::onAnswered(const RequestTraits &Traits, TimePoint Now) {
  Traits.forEach([&](const Hash128 &Trait) {
    this->Answered.set(Trait, Now);
    auto Found = this->Entries.find(Trait);
    if (Found == this->Entries.end())
      return;
    this->PendingCleared[Trait] |= Found->second.IsQuarantined;
    this->clear(Trait);
  });
}

void RequestQuarantine::erase(const Hash128 &Trait) {
  this->Entries.erase(Trait);
  this->StrongSuspects.erase(Trait);
  this->PendingQuarantined.erase(Trait);
}

void RequestQuarantine::clear(const Hash128 &Trait) {
  auto Found = this->Entries.find(Trait);
  if (Found == this->Entries.end())
    return;
  if (Found->second.IsQuarantined)
    logEvent(LogLevel::Info, "quarantine_lifted", {{"trait", toHex(Trait)}});
  this->erase(Trait);
}

void RequestQuarantine::onReport(const QuarantineReport &Report,
                                 TimePoint Now) {
  std::uint64_t Id = hash64(Report.Process, Report.Number);
  if (Report.Process == this->Self || this->ReportsSeen.find(Id))
    return;
  this->ReportsSeen.set(Id, true);
  switch (Report.Kind) {
  case QuarantineReportKind::Loss: {
    TargetLoss Loss = {Report.TargetRun,
                       timeOf(Report.SentAgeMicroseconds, Now),
                       timeOf(Report.LostAgeMicroseconds, Now)};
    this->recordFallen(Loss);
    RequestTraits Suspected = {Report.Subject, {}};
    for (const Hash128 &Part : Report.Traits)
      if (this->hasAnsweredSince(Part, Loss.LostAt - this->Policy.AnswerMemory))
        this->PendingCleared[Part];
      else
        Suspected.Parts.push_back(Part);
    std::sort(Suspected.Parts.begin(), Suspected.Parts.end());
    this->addLoss(Suspected, Loss, false);
    return;
  }
  case QuarantineReportKind::Cleared:
    for (const Hash128 &Trait : Report.Traits) {
      this->clear(Trait);
      this->PendingCleared.erase(Trait);
    }
    return;
  case QuarantineReportKind::Quarantined:
    if (this->hasAnsweredSince(Report.Subject,
                               Now - this->Policy.AnswerMemory)) {
      this->PendingCleared[Report.Subject] = true;
      return;
    }
    Entry *Found = this->findOrAdd(Report.Subject);
    if (!Found)
      return;
    Found->LastUse = Now;
    Found->ReportedAt = Now;
    if (Found->IsQuarantined)
      return;
    if (Found->Evidence.losses().empty())
      Found->Evidence.setCompanions(
          {Report.Traits.begin(), Report.Traits.end()});
    Found->Evidence.setLastLoss(Now);
    Found->HasOwnLosses = false;
    this->quarantine(Report.Subject, *Found, Now);
    return;
  }
}

void RequestQuarantine::update(TimePoint Now) {
  for (const Hash128 &Trait : std::set<Hash128>(this->StrongSuspects)) {
    Entry &Suspect = this->Entries.at(Trait);
    Suspect.Evidence.removeCompanionsIf(
        [this](const Hash128 &Other) { return !this->isSuspected(Other); });
    if (Suspect.IsQuarantined)
      continue;
    if (!this->isSufficient(Trait, Suspect)) {
      Suspect.SufficientSince.reset();
      continue;
    }
    if (!Suspect.SufficientSince)
      Suspect.SufficientSince = Now;
    if (Now - *Suspect.SufficientSince >= this->Policy.SettleTime)
      this->quarantine(Trait, Suspect, Now);
  }
  if (Now >= this->ExpireAt)
    this->expire(Now);
}

void RequestQuarantine::expire(TimePoint Now) {
  this->ExpireAt = Now + ExpiryInterval;
  // The losses of an entry are judged by what fell around them.
  while (!this->Fallen.empty() &&
         Now - this->Fallen.front().LostAt >=
             this->Policy.Retention + 2 * this->Policy.MomentGap)
    this->Fallen.pop_front();
  std::vector<Hash128> Expired;
  for (const auto &[Trait, Old] : this->Entries)
    if (Now - std::max(Old.Evidence.lastLoss(), Old.LastUse) >=
        this->Policy.Retention) {
      Expired.push_back(Trait);
      // One host removes the record that all share.
      if (Old.IsQuarantined && this->HasTurn(Trait, 0))
        this->PendingCleared[Trait] = true;
    }
  for (const Hash128 &Trait : Expired)
    this->clear(Trait);
  std::erase_if(this->AddOrder, [this](const Hash128 &Trait) {
    return !this->Entries.contains(Trait);
  });
}

QuarantineReport RequestQuarantine::makeReport(QuarantineReportKind Kind) {
  QuarantineReport Report;
  Report.Kind = Kind;
  Report.Process = this->Self;
  Report.Number = ++this->LastNumber;
  return Report;
}

std::vector<QuarantineReport>
RequestQuarantine::takePendingReports(TimePoint Now) {
  std::vector<QuarantineReport> Out;
  for (const Hash128 &Trait : this->PendingQuarantined) {
    auto Found = this->Entries.find(Trait);
    if (Found == this->Entries.end())
      continue;
    const std::set<Hash128> &Companions = Found->second.Evidence.companions();
    Out.push_back(this->makeReport(QuarantineReportKind::Quarantined));
    Out.back().Subject = Trait;
    Out.back().Traits.assign(Companions.begin(), Companions.end());
  }
  this->PendingQuarantined.clear();
  for (const auto &[Trait, WasQuarantined] : this->PendingCleared) {
    if (Out.empty() || Out.back().Kind != QuarantineReportKind::Cleared ||
        Out.back().WasQuarantined != WasQuarantined ||
        Out.back().Traits.size() >= MaxTraitParts) {
      Out.push_back(this->makeReport(QuarantineReportKind::Cleared));
      Out.back().WasQuarantined = WasQuarantined;
    }
    Out.back().Traits.push_back(Trait);
  }
  this->PendingCleared.clear();
  for (const PendingLoss &Lost : this->PendingLosses) {
    Out.push_back(this->makeReport(QuarantineReportKind::Loss));
    Out.back().Subject = Lost.Traits.Content;
    Out.back().Traits = Lost.Traits.Parts;
    Out.back().TargetRun = Lost.Loss.TargetRun;
    Out.back().SentAgeMicroseconds = ageOf(Lost.Loss.SentAt, Now);
    Out.back().LostAgeMicroseconds = ageOf(Lost.Loss.LostAt, Now);
  }
  this->PendingLosses.clear();
  return Out;
}

std::vector<QuarantineReport> RequestQuarantine::reportQuarantined() {
  std::vector<QuarantineReport> Out;
  for (const auto &[Trait, Found] : this->Entries) {
    if (!Found.IsQuarantined || !this->HasTurn(Trait, 0))
      continue;
    const std::set<Hash128> &Companions = Found.Evidence.companions();
    Out.push_back(this->makeReport(QuarantineReportKind::Quarantined));
    Out.back().Subject = Trait;
    Out.back().Traits.assign(Companions.begin(), Companions.end());
  }
  return Out;
}

std::size_t RequestQuarantine::quarantined() const {
  return static_cast<std::size_t>(std::count_if(
      this->Entries.begin(), this->Entries.end(),
      [](const auto &Item) { return Item.second.IsQuarantined; }));
}

} // namespace bergamothook
