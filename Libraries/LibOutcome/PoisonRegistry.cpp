#include "LibOutcome/PoisonRegistry.h"

#include "LibOutcome/RecordBody.h"

#include <algorithm>

namespace bergamothook {

PoisonRegistry::PoisonRegistry(HostId Self, PoisonLimits Limits)
    : Self(Self), Limits(Limits) {}

bool PoisonRegistry::isQuarantined(const Suspect &Known) const {
  return Known.CrashesHere.size() >= this->Limits.LocalCrashLimit ||
         Known.Crashes.size() >= this->Limits.FleetCrashLimit;
}

bool PoisonRegistry::isCurrent(const Suspect &Known, TimePoint Now) const {
  return Now - Known.LastCrash < this->Limits.SuspicionLifetime;
}

Result<void> PoisonRegistry::admit(Hash128 Content, TimePoint Now) const {
  auto Known = this->Suspects.find(Content);
  if (Known == this->Suspects.end() || !this->isCurrent(Known->second, Now) ||
      !this->isQuarantined(Known->second))
    return success();
  return OutcomeError::Quarantined;
}

std::vector<TargetId> PoisonRegistry::targetsToAvoid(Hash128 Content,
                                                     TimePoint Now) const {
  std::vector<TargetId> Avoided;
  auto Known = this->Suspects.find(Content);
  if (Known == this->Suspects.end() || !this->isCurrent(Known->second, Now))
    return Avoided;
  for (const auto &[Target, Contents] : this->InFlight) {
    bool HasSuspect =
        std::any_of(Contents.begin(), Contents.end(), [&](const auto &Running) {
          return Running.first != Content &&
                 this->Suspects.contains(Running.first);
        });
    if (HasSuspect)
      Avoided.push_back(Target);
  }
  return Avoided;
}

std::optional<TargetId> PoisonRegistry::targetInFlight(Hash128 Content) const {
  for (const auto &[Target, Contents] : this->InFlight)
    if (Contents.contains(Content))
      return Target;
  return std::nullopt;
}

void PoisonRegistry::started(Hash128 Content, TargetId Target) {
  ++this->InFlight[Target][Content];
}

void PoisonRegistry::ended(Hash128 Content, TargetId Target) {
  auto OnTarget = this->InFlight.find(Target);
  if (OnTarget == this->InFlight.end())
    return;
  auto Running = OnTarget->second.find(Content);
  if (Running == OnTarget->second.end())
    return;
  if (--Running->second == 0)
    OnTarget->second.erase(Running);
  if (OnTarget->second.empty())
    this->InFlight.erase(OnTarget);
}

std::optional<CrashReport> PoisonRegistry::crashed(Hash128 Content,
                                                   TargetId Target, RecordId Id,
                                                   TimePoint Now) {
  auto OnTarget = this->InFlight.find(Target);
  // The first content to notice the loss removed everything that was in flight.
  if (OnTarget == this->InFlight.end() || !OnTarget->second.contains(Content))
    return std::nullopt;
  CrashReport Report{Id, this->Self, Target, {}};
  for (const auto &[Running, Count] : OnTarget->second)
    Report.Contents.push_back(Running);
  this->InFlight.erase(OnTarget);
  this->apply(Report, Now);
  return Report;
}

bool PoisonRegistry::isTargetFlaky(const CrashReport &Report,
                                   TimePoint Now) const {
  auto Known = this->RecentCrashes.find(Report.Target);
  if (Known == this->RecentCrashes.end())
    return false;
  for (const auto &Earlier : Known->second) {
    bool IsRelated = std::any_of(
        Report.Contents.begin(), Report.Contents.end(),
        [&](Hash128 Content) { return Earlier.Contents.contains(Content); });
    if (!IsRelated && Now - Earlier.At < this->Limits.FlakyWindow)
      return true;
  }
  return false;
}

bool PoisonRegistry::isMassFailure(TimePoint Now) const {
  std::size_t Lost = 0;
  for (const auto &[Target, Earlier] : this->RecentCrashes)
    if (Now - Earlier.back().At < this->Limits.MassFailureWindow)
      ++Lost;
  return Lost >= this->Limits.MassFailureTargets;
}

void PoisonRegistry::apply(const CrashReport &Report, TimePoint Now) {
  if (!this->AppliedReports.emplace(Report.Id, Now).second)
    return;
  bool IsFlaky = this->isTargetFlaky(Report, Now);
  this->RecentCrashes[Report.Target].push_back(
      {Now, {Report.Contents.begin(), Report.Contents.end()}});
  if (IsFlaky || this->isMassFailure(Now))
    return;
  for (Hash128 Content : Report.Contents)
    this->addSuspicion(Content, Report, Now);
}

void PoisonRegistry::addSuspicion(Hash128 Content, const CrashReport &Report,
                                  TimePoint Now) {
  if (this->Suspects.size() >= this->Limits.MaxSuspects &&
      !this->Suspects.contains(Content))
    return;
  Suspect &Known = this->Suspects[Content];
  Known.Crashes.insert(Report.Id);
  Known.Targets.insert(Report.Target);
  if (Report.Host == this->Self)
    Known.CrashesHere.insert(Report.Id);
  Known.LastCrash = Now;
}

bool PoisonRegistry::cleared(Hash128 Content) {
  return this->Suspects.erase(Content) > 0;
}

void PoisonRegistry::lift(Hash128 Content) { this->Suspects.erase(Content); }

std::vector<SuspectSummary> PoisonRegistry::list(TimePoint Now) const {
  std::vector<SuspectSummary> Lines;
  for (const auto &[Content, Known] : this->Suspects)
    if (this->isCurrent(Known, Now))
      Lines.push_back({Content,
                       Known.Crashes.size(),
                       Known.CrashesHere.size(),
                       {Known.Targets.begin(), Known.Targets.end()},
                       this->isQuarantined(Known),
                       Known.LastCrash});
  std::stable_sort(Lines.begin(), Lines.end(),
                   [](const SuspectSummary &A, const SuspectSummary &B) {
                     return A.Crashes > B.Crashes;
                   });
  return Lines;
}

void PoisonRegistry::expire(TimePoint Now) {
  std::erase_if(this->Suspects, [&](const auto &Item) {
    return !this->isCurrent(Item.second, Now);
  });
  std::erase_if(this->RecentCrashes, [&](const auto &Item) {
    return Now - Item.second.back().At >= this->Limits.FlakyWindow;
  });
  std::erase_if(this->AppliedReports, [&](const auto &Item) {
    return Now - Item.second >= this->Limits.SuspicionLifetime;
  });
}

namespace {

/// The body of a clearance and of a lift.
struct SuspectReference {
  Hash128 Content;

  template <typename Archive> void serialize(Archive &Ar) { Ar(this->Content); }
};

} // namespace

StreamRecord makeCrashRecord(Incarnation Writer, const CrashReport &Report) {
  return {Report.Id, Writer,
          static_cast<std::uint16_t>(SuspectRecordKind::Crash),
          detail::encodeBody(Report)};
}

StreamRecord makeSuspectRecord(RecordId Id, Incarnation Writer,
                               SuspectRecordKind Kind, Hash128 Content) {
  return {Id, Writer, static_cast<std::uint16_t>(Kind),
          detail::encodeBody(SuspectReference{Content})};
}

Result<void> applySuspectRecord(PoisonRegistry &Registry,
                                const StreamRecord &Record, TimePoint Now) {
  if (Record.Kind == static_cast<std::uint16_t>(SuspectRecordKind::Crash)) {
    BOOST_OUTCOME_TRY(Report, detail::decodeBody<CrashReport>(Record.Body));
    Registry.apply(Report, Now);
    return success();
  }
  BOOST_OUTCOME_TRY(Name, detail::decodeBody<SuspectReference>(Record.Body));
  Registry.lift(Name.Content);
  return success();
}

} // namespace bergamothook
