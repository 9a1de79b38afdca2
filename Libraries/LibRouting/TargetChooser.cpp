#include "LibRouting/TargetChooser.h"

#include "LibRouting/Seconds.h"

#include <algorithm>

namespace bergamothook {

namespace {

/// The duration of a decode step of an empty batch relative to a full one.
constexpr double EmptyStepShare = 0.5;

bool contains(const std::vector<TargetTable::Slot> &SlotIndices,
              TargetTable::Slot SlotIndex) {
  return std::find(SlotIndices.begin(), SlotIndices.end(), SlotIndex) !=
         SlotIndices.end();
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
      Generator(Seed) {}

Result<Choice> TargetChooser::choose(const RequestFeatures &Request,
                                     TimePoint Now) {
  const std::vector<Slot> &Serving = this->Table.serving(Request.Model);
  if (Serving.empty())
    return make_error_code(RoutingError::ModelNotLoaded);
  this->collectCandidates(Serving, Request, Now);
  bool IsLastResort = this->Usable.empty();
  const std::vector<Slot> &SlotIndices =
      IsLastResort ? this->LastResorts : this->Usable;
  if (SlotIndices.empty())
    return make_error_code(RoutingError::NoTargetLeft);

  Choice Result;
  Result.Candidates.reserve(SlotIndices.size());
  for (Slot SlotIndex : SlotIndices)
    Result.Candidates.push_back(this->score(SlotIndex, Request, Now));
  auto Best = std::min_element(
      Result.Candidates.begin(), Result.Candidates.end(),
      [](const Candidate &A, const Candidate &B) { return A.Score < B.Score; });
  Result.Target = Best->Target;
  Result.Queue = Best->Queue;
  Result.FirstToken = Best->Queue + Best->Prefill;
  Result.PrefillTokens = Request.PromptTokens - Best->CoveredTokens;
  if (IsLastResort)
    Result.Reason = ChoiceReason::LastResort;
  else if (SlotIndices.size() == 1)
    Result.Reason = ChoiceReason::OnlyOne;
  else if (Best->CoveredTokens > 0)
    Result.Reason = ChoiceReason::PrefixHeld;
  return Result;
}

TargetChooser::Eligibility
TargetChooser::eligibility(Slot SlotIndex, const RequestFeatures &Request,
                           TimePoint Now) const {
  const TargetTable::Entry &Target = this->Table.at(SlotIndex);
  if (Target.State == TargetState::Leaving)
    return Eligibility::Excluded;
  if (Target.Info.Role == EngineRole::Decode)
    return Eligibility::Excluded;
  bool IsExcluded = std::find(Request.Excluded.begin(), Request.Excluded.end(),
                              Target.Info.Id) != Request.Excluded.end();
  if (IsExcluded)
    return Eligibility::Excluded;
  bool IsSuspectOrEjected = Target.State == TargetState::Suspect ||
                            this->Outliers.isEjected(SlotIndex, Now);
  return IsSuspectOrEjected ? Eligibility::LastResort : Eligibility::Usable;
}

void TargetChooser::collectCandidates(const std::vector<Slot> &Serving,
                                      const RequestFeatures &Request,
                                      TimePoint Now) {
  this->Usable.clear();
  this->LastResorts.clear();
  this->Holders.clear();
  if (!Request.Prefix.empty())
    this->Holders = this->Prefixes.find(Request.Prefix);
  bool ComparesAll = Serving.size() <= this->Settings.CompareAllUpTo;
  if (!ComparesAll) {
    for (const PrefixHolder &Holder : this->Holders)
      if (this->Table.serves(Holder.SlotIndex, Request.Model))
        this->addCandidate(Holder.SlotIndex, Request, Now);
    for (std::uint32_t I = 0; I < this->Settings.SampleSize; ++I) {
      Slot SlotIndex = Serving[this->Generator.below(Serving.size())];
      this->addCandidate(SlotIndex, Request, Now);
    }
    if (!this->Usable.empty())
      return;
  }
  // There are few targets, or no sampled one is usable: consider all targets.
  this->LastResorts.clear();
  for (Slot SlotIndex : Serving)
    this->addCandidate(SlotIndex, Request, Now);
}

void TargetChooser::addCandidate(Slot SlotIndex, const RequestFeatures &Request,
                                 TimePoint Now) {
  Eligibility Found = this->eligibility(SlotIndex, Request, Now);
  if (Found == Eligibility::Excluded)
    return;
  std::vector<Slot> &SlotIndices =
      Found == Eligibility::Usable ? this->Usable : this->LastResorts;
  bool IsFull = SlotIndices.size() >= this->Settings.CompareAllUpTo;
  if (!IsFull && !contains(SlotIndices, SlotIndex))
    SlotIndices.push_back(SlotIndex);
}

Candidate TargetChooser::score(Slot SlotIndex, const RequestFeatures &Request,
                               TimePoint Now) {
  const TargetTable::Entry &Target = this->Table.at(SlotIndex);
  LoadEstimate Load = this->Table.estimate(SlotIndex, Now);
  double PrefillRate = this->Table.prefillRate(SlotIndex);
  double DecodeRate = this->Table.decodeRate(SlotIndex);
  double Limit = this->Table.batchLimit(SlotIndex);
  double Slowness = this->Outliers.slowness(SlotIndex, Now);
  double Share = this->Outliers.loadShare(SlotIndex, Now);

  Candidate Scored;
  Scored.Target = Target.Info.Id;
  Scored.IsEjected = this->Outliers.isEjected(SlotIndex, Now);
  Scored.CoveredTokens = this->coveredTokens(SlotIndex, Request);

  double QueueSeconds = Load.PrefillTokens / PrefillRate;
  double Occupied = Load.Running + Load.Waiting;
  if (Occupied >= Limit) {
    double CompletionsPerSecond = DecodeRate / this->Settings.MeanAnswerTokens;
    QueueSeconds += (Occupied - Limit + 1) / CompletionsPerSecond;
  }
  double Uncovered = Request.PromptTokens - Scored.CoveredTokens;
  double LatencyFactor = Slowness / Share;
  double FullStepSeconds = Limit / DecodeRate;
  double Occupancy = std::min(1.0, Occupied / Limit);
  double StepSeconds =
      FullStepSeconds * (EmptyStepShare + (1 - EmptyStepShare) * Occupancy);

  Scored.Queue = detail::fromSeconds(QueueSeconds * LatencyFactor);
  Scored.Prefill = detail::fromSeconds(Uncovered / PrefillRate * LatencyFactor);
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
  double Noise = 1 + this->Settings.ScoreNoise * this->Generator.uniform();
  Scored.Score = std::chrono::duration_cast<Duration>(Sum * Noise);
  return Scored;
}

std::uint32_t
TargetChooser::coveredTokens(Slot SlotIndex,
                             const RequestFeatures &Request) const {
  auto Found = std::find_if(this->Holders.begin(), this->Holders.end(),
                            [SlotIndex](const PrefixHolder &Holder) {
                              return Holder.SlotIndex == SlotIndex;
                            });
  if (Found == this->Holders.end() || Request.PromptTokens == 0)
    return 0;
  double Confidence = Found->HasGap ? this->Settings.GapConfidence : 1;
  auto Held = static_cast<std::uint32_t>(Found->Blocks * PrefixBlockTokens *
                                         Confidence);
  // The last token of a prompt is always computed.
  return std::min(Held, Request.PromptTokens - 1);
}

} // namespace bergamothook
