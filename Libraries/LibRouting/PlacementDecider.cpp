#include "LibRouting/PlacementDecider.h"

#include "LibRouting/Seconds.h"

#include <algorithm>
#include <cmath>

namespace bergamothook {

namespace {

/// Demand below this number of sequences counts as none.
constexpr double MinDemand = 0.05;

bool isPlanned(const std::vector<PlacementStep> &Planned, TargetId Target) {
  return std::any_of(
      Planned.begin(), Planned.end(),
      [&](const PlacementStep &Step) { return Step.Target == Target; });
}

} // namespace

PlacementDecider::PlacementDecider(PlacementSettings Settings)
    : Settings(Settings),
      LoadRateTokens(static_cast<double>(Settings.MaxConcurrentLoads)) {}

void PlacementDecider::demand(const ModelVariant &Variant, double Sequences,
                              TimePoint Now) {
  DemandEstimate &Demand = this->Demands[Variant];
  double Age = detail::toSeconds(std::max(Duration::zero(), Now - Demand.At));
  double Decay = std::exp(-Age / detail::toSeconds(this->Settings.DemandDecay));
  // Demand rises immediately and decays slowly.
  Demand.Sequences =
      std::max(Sequences, Sequences + (Demand.Sequences - Sequences) * Decay);
  Demand.At = Now;
}

std::vector<PlacementStep> PlacementDecider::decide(const TargetTable &Table,
                                                    const PlacementFold &Fold,
                                                    TimePoint Now) {
  std::vector<PlacementStep> Planned;
  for (auto &[Variant, Demand] : this->Demands) {
    auto Step = this->planLoad(Variant, Demand, Table, Fold, Planned, Now);
    if (Step)
      Planned.push_back(*Step);
  }
  for (auto &[Variant, Demand] : this->Demands) {
    auto Step = this->planUnload(Variant, Demand, Table, Fold, Now);
    if (Step && !isPlanned(Planned, Step->Target))
      Planned.push_back(*Step);
  }
  return Planned;
}

PlacementDecider::Capacity
PlacementDecider::capacityOf(ModelId Model, const TargetTable &Table,
                             const PlacementFold &Fold) const {
  Capacity Found;
  for (TargetTable::Slot SlotIndex : Table.serving(Model)) {
    const TargetTable::Entry &Target = Table.at(SlotIndex);
    bool IsReliable = Target.State == TargetState::Live &&
                      !Fold.mayUnload(Target.Info.Id, Model);
    if (!IsReliable)
      continue;
    Found.MaxSequences += Table.batchLimit(SlotIndex);
    Found.Holders.push_back(SlotIndex);
  }
  for (const PendingStep &Step : Fold.pending())
    if (Step.Action.Kind == EngineCommandKind::Load && !Step.IsStale &&
        Step.variant() == Model)
      ++Found.PendingLoads;
  return Found;
}

bool PlacementDecider::canStartLoad(const PlacementFold &Fold,
                                    std::size_t Planned, TimePoint Now) {
  if (this->HasTokensUpdatedAt) {
    double Refilled = detail::toSeconds(Now - this->TokensUpdatedAt) *
                      this->Settings.LoadsPerSecond;
    this->LoadRateTokens =
        std::min(static_cast<double>(this->Settings.MaxConcurrentLoads),
                 this->LoadRateTokens + Refilled);
  }
  this->HasTokensUpdatedAt = true;
  this->TokensUpdatedAt = Now;
  std::size_t Running = Planned;
  for (const PendingStep &Step : Fold.pending())
    Running += Step.Action.Kind == EngineCommandKind::Load ? 1 : 0;
  return Running < this->Settings.MaxConcurrentLoads &&
         this->LoadRateTokens >= 1;
}

std::optional<TargetTable::Slot> PlacementDecider::selectTarget(
    ModelId Model, const TargetTable &Table, const PlacementFold &Fold,
    const std::vector<PlacementStep> &Planned, TimePoint Now) const {
  std::optional<TargetTable::Slot> Best;
  double LeastOccupancy = 0;
  for (std::size_t I = 0; I < Table.slots(); ++I) {
    auto SlotIndex = static_cast<TargetTable::Slot>(I);
    const TargetTable::Entry &Target = Table.at(SlotIndex);
    bool HasRoom =
        Target.Info.Models.size() < this->Settings.MaxModelsPerTarget;
    bool IsCandidate = Target.IsUsed && Target.State == TargetState::Live &&
                       HasRoom && !Table.serves(SlotIndex, Model) &&
                       !Fold.hasPendingStep(Target.Info.Id) &&
                       !isPlanned(Planned, Target.Info.Id);
    if (!IsCandidate)
      continue;
    LoadEstimate Load = Table.estimate(SlotIndex, Now);
    double Occupancy =
        (Load.Running + Load.Waiting) / Table.batchLimit(SlotIndex);
    if (Best && Occupancy >= LeastOccupancy)
      continue;
    Best = SlotIndex;
    LeastOccupancy = Occupancy;
  }
  return Best;
}

std::optional<PlacementStep> PlacementDecider::planLoad(
    const ModelVariant &Variant, const DemandEstimate &Demand,
    const TargetTable &Table, const PlacementFold &Fold,
    const std::vector<PlacementStep> &Planned, TimePoint Now) {
  Capacity Current = this->capacityOf(Variant.id(), Table, Fold);
  bool HasDemand = Demand.Sequences > MinDemand;
  bool IsOverloaded =
      Demand.Sequences > this->Settings.ScaleUpThreshold * Current.MaxSequences;
  if (!HasDemand || !IsOverloaded || Current.PendingLoads > 0)
    return std::nullopt;
  auto Loads = static_cast<std::size_t>(
      std::count_if(Planned.begin(), Planned.end(), [](const auto &Step) {
        return Step.Kind == EngineCommandKind::Load;
      }));
  if (!this->canStartLoad(Fold, Loads, Now))
    return std::nullopt;
  auto SlotIndex = this->selectTarget(Variant.id(), Table, Fold, Planned, Now);
  if (!SlotIndex)
    return std::nullopt;
  this->LoadRateTokens -= 1;
  return PlacementStep{Table.at(*SlotIndex).Info.Id, EngineCommandKind::Load,
                       Variant};
}

std::optional<PlacementStep>
PlacementDecider::planUnload(const ModelVariant &Variant,
                             DemandEstimate &Demand, const TargetTable &Table,
                             const PlacementFold &Fold, TimePoint Now) {
  Capacity Current = this->capacityOf(Variant.id(), Table, Fold);
  if (Current.Holders.empty())
    return std::nullopt;
  auto LeastLoaded = std::min_element(
      Current.Holders.begin(), Current.Holders.end(), [&](auto A, auto B) {
        return Table.estimate(A, Now).Running < Table.estimate(B, Now).Running;
      });
  double RemainingSequences =
      Current.MaxSequences - Table.batchLimit(*LeastLoaded);
  bool IsUnused = Demand.Sequences <= MinDemand;
  bool IsLow = Demand.Sequences <
                   this->Settings.ScaleDownThreshold * RemainingSequences ||
               (IsUnused && RemainingSequences == 0);
  if (!IsLow || Current.PendingLoads > 0) {
    Demand.IsLow = false;
    return std::nullopt;
  }
  if (!Demand.IsLow) {
    Demand.IsLow = true;
    Demand.LowSince = Now;
  }
  TargetId Target = Table.at(*LeastLoaded).Info.Id;
  bool IsDelayOver = Now - Demand.LowSince >= this->Settings.ScaleDownDelay;
  if (!IsDelayOver || Fold.hasPendingStep(Target))
    return std::nullopt;
  Demand.LowSince = Now;
  return PlacementStep{Target, EngineCommandKind::Unload, Variant};
}

} // namespace bergamothook
