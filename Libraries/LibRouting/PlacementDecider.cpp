#include "LibRouting/PlacementDecider.h"

#include "LibRouting/Seconds.h"

#include <algorithm>
#include <cmath>

namespace bergamothook {

namespace {

/// Demand below this many sequences counts as none.
constexpr double LeastDemand = 0.05;

bool isPlanned(const std::vector<PlacementStep> &Planned, TargetId Target) {
  return std::any_of(
      Planned.begin(), Planned.end(),
      [&](const PlacementStep &Step) { return Step.Target == Target; });
}

} // namespace

PlacementDecider::PlacementDecider(PlacementSettings Settings)
    : Settings(Settings), LoadTokens(static_cast<double>(Settings.MaxLoads)) {}

void PlacementDecider::demand(const ModelVariant &Variant, double Sequences,
                              TimePoint Now) {
  Wish &Wanted = this->Wishes[Variant];
  double Age = detail::toSeconds(std::max(Duration::zero(), Now - Wanted.At));
  double Kept = std::exp(-Age / detail::toSeconds(this->Settings.DemandDecay));
  // Demand rises at once and falls slowly.
  Wanted.Sequences =
      std::max(Sequences, Sequences + (Wanted.Sequences - Sequences) * Kept);
  Wanted.At = Now;
}

std::vector<PlacementStep> PlacementDecider::decide(const TargetTable &Table,
                                                    const PlacementFold &Fold,
                                                    TimePoint Now) {
  std::vector<PlacementStep> Planned;
  for (auto &[Variant, Wanted] : this->Wishes) {
    auto Step = this->grow(Variant, Wanted, Table, Fold, Planned, Now);
    if (Step)
      Planned.push_back(*Step);
  }
  for (auto &[Variant, Wanted] : this->Wishes) {
    auto Step = this->shrink(Variant, Wanted, Table, Fold, Now);
    if (Step && !isPlanned(Planned, Step->Target))
      Planned.push_back(*Step);
  }
  return Planned;
}

PlacementDecider::Capacity
PlacementDecider::capacityOf(ModelId Model, const TargetTable &Table,
                             const PlacementFold &Fold) const {
  Capacity Found;
  for (TargetTable::Slot Place : Table.serving(Model)) {
    const TargetTable::Entry &Target = Table.at(Place);
    bool IsSure = Target.State == TargetState::Live &&
                  !Fold.mayLose(Target.Info.Id, Model);
    if (!IsSure)
      continue;
    Found.Places += Table.batchLimit(Place);
    Found.Holders.push_back(Place);
  }
  for (const PendingStep &Step : Fold.pending())
    if (Step.Wanted.Kind == EngineCommandKind::Load && !Step.IsStale &&
        Step.variant() == Model)
      ++Found.Arriving;
  return Found;
}

bool PlacementDecider::mayLoad(const PlacementFold &Fold, std::size_t Planned,
                               TimePoint Now) {
  if (this->HasTokensAt) {
    double Earned =
        detail::toSeconds(Now - this->TokensAt) * this->Settings.LoadsPerSecond;
    this->LoadTokens = std::min(static_cast<double>(this->Settings.MaxLoads),
                                this->LoadTokens + Earned);
  }
  this->HasTokensAt = true;
  this->TokensAt = Now;
  std::size_t Running = Planned;
  for (const PendingStep &Step : Fold.pending())
    Running += Step.Wanted.Kind == EngineCommandKind::Load ? 1 : 0;
  return Running < this->Settings.MaxLoads && this->LoadTokens >= 1;
}

std::optional<TargetTable::Slot> PlacementDecider::placeFor(
    ModelId Model, const TargetTable &Table, const PlacementFold &Fold,
    const std::vector<PlacementStep> &Planned, TimePoint Now) const {
  std::optional<TargetTable::Slot> Best;
  double LeastLoad = 0;
  for (std::size_t I = 0; I < Table.slots(); ++I) {
    auto Place = static_cast<TargetTable::Slot>(I);
    const TargetTable::Entry &Target = Table.at(Place);
    bool HasRoom = Target.Info.Models.size() < this->Settings.ModelsPerTarget;
    bool IsFree = Target.IsUsed && Target.State == TargetState::Live &&
                  HasRoom && !Table.serves(Place, Model) &&
                  !Fold.isChanging(Target.Info.Id) &&
                  !isPlanned(Planned, Target.Info.Id);
    if (!IsFree)
      continue;
    LoadEstimate Load = Table.estimate(Place, Now);
    double Filled = (Load.Running + Load.Waiting) / Table.batchLimit(Place);
    if (Best && Filled >= LeastLoad)
      continue;
    Best = Place;
    LeastLoad = Filled;
  }
  return Best;
}

std::optional<PlacementStep>
PlacementDecider::grow(const ModelVariant &Variant, const Wish &Wanted,
                       const TargetTable &Table, const PlacementFold &Fold,
                       const std::vector<PlacementStep> &Planned,
                       TimePoint Now) {
  Capacity Held = this->capacityOf(Variant.id(), Table, Fold);
  bool IsWanted = Wanted.Sequences > LeastDemand;
  bool IsShort = Wanted.Sequences > this->Settings.GrowAbove * Held.Places;
  if (!IsWanted || !IsShort || Held.Arriving > 0)
    return std::nullopt;
  auto Loads = static_cast<std::size_t>(
      std::count_if(Planned.begin(), Planned.end(), [](const auto &Step) {
        return Step.Kind == EngineCommandKind::Load;
      }));
  if (!this->mayLoad(Fold, Loads, Now))
    return std::nullopt;
  auto Place = this->placeFor(Variant.id(), Table, Fold, Planned, Now);
  if (!Place)
    return std::nullopt;
  this->LoadTokens -= 1;
  return PlacementStep{Table.at(*Place).Info.Id, EngineCommandKind::Load,
                       Variant};
}

std::optional<PlacementStep>
PlacementDecider::shrink(const ModelVariant &Variant, Wish &Wanted,
                         const TargetTable &Table, const PlacementFold &Fold,
                         TimePoint Now) {
  Capacity Held = this->capacityOf(Variant.id(), Table, Fold);
  if (Held.Holders.empty())
    return std::nullopt;
  auto Emptiest = std::min_element(
      Held.Holders.begin(), Held.Holders.end(), [&](auto A, auto B) {
        return Table.estimate(A, Now).Running < Table.estimate(B, Now).Running;
      });
  double Rest = Held.Places - Table.batchLimit(*Emptiest);
  bool IsUnused = Wanted.Sequences <= LeastDemand;
  bool IsLow = Wanted.Sequences < this->Settings.ShrinkBelow * Rest ||
               (IsUnused && Rest == 0);
  if (!IsLow || Held.Arriving > 0) {
    Wanted.IsLow = false;
    return std::nullopt;
  }
  if (!Wanted.IsLow) {
    Wanted.IsLow = true;
    Wanted.LowSince = Now;
  }
  TargetId Target = Table.at(*Emptiest).Info.Id;
  bool IsSettled = Now - Wanted.LowSince >= this->Settings.ShrinkAfter;
  if (!IsSettled || Fold.isChanging(Target))
    return std::nullopt;
  Wanted.LowSince = Now;
  return PlacementStep{Target, EngineCommandKind::Unload, Variant};
}

} // namespace bergamothook
