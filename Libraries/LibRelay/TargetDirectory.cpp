#include "LibRelay/TargetDirectory.h"

#include <algorithm>
#include <set>

namespace bergamothook {

namespace {

/// Tells whether a target could receive calls if its failure domain is not
/// evacuated.
bool isServing(const TargetState &Target) {
  return !Target.Listed.IsLeaving && !Target.IsRetired;
}

} // namespace

bool TargetDirectory::onListed(const ListedTarget &Entry, TimePoint Now) {
  auto [Place, IsNew] = this->Targets.try_emplace(Entry.Id);
  TargetState &State = Place->second;
  State.ListedAt = Now;
  bool IsRestarted = !IsNew && State.Listed.StartedAt != Entry.StartedAt;
  ListedTarget Target = Entry;
  // A target that is leaving does not return in the same run.
  Target.IsLeaving |= !IsNew && !IsRestarted && State.Listed.IsLeaving;
  if (this->isRemovedRun(Target))
    this->RemovedRuns.set(Target.runKey(), false);
  if (!IsNew && State.Listed == Target && !State.MissingSince)
    return false;
  if (!IsNew && !IsRestarted && State.IsRetired && !State.MissingSince &&
      State.Listed.Address == Target.Address)
    return false; // The target was observed to have ended; the list is out of
                  // date.
  if (IsRestarted) {
    State.ConsecutiveFailures = 0;
    State.BackoffUntil = {};
    State.FullUntil = {};
    State.RateLimitedUntil = {};
    State.ColdUntil.reset();
    State.ColdSequence.reset();
    State.IsColdByHealth = false;
    State.HasAnswered = false;
    State.CheckedAt = {};
  }
  State.Listed = Target;
  State.MissingSince.reset();
  State.IsRetired = false;
  return true;
}

bool TargetDirectory::isRemovedRun(const ListedTarget &Target) const {
  const bool *Found = this->RemovedRuns.find(Target.runKey());
  return Found && *Found;
}

void TargetDirectory::onRemoved(const std::string &Id, TimePoint Now) {
  auto Found = this->Targets.find(Id);
  if (Found == this->Targets.end() || Found->second.MissingSince)
    return;
  TargetState &State = Found->second;
  State.MissingSince = Now;
  this->RemovedRuns.set(State.Listed.runKey(), true);
  bool MayBeSpurious =
      this->UnreachableAt &&
      Now - *this->UnreachableAt <= this->Policy.SpuriousRemovalWindow;
  if (!MayBeSpurious || State.Listed.IsLeaving)
    State.IsRetired = true;
  this->eraseIfIdle(Id);
}

void TargetDirectory::onFullList(const std::vector<ListedTarget> &Listed,
                                 TimePoint Now) {
  std::set<std::string> Named;
  for (const ListedTarget &Target : Listed) {
    if (this->IsNextListOld && this->isRemovedRun(Target))
      continue;
    Named.insert(Target.Id);
    this->onListed(Target, Now);
  }
  this->IsNextListOld = false;
  std::vector<std::string> Missing;
  for (const auto &[Id, State] : this->Targets)
    if (!Named.contains(Id))
      Missing.push_back(Id);
  for (const std::string &Id : Missing)
    this->onRemoved(Id, Now);
}

const TargetState *TargetDirectory::findRun(const std::string &RunKey) const {
  auto Found = this->Targets.find(RunKey.substr(0, RunKey.rfind('#')));
  return Found != this->Targets.end() && Found->second.Listed.runKey() == RunKey
             ? &Found->second
             : nullptr;
}

bool TargetDirectory::onColdReport(const ColdReport &Report,
                                   TimePoint LeaseNow) {
  const TargetState *Run = this->findRun(Report.RunKey);
  // An entry may be read more than once, and the store may be restored from a
  // copy with older ones.
  if (!Run || (Report.Sequence > 0 && Run->ColdSequence &&
               Report.Sequence <= *Run->ColdSequence))
    return false;
  TargetState &State = *this->find(Run->Listed.Id);
  bool WasCold = State.ColdUntil.has_value();
  if (Report.IsNotice && Report.Sequence == 0) {
    if (Report.Left > Duration::zero())
      State.ColdUntil =
          std::max(State.ColdUntil.value_or(LeaseNow), LeaseNow + Report.Left);
    return !WasCold && this->isCold(State);
  }
  State.IsColdByHealth = false;
  State.ColdSequence = Report.Sequence;
  if (Report.Left > Duration::zero())
    State.ColdUntil = LeaseNow + Report.Left;
  else if (WasCold)
    State.ColdUntil = std::min(*State.ColdUntil, LeaseNow);
  return !WasCold && this->isCold(State);
}

std::vector<ListedTarget> TargetDirectory::endColdPeriods(TimePoint LeaseNow,
                                                          TimePoint Now) {
  std::vector<ListedTarget> Warm;
  // Called several times for each call.
  if (this->ColdRates.empty())
    return Warm;
  for (auto &[Id, State] : this->Targets) {
    if (!State.ColdUntil || LeaseNow < *State.ColdUntil)
      continue;
    if (this->isCold(State)) {
      State.ReturnedAt = Now - (LeaseNow - *State.ColdUntil);
      // Set when a permit was refused; a limit that the target states is asked
      // for again.
      State.RateLimitedUntil = {};
      Warm.push_back(State.Listed);
    }
    State.ColdUntil.reset();
  }
  return Warm;
}

bool TargetDirectory::isCold(const ListedTarget &Target) const {
  const TargetState *Run = this->findRun(Target.runKey());
  return Run && this->isCold(*Run);
}

double TargetDirectory::coldRate(const std::string &Service) const {
  auto Found = this->ColdRates.find(Service);
  return Found == this->ColdRates.end() ? 0 : Found->second;
}

std::optional<ColdReport>
TargetDirectory::describeCold(const std::string &RunKey,
                              TimePoint LeaseNow) const {
  const TargetState *Run = this->findRun(RunKey);
  if (!Run || !this->isCold(*Run))
    return std::nullopt;
  return ColdReport{RunKey,
                    std::max(Duration::zero(), *Run->ColdUntil - LeaseNow),
                    Run->IsColdByHealth ? 0 : Run->ColdSequence.value_or(0)};
}

bool TargetDirectory::needsHealthCheck(const TargetState &Target) const {
  if (!this->IsListUnreachable || Target.ColdUntil ||
      this->coldRate(Target.Listed.Service) <= 0)
    return false;
  bool IsLost = Target.LostAt > std::max(Target.ListedAt, Target.CheckedAt);
  bool IsNew = !Target.HasAnswered && Target.CheckedAt == TimePoint{};
  return IsLost || IsNew;
}

bool TargetDirectory::needsHealthCheck(const ListedTarget &Target) const {
  const TargetState *Run = this->findRun(Target.runKey());
  return Run && this->needsHealthCheck(*Run);
}

bool TargetDirectory::beginHealthCheck(const std::string &Id, TimePoint Now) {
  TargetState *State = this->find(Id);
  if (!State || Now < State->NextCheckAt || Now < this->NextHealthCheckAt)
    return false;
  State->NextCheckAt = Now + this->Policy.TargetHealthInterval;
  this->NextHealthCheckAt = Now + this->Policy.HealthInterval;
  return true;
}

bool TargetDirectory::onHealthResponse(const ListedTarget &Target,
                                       Duration ColdLeft, TimePoint AskedAt,
                                       TimePoint LeaseNow) {
  if (!this->findRun(Target.runKey()))
    return false;
  TargetState &State = *this->find(Target.Id);
  State.CheckedAt = AskedAt;
  if (ColdLeft <= Duration::zero())
    return false;
  bool WasCold = State.ColdUntil.has_value();
  State.ColdUntil =
      std::max(State.ColdUntil.value_or(LeaseNow), LeaseNow + ColdLeft);
  State.IsColdByHealth = true;
  return !WasCold && this->isCold(State);
}

std::size_t TargetDirectory::coldTargets() const {
  return static_cast<std::size_t>(std::count_if(
      this->Targets.begin(), this->Targets.end(), [this](const auto &Each) {
        return !Each.second.IsRetired && this->isCold(Each.second);
      }));
}

void TargetDirectory::expire(TimePoint Now) {
  std::vector<std::string> Expired;
  for (auto &[Id, State] : this->Targets)
    if (State.MissingSince &&
        Now - *State.MissingSince >= this->Policy.SpuriousRemovalGrace) {
      State.IsRetired = true;
      Expired.push_back(Id);
    }
  for (const std::string &Id : Expired)
    this->eraseIfIdle(Id);
}

std::vector<TargetState *> TargetDirectory::usable(const std::string &Service) {
  std::vector<TargetState *> Found;
  for (auto &[Id, State] : this->Targets)
    if (State.Listed.Service == Service && isServing(State) &&
        !this->Evacuated.contains(State.Listed.FailureDomain))
      Found.push_back(&State);
  return Found;
}

bool TargetDirectory::mayReceive(const ListedTarget &Target) const {
  auto Found = this->Targets.find(Target.Id);
  return Found != this->Targets.end() && isServing(Found->second) &&
         Found->second.Listed.runKey() == Target.runKey() &&
         !this->Evacuated.contains(Found->second.Listed.FailureDomain);
}

bool TargetDirectory::isEvacuated(const std::string &Service) const {
  bool HasServing = false;
  for (const auto &[Id, State] : this->Targets) {
    if (State.Listed.Service != Service || !isServing(State))
      continue;
    HasServing = true;
    if (!this->Evacuated.contains(State.Listed.FailureDomain))
      return false;
  }
  return HasServing;
}

std::size_t TargetDirectory::evacuatedTargets() const {
  return static_cast<std::size_t>(std::count_if(
      this->Targets.begin(), this->Targets.end(), [this](const auto &Each) {
        return isServing(Each.second) &&
               this->Evacuated.contains(Each.second.Listed.FailureDomain);
      }));
}

std::size_t TargetDirectory::runningIn(const std::string &FailureDomain) const {
  std::size_t Running = 0;
  for (const auto &[Id, State] : this->Targets)
    if (State.Listed.FailureDomain == FailureDomain)
      Running += State.Running;
  return Running;
}

bool TargetDirectory::onEvacuationRecord(const EvacuationRecord &Record,
                                         TimePoint Now) {
  if (!this->Evacuated.onRecord(Record))
    return false;
  if (!Record.IsEvacuated)
    this->beginReturn(Record.Domain, Now);
  return true;
}

std::vector<EvacuationRecord> TargetDirectory::onEvacuationSnapshot(
    const std::vector<EvacuationRecord> &Listed, std::uint64_t End,
    TimePoint Now) {
  std::vector<EvacuationRecord> Changes =
      this->Evacuated.onSnapshot(Listed, End);
  for (const EvacuationRecord &Change : Changes)
    if (!Change.IsEvacuated)
      this->beginReturn(Change.Domain, Now);
  return Changes;
}

void TargetDirectory::beginReturn(const std::string &FailureDomain,
                                  TimePoint Now) {
  for (auto &[Id, State] : this->Targets)
    if (State.Listed.FailureDomain == FailureDomain)
      State.ReturnedAt = Now;
}

TargetState *TargetDirectory::find(const std::string &Id) {
  auto Found = this->Targets.find(Id);
  return Found == this->Targets.end() ? nullptr : &Found->second;
}

bool TargetDirectory::isListed(const std::string &RunKey) const {
  auto Found = this->Targets.find(RunKey.substr(0, RunKey.rfind('#')));
  return Found != this->Targets.end() && !Found->second.IsRetired &&
         Found->second.Listed.runKey() == RunKey;
}

void TargetDirectory::onStarted(const std::string &Id,
                                std::int64_t PromptTokens) {
  if (TargetState *State = this->find(Id)) {
    ++State->Running;
    State->PrefillTokens += PromptTokens;
  }
}

void TargetDirectory::onPrefillDone(const std::string &Id,
                                    std::int64_t PromptTokens) {
  if (TargetState *State = this->find(Id))
    State->PrefillTokens -= PromptTokens;
}

void TargetDirectory::onEnded(const std::string &Id) {
  if (TargetState *State = this->find(Id)) {
    --State->Running;
    this->eraseIfIdle(Id);
  }
}

void TargetDirectory::onSuccess(const std::string &Id) {
  if (TargetState *State = this->find(Id)) {
    State->ConsecutiveFailures = 0;
    State->BackoffUntil = {};
    State->HasAnswered = true;
  }
}

void TargetDirectory::onFailure(const std::string &Id, TimePoint Now) {
  TargetState *State = this->find(Id);
  if (!State)
    return;
  Duration Backoff = this->Policy.InitialBackoff;
  for (std::uint32_t I = 0;
       I < State->ConsecutiveFailures && Backoff < this->Policy.MaxBackoff; ++I)
    Backoff *= 2;
  ++State->ConsecutiveFailures;
  State->BackoffUntil = Now + std::min(Backoff, this->Policy.MaxBackoff);
}

void TargetDirectory::onLost(const std::string &Id, TimePoint Now) {
  if (TargetState *State = this->find(Id))
    State->LostAt = Now;
}

void TargetDirectory::forgetFailures(const std::string &Service) {
  for (auto &[Id, State] : this->Targets)
    if (State.Listed.Service == Service) {
      State.ConsecutiveFailures = 0;
      State.BackoffUntil = {};
    }
}

void TargetDirectory::onFull(const std::string &Id, TimePoint Now) {
  if (TargetState *State = this->find(Id))
    State->FullUntil = Now + this->Policy.FullDuration;
}

void TargetDirectory::onRateLimited(const std::string &Id, TimePoint Until) {
  if (TargetState *State = this->find(Id))
    State->RateLimitedUntil = Until;
}

void TargetDirectory::onReplaced(const std::string &Id) {
  if (TargetState *State = this->find(Id))
    State->IsRetired = true;
}

void TargetDirectory::eraseIfIdle(const std::string &Id) {
  auto Found = this->Targets.find(Id);
  if (Found != this->Targets.end() && Found->second.IsRetired &&
      Found->second.MissingSince && Found->second.Running == 0)
    this->Targets.erase(Found);
}

} // namespace bergamothook
