/// \file
/// The state of engine control, derived from its log records: the current
/// decider and the pending steps. All hosts that apply the same records have
/// the same state.

#ifndef BERGAMOTHOOK_LIBROUTING_PLACEMENTFOLD_H
#define BERGAMOTHOOK_LIBROUTING_PLACEMENTFOLD_H

#include "LibRouting/PlacementRecord.h"
#include "LibRouting/TargetTable.h"

#include <map>
#include <optional>
#include <unordered_set>
#include <vector>

namespace bergamothook {

/// A step that was ordered and has not completed.
struct PendingStep {
  RecordId Order;
  /// The offset of the decider's claim, which is the fencing number of the
  /// step.
  Offset Claim;
  TargetId Target;
  EngineCommand Action;
  /// Set when the step was abandoned or its decider was replaced: it may still
  /// reach a target that does not check fencing numbers.
  bool IsStale = false;

  /// Returns the variant that the step loads or unloads.
  ModelId variant() const;
};

/// The fold of one stream. Not thread-safe.
class PlacementFold {
public:
  /// Applies the record at offset \p At. Duplicate records, and records of a
  /// decider that was already replaced, have no effect.
  void apply(Offset At, const PlacementRecord &Record);

  /// Returns the claim of the current decider, if there is one.
  std::optional<Offset> claim() const { return this->Claim; }

  /// Returns whether \p Host is the current decider.
  bool isDecider(const Incarnation &Host) const;

  /// Returns whether \p Host may send the step \p Order: the host is the
  /// current decider, and the step is pending and not stale.
  bool maySend(RecordId Order, const Incarnation &Host) const;

  /// Returns the steps that have not completed, in log order.
  const std::vector<PendingStep> &pending() const { return this->Steps; }

  /// Returns whether a step that may still reach \p Target would unload
  /// \p Model from it, so that the target does not count as capacity for the
  /// model. Routers ask it too and send such a target no new work of the model.
  bool mayUnload(TargetId Target, ModelId Model) const;

  /// Returns whether any step on \p Target is pending.
  bool hasPendingStep(TargetId Target) const;

private:
  void applyOrder(const PlacementRecord &Record);
  void applyEnd(const PlacementRecord &Record);

  std::optional<Offset> Claim;
  Incarnation Decider;
  std::vector<PendingStep> Steps;
  std::unordered_set<RecordId> SeenRecords;
};

} // namespace bergamothook

#endif
