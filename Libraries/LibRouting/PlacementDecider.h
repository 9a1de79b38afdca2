/// \file
/// Decides which engine loads or unloads which model next, from the demand.
///
/// Demand for a model is the number of sequences that want to run at one time,
/// smoothed over a minute. Capacity is counted in places of a batch, only on
/// live targets that no step under way can take the model from. A model gets
/// another engine above one share of its capacity and loses one below a smaller
/// share, and never so that less is left than the demand with headroom.

#ifndef BERGAMOTHOOK_LIBROUTING_PLACEMENTDECIDER_H
#define BERGAMOTHOOK_LIBROUTING_PLACEMENTDECIDER_H

#include "LibRouting/PlacementFold.h"
#include "LibRouting/TargetTable.h"

#include <map>
#include <string>
#include <vector>

namespace bergamothook {

struct PlacementSettings {
  /// A model gets another engine above this share of its places in use, and may
  /// lose one while the rest would stay below the lower share.
  double GrowAbove = 0.8;
  double ShrinkBelow = 0.4;
  /// How long a model has to stay below before it loses an engine, and how long
  /// after its last change.
  Duration ShrinkAfter = std::chrono::minutes(5);
  /// The time in which old demand counts for a share of 1/e.
  Duration DemandDecay = std::chrono::minutes(1);
  /// The models that fit into one engine.
  std::size_t ModelsPerTarget = 2;
  /// Loads that the weight store bears: at one time, and per second.
  std::size_t MaxLoads = 4;
  double LoadsPerSecond = 0.1;
};

/// One model, adapter and version.
struct ModelVariant {
  std::string Model;
  std::string Adapter;
  std::string Version;

  ModelId id() const {
    return variantIdOf(this->Model, this->Adapter, this->Version);
  }

  auto operator<=>(const ModelVariant &) const = default;
};

/// A step that the decider wants; it is written to the log before it is sent.
struct PlacementStep {
  TargetId Target;
  EngineCommandKind Kind = EngineCommandKind::Load;
  ModelVariant Variant;
};

/// The decider of one host. It holds no truth: a host that takes over starts
/// with an empty one and the same fold. Not thread-safe.
class PlacementDecider {
public:
  explicit PlacementDecider(PlacementSettings Settings);

  /// Tells the sequences of a variant that run or wait over all hosts.
  void demand(const ModelVariant &Variant, double Sequences, TimePoint Now);

  /// Gives the steps to take now. It changes nothing but the measure of what
  /// the weight store bears: it is called again and sees its steps in \p Fold.
  std::vector<PlacementStep> decide(const TargetTable &Table,
                                    const PlacementFold &Fold, TimePoint Now);

private:
  struct Wish {
    double Sequences = 0;
    TimePoint At;
    TimePoint LowSince;
    bool IsLow = false;
  };

  struct Capacity {
    double Places = 0;
    std::vector<TargetTable::Slot> Holders;
    /// Loads of the variant that are under way.
    std::size_t Arriving = 0;
  };

  Capacity capacityOf(ModelId Model, const TargetTable &Table,
                      const PlacementFold &Fold) const;
  bool mayLoad(const PlacementFold &Fold, std::size_t Planned, TimePoint Now);
  std::optional<TargetTable::Slot>
  placeFor(ModelId Model, const TargetTable &Table, const PlacementFold &Fold,
           const std::vector<PlacementStep> &Planned, TimePoint Now) const;
  std::optional<PlacementStep>
  grow(const ModelVariant &Variant, const Wish &Wanted,
       const TargetTable &Table, const PlacementFold &Fold,
       const std::vector<PlacementStep> &Planned, TimePoint Now);
  std::optional<PlacementStep> shrink(const ModelVariant &Variant, Wish &Wanted,
                                      const TargetTable &Table,
                                      const PlacementFold &Fold, TimePoint Now);

  PlacementSettings Settings;
  std::map<ModelVariant, Wish> Wishes;
  double LoadTokens;
  TimePoint TokensAt;
  bool HasTokensAt = false;
};

} // namespace bergamothook

#endif
