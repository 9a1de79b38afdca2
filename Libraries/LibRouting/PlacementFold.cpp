#include "LibRouting/PlacementFold.h"

#include <algorithm>

namespace bergamothook {

ModelId PendingStep::variant() const {
  return variantIdOf(this->Action.Model, this->Action.Adapter,
                     this->Action.Version);
}

void PlacementFold::apply(Offset At, const PlacementRecord &Record) {
  if (!this->SeenRecords.insert(Record.Id).second)
    return;
  if (Record.Kind == PlacementRecordKind::Claim) {
    this->Claim = At;
    this->Decider = Record.Writer;
    for (PendingStep &Step : this->Steps)
      Step.IsStale = true;
    return;
  }
  bool IsFenced = !this->Claim || Record.Claim != *this->Claim ||
                  Record.Writer != this->Decider;
  if (IsFenced)
    return;
  if (Record.Kind == PlacementRecordKind::Order)
    this->applyOrder(Record);
  else
    this->applyEnd(Record);
}

bool PlacementFold::isDecider(const Incarnation &Host) const {
  return this->Claim && this->Decider == Host;
}

bool PlacementFold::maySend(RecordId Order, const Incarnation &Host) const {
  if (!this->isDecider(Host))
    return false;
  return std::any_of(this->Steps.begin(), this->Steps.end(),
                     [&](const PendingStep &Step) {
                       return Step.Order == Order && !Step.IsStale;
                     });
}

bool PlacementFold::mayUnload(TargetId Target, ModelId Model) const {
  return std::any_of(this->Steps.begin(), this->Steps.end(),
                     [&](const PendingStep &Step) {
                       return Step.Target == Target &&
                              Step.Action.Kind == EngineCommandKind::Unload &&
                              Step.variant() == Model;
                     });
}

bool PlacementFold::hasPendingStep(TargetId Target) const {
  return std::any_of(
      this->Steps.begin(), this->Steps.end(),
      [&](const PendingStep &Step) { return Step.Target == Target; });
}

void PlacementFold::applyOrder(const PlacementRecord &Record) {
  PendingStep Step;
  Step.Order = Record.Order;
  Step.Claim = Record.Claim;
  Step.Target = Record.Target;
  Step.Action.Fence = Record.Claim.Value;
  Step.Action.Kind = Record.Step;
  Step.Action.Model = Record.Model;
  Step.Action.Adapter = Record.Adapter;
  Step.Action.Version = Record.Version;
  Step.Action.Role = Record.Role;
  this->Steps.push_back(std::move(Step));
}

void PlacementFold::applyEnd(const PlacementRecord &Record) {
  bool IsDone = Record.Kind == PlacementRecordKind::Done;
  if (IsDone) {
    std::erase_if(this->Steps, [&](const PendingStep &Step) {
      return Step.Order == Record.Order;
    });
    return;
  }
  for (PendingStep &Step : this->Steps)
    if (Step.Order == Record.Order)
      Step.IsStale = true;
}

} // namespace bergamothook
