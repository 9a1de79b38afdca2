#include "LibOutcome/PoisonRegistry.h"

#include "LibOutcome/RecordBody.h"

#include <algorithm>

namespace bergamothook {

PoisonRegistry::PoisonRegistry(HostId Self, PoisonLimits Limits)
    : Self(Self), Limits(Limits) {}

bool PoisonRegistry::isQuarantined(const Suspect &Known) const {
  return Known.CrashesHere.size() >= this->Limits.CrashesHere ||
         Known.Crashes.size() >= this->Limits.CrashesInFleet;
}

bool PoisonRegistry::isCurrent(const Suspect &Known, TimePoint Now) const {
  return Now - Known.LastCrash < this->Limits.Memory;
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
  auto There = this->InFlight.find(Target);
  if (There == this->InFlight.end())
    return;
  auto Running = There->second.find(Content);
  if (Running == There->second.end())
    return;
  if (--Running->second == 0)
    There->second.erase(Running);
  if (There->second.empty())
    this->InFlight.erase(There);
}

std::optional<CrashReport> PoisonRegistry::crashed(Hash128 Content,
                                                   TargetId Target, RecordId Id,
                                                   TimePoint Now) {
  auto There = this->InFlight.find(Target);
  // The first to notice took everything away that was in flight.
  if (There == this->InFlight.end() || !There->second.contains(Content))
    return std::nullopt;
  CrashReport Report{Id, this->Self, Target, {}};
  for (const auto &[Running, Count] : There->second)
    Report.Contents.push_back(Running);
  this->InFlight.erase(There);
  this->apply(Report, Now);
  return Report;
}

bool PoisonRegistry::crashesByItself(const CrashReport &Report,
                                     TimePoint Now) const {
  auto Known = this->Losses.find(Report.Target);
  if (Known == this->Losses.end())
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
  for (const auto &[Target, Earlier] : this->Losses)
    if (Now - Earlier.back().At < this->Limits.MassFailureWindow)
      ++Lost;
  return Lost >= this->Limits.MassFailureTargets;
}

void PoisonRegistry::apply(const CrashReport &Report, TimePoint Now) {
  if (!this->Applied.emplace(Report.Id, Now).second)
    return;
  bool IsSelfMade = this->crashesByItself(Report, Now);
  this->Losses[Report.Target].push_back(
      {Now, {Report.Contents.begin(), Report.Contents.end()}});
  if (IsSelfMade || this->isMassFailure(Now))
    return;
  for (Hash128 Content : Report.Contents)
    this->blame(Content, Report, Now);
}

void PoisonRegistry::blame(Hash128 Content, const CrashReport &Report,
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
  std::erase_if(this->Losses, [&](const auto &Item) {
    return Now - Item.second.back().At >= this->Limits.FlakyWindow;
  });
  std::erase_if(this->Applied, [&](const auto &Item) {
    return Now - Item.second >= this->Limits.Memory;
  });
}

namespace {

/// The body of a clearance and of a lift.
struct SuspectName {
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
          detail::encodeBody(SuspectName{Content})};
}

Result<void> applySuspectRecord(PoisonRegistry &Registry,
                                const StreamRecord &Record, TimePoint Now) {
  if (Record.Kind == static_cast<std::uint16_t>(SuspectRecordKind::Crash)) {
    BOOST_OUTCOME_TRY(Report, detail::decodeBody<CrashReport>(Record.Body));
    Registry.apply(Report, Now);
    return success();
  }
  BOOST_OUTCOME_TRY(Name, detail::decodeBody<SuspectName>(Record.Body));
  Registry.lift(Name.Content);
  return success();
}

} // namespace bergamothook
