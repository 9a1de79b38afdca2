#include "RoutingBaselines.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace bergamothook {

namespace {

using Slot = TargetTable::Slot;

double queueOf(const TargetTable &Table, Slot Place) {
  const LoadReport &Report = Table.at(Place).Report;
  return Report.Running + Report.Waiting;
}

/// The score of equation 5.
double queueOverSpeedOf(const TargetTable &Table, Slot Place) {
  return queueOf(Table, Place) / Table.prefillRate(Place);
}

/// The place of a target in the columns of failure domains.
using Columns = std::vector<std::vector<Slot>>;

Columns columnsOf(const TargetTable &Table, std::vector<Slot> Places) {
  std::stable_sort(Places.begin(), Places.end(), [&](Slot A, Slot B) {
    return Table.prefillRate(A) < Table.prefillRate(B);
  });
  std::map<FailureDomainId, std::vector<Slot>> ByDomain;
  for (Slot Place : Places)
    ByDomain[Table.at(Place).Info.Domain].push_back(Place);
  Columns Sorted;
  for (auto &[Domain, Column] : ByDomain)
    Sorted.push_back(std::move(Column));
  return Sorted;
}

/// The aggregated load above one place of a column (equation 1; in columns the
/// overlap fraction of equation 2 is 1).
struct Aggregate {
  double Nodes = 0;
  double Queue = 0;
};

Aggregate aggregateAbove(const TargetTable &Table,
                         const std::vector<Slot> &Column, std::size_t Row) {
  Aggregate Above;
  for (std::size_t I = Row + 1; I < Column.size(); ++I) {
    Above.Nodes += 1;
    Above.Queue += queueOf(Table, Column[I]);
  }
  return Above;
}

} // namespace

BaselineChooser::BaselineChooser(Baseline Kind, std::uint64_t Seed)
    : Kind(Kind), Draws(Seed), Turn(Draws.below(1000)) {}

std::optional<TargetTable::Slot>
BaselineChooser::choose(const TargetTable &Table,
                        const std::vector<Slot> &Places,
                        std::span<const TargetId> Excluded) {
  this->Usable.clear();
  for (Slot Place : Places) {
    const TargetTable::Entry &Target = Table.at(Place);
    bool IsExcluded = std::find(Excluded.begin(), Excluded.end(),
                                Target.Info.Id) != Excluded.end();
    if (Target.State == TargetState::Live && !IsExcluded)
      this->Usable.push_back(Place);
  }
  if (this->Usable.empty())
    return std::nullopt;
  switch (this->Kind) {
  case Baseline::Random:
    return this->Usable[this->Draws.below(this->Usable.size())];
  case Baseline::RoundRobin:
    return this->Usable[this->Turn++ % this->Usable.size()];
  case Baseline::LeastReported:
    return this->leastReported(Table);
  case Baseline::TwoChoices:
    return this->twoChoices(Table);
  case Baseline::QueueOverSpeed:
    return this->queueOverSpeed(Table);
  case Baseline::LoadPush:
    return this->loadPush(Table);
  }
  return std::nullopt;
}

TargetTable::Slot BaselineChooser::leastReported(const TargetTable &Table) {
  std::rotate(
      this->Usable.begin(),
      this->Usable.begin() +
          static_cast<std::ptrdiff_t>(this->Draws.below(this->Usable.size())),
      this->Usable.end());
  return *std::min_element(
      this->Usable.begin(), this->Usable.end(),
      [&](Slot A, Slot B) { return queueOf(Table, A) < queueOf(Table, B); });
}

TargetTable::Slot BaselineChooser::twoChoices(const TargetTable &Table) {
  Slot First = this->Usable[this->Draws.below(this->Usable.size())];
  Slot Second = this->Usable[this->Draws.below(this->Usable.size())];
  return queueOf(Table, Second) < queueOf(Table, First) ? Second : First;
}

TargetTable::Slot BaselineChooser::queueOverSpeed(const TargetTable &Table) {
  std::rotate(
      this->Usable.begin(),
      this->Usable.begin() +
          static_cast<std::ptrdiff_t>(this->Draws.below(this->Usable.size())),
      this->Usable.end());
  return *std::min_element(
      this->Usable.begin(), this->Usable.end(), [&](Slot A, Slot B) {
        return queueOverSpeedOf(Table, A) < queueOverSpeedOf(Table, B);
      });
}

TargetTable::Slot BaselineChooser::loadPush(const TargetTable &Table) {
  constexpr double StoppingFactor = 2;
  Columns Sorted = columnsOf(Table, this->Usable);
  std::size_t At = this->Draws.below(Sorted.size());
  std::size_t Row = 0;
  std::vector<Slot> Passed;
  while (true) {
    Slot Here = Sorted[At][std::min(Row, Sorted[At].size() - 1)];
    Passed.push_back(Here);
    if (queueOf(Table, Here) == 0)
      return Here;
    // Equation 3 picks the column to go on in.
    double Best = INFINITY;
    double NodesAbove = 0;
    for (std::size_t I = 0; I < Sorted.size(); ++I) {
      Aggregate Above = aggregateAbove(Table, Sorted[I], Row);
      if (Above.Nodes == 0)
        continue;
      double Objective = Above.Queue / (Above.Nodes * Above.Nodes);
      if (Objective >= Best)
        continue;
      Best = Objective;
      At = I;
      NodesAbove = Above.Nodes;
    }
    bool IsAtEdge = NodesAbove == 0;
    double Stop = 1 / std::pow(1 + NodesAbove, StoppingFactor); // Equation 4.
    if (IsAtEdge || this->Draws.chance(Stop))
      break;
    ++Row;
  }
  return *std::min_element(Passed.begin(), Passed.end(), [&](Slot A, Slot B) {
    return queueOverSpeedOf(Table, A) < queueOverSpeedOf(Table, B);
  });
}

} // namespace bergamothook
