/// \file
/// The state of engine control as it follows from its records: who decides, and
/// which steps are under way. Every host that folds the same records has the
/// same state.

#ifndef BERGAMOTHOOK_LIBROUTING_PLACEMENTFOLD_H
#define BERGAMOTHOOK_LIBROUTING_PLACEMENTFOLD_H

#include "LibRouting/PlacementRecord.h"
#include "LibRouting/TargetTable.h"

#include <map>
#include <optional>
#include <unordered_set>
#include <vector>

namespace bergamothook {

/// A step that was ordered and has not ended.
struct PendingStep {
  RecordId Order;
  /// The number under which it may be sent.
  Offset Claim;
  TargetId Target;
  EngineCommand Wanted;
  /// Set when the step was given up, or its decider was replaced: it may still
  /// reach a target that does not check numbers.
  bool IsStale = false;

  /// The variant that the step loads or unloads.
  ModelId variant() const;
};

/// The fold of one stream. Not thread-safe.
class PlacementFold {
public:
  /// Takes the record at \p At. Copies of a record, and steps of a decider that
  /// was replaced before them, have no effect.
  void apply(Offset At, const PlacementRecord &Record);

  /// Gives the number of the present decider, if there is any.
  std::optional<Offset> claim() const { return this->Claim; }

  /// Tells whether \p Host decides at present.
  bool isDecider(const Incarnation &Host) const;

  /// Tells whether the step \p Order may be sent under \p Host: it counts, has
  /// not ended, and no later decider claimed.
  bool maySend(RecordId Order, const Incarnation &Host) const;

  /// Gives the steps that have not ended, in the order of the log.
  const std::vector<PendingStep> &pending() const { return this->Steps; }

  /// Tells whether a step that may still reach \p Target would take \p Model
  /// away from it, so that the target is no capacity for the model. Routers ask
  /// it too and send such a target no new work of the model.
  bool mayLose(TargetId Target, ModelId Model) const;

  /// Tells whether any step on \p Target is under way.
  bool isChanging(TargetId Target) const;

private:
  void applyOrder(const PlacementRecord &Record);
  void applyEnd(const PlacementRecord &Record);

  std::optional<Offset> Claim;
  Incarnation Decider;
  std::vector<PendingStep> Steps;
  std::unordered_set<RecordId> Seen;
};

} // namespace bergamothook

#endif
