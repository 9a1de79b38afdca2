/// \file
/// The records of engine control on the log. Their order decides who may order
/// what: the offset of a claim is the decider's number, and a step counts only
/// if its number is that of the latest claim before it.

#ifndef BERGAMOTHOOK_LIBROUTING_PLACEMENTRECORD_H
#define BERGAMOTHOOK_LIBROUTING_PLACEMENTRECORD_H

#include "LibBase/Ids.h"
#include "LibTarget/EngineControl.h"

#include <cstdint>
#include <string>

namespace bergamothook {

enum class PlacementRecordKind : std::uint8_t {
  /// A host takes over the decisions.
  Claim,
  /// A step is ordered. It may be sent once it is read back as counting.
  Order,
  /// The target was seen in the state that a step asked for.
  Done,
  /// A step is given up. Until its target confirms otherwise, a step that took
  /// something away still counts as carried out.
  GivenUp,
};

/// One record. Its identifier tells copies of it apart from other records.
struct PlacementRecord {
  RecordId Id;
  PlacementRecordKind Kind = PlacementRecordKind::Claim;
  Incarnation Writer;
  /// The offset of the writer's claim; 0 in a claim.
  Offset Claim;
  /// The order's own identifier, or that of the order that a record ends.
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
