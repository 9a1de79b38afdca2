#include "LibLedger/BudgetFold.h"

namespace bergamothook {

SliceView BudgetFold::viewOf(const Slice &Source) const {
  SliceView View;
  View.Holder = this->Holders[Source.Holder].Id;
  View.IsEnded = this->Holders[Source.Holder].IsEnded;
  View.Witnesses.First = this->Holders[Source.FirstWitness].Id;
  View.Witnesses.Second = this->Holders[Source.SecondWitness].Id;
  View.Outstanding = Source.Outstanding;
  View.UnwitnessedCap = Source.UnwitnessedCap;
  View.Demand = Source.Demand;
  View.Sequence = Source.Sequence;
  return View;
}

Result<BudgetView> BudgetFold::view(TeamId Team) const {
  const Budget *Owner = this->findBudget(Team);
  if (!Owner)
    return LedgerError::UnknownTeam;
  BudgetView View;
  View.ToppedUp = Owner->ToppedUp;
  View.Settled = Owner->Settled;
  View.Unallocated = Owner->Unallocated;
  View.Outstanding = Owner->Outstanding;
  View.IsClosed = Owner->IsClosed;
  View.Position = this->Position;
  for (Index At = Owner->FirstSlice; At != None; At = this->Slices[At].Next) {
    View.Slices.push_back(this->viewOf(this->Slices[At]));
    if (View.Slices.back().IsEnded)
      View.Stranded += View.Slices.back().Outstanding;
  }
  return View;
}

Result<SliceView> BudgetFold::slice(TeamId Team, Incarnation Holder) const {
  const Budget *Owner = this->findBudget(Team);
  if (!Owner)
    return LedgerError::UnknownTeam;
  Index At = this->findSlice(*Owner, Holder);
  if (At == None)
    return LedgerError::SliceNotInHand;
  return this->viewOf(this->Slices[At]);
}

TokenCount BudgetFold::unsettled(TeamId Team) const {
  const Budget *Owner = this->findBudget(Team);
  return Owner ? Owner->ToppedUp - Owner->Settled : 0;
}

TokenCount BudgetFold::unallocated(TeamId Team) const {
  const Budget *Owner = this->findBudget(Team);
  return Owner ? Owner->Unallocated : 0;
}

bool BudgetFold::isClosed(TeamId Team) const {
  const Budget *Owner = this->findBudget(Team);
  return Owner && Owner->IsClosed;
}

bool BudgetFold::hasDemand(TeamId Team) const {
  const Budget *Owner = this->findBudget(Team);
  return Owner && Owner->Demands != 0;
}

bool BudgetFold::isEnded(Incarnation Holder) const {
  auto Found = this->HolderIndex.find(Holder);
  return Found != this->HolderIndex.end() &&
         this->Holders[Found->second].IsEnded;
}

std::vector<TeamId> BudgetFold::teams() const {
  std::vector<TeamId> All;
  All.reserve(this->Budgets.size());
  for (const auto &Owner : this->Budgets)
    All.push_back(Owner.Team);
  return All;
}

std::vector<TeamId> BudgetFold::teamsOf(Incarnation Holder) const {
  std::vector<TeamId> All;
  for (const auto &Owner : this->Budgets)
    if (this->findSlice(Owner, Holder) != None)
      All.push_back(Owner.Team);
  return All;
}

std::vector<Incarnation> BudgetFold::strandedHolders() const {
  std::vector<bool> HasSlice(this->Holders.size());
  for (const auto &Owner : this->Budgets)
    for (Index At = Owner.FirstSlice; At != None; At = this->Slices[At].Next)
      HasSlice[this->Slices[At].Holder] = true;
  std::vector<Incarnation> All;
  for (Index At = 0; At < this->Holders.size(); ++At)
    if (HasSlice[At] && this->Holders[At].IsEnded)
      All.push_back(this->Holders[At].Id);
  return All;
}

std::vector<TeamId> BudgetFold::verify() const {
  std::vector<TeamId> Wrong;
  for (const auto &Owner : this->Budgets) {
    TokenCount Outstanding = 0;
    bool IsNegative = Owner.Settled < 0 || Owner.Unallocated < 0;
    for (Index At = Owner.FirstSlice; At != None; At = this->Slices[At].Next) {
      Outstanding += this->Slices[At].Outstanding;
      IsNegative |= this->Slices[At].Outstanding < 0;
    }
    bool AddsUp =
        Outstanding == Owner.Outstanding &&
        Owner.Settled + Outstanding + Owner.Unallocated == Owner.ToppedUp;
    if (IsNegative || !AddsUp)
      Wrong.push_back(Owner.Team);
  }
  return Wrong;
}

std::size_t BudgetFold::sliceCount() const {
  return this->Slices.size() - this->FreeSlices.size();
}

std::size_t BudgetFold::budgetBytes() const {
  // A node of the index: the pair, the next pointer and the allocator's header.
  constexpr std::size_t NodeBytes =
      sizeof(std::pair<const TeamId, Index>) + 2 * sizeof(void *);
  return this->Budgets.capacity() * sizeof(Budget) +
         this->TeamIndex.size() * NodeBytes +
         this->TeamIndex.bucket_count() * sizeof(void *);
}

std::size_t BudgetFold::sliceBytes() const {
  return this->Slices.capacity() * sizeof(Slice) +
         this->FreeSlices.capacity() * sizeof(Index);
}

} // namespace bergamothook
