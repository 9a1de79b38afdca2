#include "LibRouting/TargetChooser.h"

#include "LibRouting/Seconds.h"

#include <algorithm>

namespace bergamothook {

namespace {

/// The time of a decode step of an empty batch, as a share of that of a full
/// one.
constexpr double EmptyStepShare = 0.5;

bool contains(const std::vector<TargetTable::Slot> &Places,
              TargetTable::Slot Place) {
  return std::find(Places.begin(), Places.end(), Place) != Places.end();
}

} // namespace

const char *nameOf(ChoiceReason Reason) {
  switch (Reason) {
  case ChoiceReason::LeastLoad:
    return "least-load";
  case ChoiceReason::PrefixHeld:
    return "prefix-held";
  case ChoiceReason::OnlyOne:
    return "only-one";
  case ChoiceReason::LastResort:
    return "last-resort";
  }
  return "unknown";
}

TargetChooser::TargetChooser(const TargetTable &Table, PrefixIndex &Prefixes,
                             const OutlierDetector &Outliers,
                             ChooserSettings Settings, std::uint64_t Seed)
    : Table(Table), Prefixes(Prefixes), Outliers(Outliers), Settings(Settings),
      Draws(Seed) {}

Result<Choice> TargetChooser::choose(const RequestFeatures &Request,
                                     TimePoint Now) {
  const std::vector<Slot> &Serving = this->Table.serving(Request.Model);
  if (Serving.empty())
    return make_error_code(RoutingError::ModelNotLoaded);
  this->collect(Serving, Request, Now);
  bool IsLastResort = this->Usable.empty();
  const std::vector<Slot> &Places =
      IsLastResort ? this->LastResorts : this->Usable;
  if (Places.empty())
    return make_error_code(RoutingError::NoTargetLeft);

  Choice Result;
  Result.Candidates.reserve(Places.size());
  for (Slot Place : Places)
    Result.Candidates.push_back(this->score(Place, Request, Now));
  auto Best = std::min_element(
      Result.Candidates.begin(), Result.Candidates.end(),
      [](const Candidate &A, const Candidate &B) { return A.Score < B.Score; });
  Result.Target = Best->Target;
  Result.Queue = Best->Queue;
  Result.FirstToken = Best->Queue + Best->Prefill;
  Result.PrefillTokens = Request.PromptTokens - Best->CoveredTokens;
  if (IsLastResort)
    Result.Reason = ChoiceReason::LastResort;
  else if (Places.size() == 1)
    Result.Reason = ChoiceReason::OnlyOne;
  else if (Best->CoveredTokens > 0)
    Result.Reason = ChoiceReason::PrefixHeld;
  return Result;
}

TargetChooser::Standing TargetChooser::standing(Slot Place,
                                                const RequestFeatures &Request,
                                                TimePoint Now) const {
  const TargetTable::Entry &Target = this->Table.at(Place);
  if (Target.State == TargetState::Leaving)
    return Standing::Excluded;
  if (Target.Info.Role == EngineRole::Decode)
    return Standing::Excluded;
  bool IsExcluded = std::find(Request.Excluded.begin(), Request.Excluded.end(),
                              Target.Info.Id) != Request.Excluded.end();
  if (IsExcluded)
    return Standing::Excluded;
  bool IsDoubtful = Target.State == TargetState::Suspect ||
                    this->Outliers.isEjected(Place, Now);
  return IsDoubtful ? Standing::LastResort : Standing::Usable;
}

void TargetChooser::collect(const std::vector<Slot> &Serving,
                            const RequestFeatures &Request, TimePoint Now) {
  this->Usable.clear();
  this->LastResorts.clear();
  this->Holders.clear();
  if (!Request.Prefix.empty())
    this->Holders = this->Prefixes.find(Request.Prefix);
  bool ComparesAll = Serving.size() <= this->Settings.CompareAllUpTo;
  if (!ComparesAll) {
    for (const PrefixHolder &Holder : this->Holders)
      if (this->Table.serves(Holder.Place, Request.Model))
        this->consider(Holder.Place, Request, Now);
    for (std::uint32_t I = 0; I < this->Settings.SampleSize; ++I) {
      Slot Place = Serving[this->Draws.below(Serving.size())];
      this->consider(Place, Request, Now);
    }
    if (!this->Usable.empty())
      return;
  }
  // Few targets, or none of the sample is usable: every target counts.
  this->LastResorts.clear();
  for (Slot Place : Serving)
    this->consider(Place, Request, Now);
}

void TargetChooser::consider(Slot Place, const RequestFeatures &Request,
                             TimePoint Now) {
  Standing Found = this->standing(Place, Request, Now);
  if (Found == Standing::Excluded)
    return;
  std::vector<Slot> &Places =
      Found == Standing::Usable ? this->Usable : this->LastResorts;
  bool IsBounded = Places.size() >= this->Settings.CompareAllUpTo;
  if (!IsBounded && !contains(Places, Place))
    Places.push_back(Place);
}

Candidate TargetChooser::score(Slot Place, const RequestFeatures &Request,
                               TimePoint Now) {
  const TargetTable::Entry &Target = this->Table.at(Place);
  LoadEstimate Load = this->Table.estimate(Place, Now);
  double PrefillRate = this->Table.prefillRate(Place);
  double DecodeRate = this->Table.decodeRate(Place);
  double Limit = this->Table.batchLimit(Place);
  double Slowness = this->Outliers.slowness(Place, Now);
  double Share = this->Outliers.share(Place, Now);

  Candidate Scored;
  Scored.Target = Target.Info.Id;
  Scored.IsEjected = this->Outliers.isEjected(Place, Now);
  Scored.CoveredTokens = this->coveredTokens(Place, Request);

  double QueueSeconds = Load.PrefillTokens / PrefillRate;
  double Occupied = Load.Running + Load.Waiting;
  if (Occupied >= Limit) {
    double PlacesPerSecond = DecodeRate / this->Settings.MeanAnswerTokens;
    QueueSeconds += (Occupied - Limit + 1) / PlacesPerSecond;
  }
  double Uncovered = Request.PromptTokens - Scored.CoveredTokens;
  double Factor = Slowness / Share;
  double FullStepSeconds = Limit / DecodeRate;
  double Filled = std::min(1.0, Occupied / Limit);
  double StepSeconds =
      FullStepSeconds * (EmptyStepShare + (1 - EmptyStepShare) * Filled);

  Scored.Queue = detail::fromSeconds(QueueSeconds * Factor);
  Scored.Prefill = detail::fromSeconds(Uncovered / PrefillRate * Factor);
  Scored.Decode =
      detail::fromSeconds(Request.ExpectedTokens * StepSeconds * Slowness);
  double DecodeWeight = Request.Class == WorkClass::LongDraft
                            ? this->Settings.DraftDecodeWeight
                            : this->Settings.QuickDecodeWeight;
  Duration Sum = Scored.Queue;
  Sum += std::chrono::duration_cast<Duration>(Scored.Prefill *
                                              this->Settings.PrefillWeight);
  Sum += std::chrono::duration_cast<Duration>(Scored.Decode * DecodeWeight);
  if (Target.Info.Domain != Request.Domain)
    Sum += this->Settings.OtherDomainCost;
  double Noise = 1 + this->Settings.ScoreNoise * this->Draws.unit();
  Scored.Score = std::chrono::duration_cast<Duration>(Sum * Noise);
  return Scored;
}

std::uint32_t
TargetChooser::coveredTokens(Slot Place, const RequestFeatures &Request) const {
  auto Found = std::find_if(
      this->Holders.begin(), this->Holders.end(),
      [Place](const PrefixHolder &Holder) { return Holder.Place == Place; });
  if (Found == this->Holders.end() || Request.PromptTokens == 0)
    return 0;
  double Trust = Found->HasGap ? this->Settings.GapTrust : 1;
  auto Held =
      static_cast<std::uint32_t>(Found->Blocks * PrefixBlockTokens * Trust);
  // The last token of a prompt is always computed.
  return std::min(Held, Request.PromptTokens - 1);
}

} // namespace bergamothook
