/// \file
/// The log records of engine control. Their order in the log determines who may
/// order steps: the offset of a claim is the fencing number of the decider, and
/// a step is valid only if it carries the number of the latest claim before it.

#ifndef BERGAMOTHOOK_LIBROUTING_PLACEMENTRECORD_H
#define BERGAMOTHOOK_LIBROUTING_PLACEMENTRECORD_H

#include "LibBase/Ids.h"
#include "LibTarget/EngineControl.h"

#include <cstdint>
#include <string>

namespace bergamothook {

enum class PlacementRecordKind : std::uint8_t {
  /// A host takes over as the decider.
  Claim,
  /// A step is ordered. It may be sent once it has been read back from the log
  /// as valid.
  Order,
  /// The target was observed in the state that a step requested.
  Done,
  /// A step is abandoned. Until its target confirms otherwise, an unload still
  /// counts as carried out.
  Abandoned,
};

/// A log record. Its identifier distinguishes it from other records and marks
/// duplicates.
struct PlacementRecord {
  RecordId Id;
  PlacementRecordKind Kind = PlacementRecordKind::Claim;
  Incarnation Writer;
  /// The offset of the writer's claim; 0 in a claim.
  Offset Claim;
  /// The identifier of the ordered step, or of the step that this record ends.
  RecordId Order;
  TargetId Target;
  EngineCommandKind Step = EngineCommandKind::Load;
  std::string Model;
  std::string Adapter;
  std::string Version;
  EngineRole Role = EngineRole::Both;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Kind, this->Writer, this->Claim, this->Order,
       this->Target, this->Step, this->Model, this->Adapter, this->Version,
       this->Role);
  }
};

} // namespace bergamothook

#endif
