/// \file
/// Decides from the demand which engines load or unload which models.
///
/// The demand for a model is the number of sequences that run or wait, smoothed
/// over a minute. Capacity is counted in sequences per batch, on live targets
/// only and without those that a pending step may unload the model from. A
/// model is loaded on another engine when the demand exceeds one share of its
/// capacity, and unloaded from one when the demand falls below a smaller share
/// of the remaining capacity, so that enough for the demand and some headroom
/// always remains.

#ifndef BERGAMOTHOOK_LIBROUTING_PLACEMENTDECIDER_H
#define BERGAMOTHOOK_LIBROUTING_PLACEMENTDECIDER_H

#include "LibRouting/PlacementFold.h"
#include "LibRouting/TargetTable.h"

#include <map>
#include <string>
#include <vector>

namespace bergamothook {

struct PlacementSettings {
  /// A model is loaded on another engine when its demand exceeds this share of
  /// its capacity. It may be unloaded from one when the demand is below the
  /// lower share of the capacity that would remain.
  double ScaleUpThreshold = 0.8;
  double ScaleDownThreshold = 0.4;
  /// How long the demand has to stay below the threshold, and how long the
  /// model has to be unchanged, before it is unloaded from an engine.
  Duration ScaleDownDelay = std::chrono::minutes(5);
  /// The time constant of the demand: after it, old demand has a weight of 1/e.
  Duration DemandDecay = std::chrono::minutes(1);
  /// The number of models that fit into one engine.
  std::size_t MaxModelsPerTarget = 2;
  /// Limits that protect the weight store: concurrent loads, and loads per
  /// second.
  std::size_t MaxConcurrentLoads = 4;
  double LoadsPerSecond = 0.1;
};

/// A model with an adapter and a version.
struct ModelVariant {
  std::string Model;
  std::string Adapter;
  std::string Version;

  ModelId id() const {
    return variantIdOf(this->Model, this->Adapter, this->Version);
  }

  auto operator<=>(const ModelVariant &) const = default;
};

/// A planned step; it is written to the log before it is sent.
struct PlacementStep {
  TargetId Target;
  EngineCommandKind Kind = EngineCommandKind::Load;
  ModelVariant Variant;
};

/// The decider of one host. It has no authoritative state: a host that takes
/// over starts with an empty decider and the same fold. Not thread-safe.
class PlacementDecider {
public:
  explicit PlacementDecider(PlacementSettings Settings);

  /// Reports the number of sequences of a variant that run or wait on all
  /// hosts.
  void demand(const ModelVariant &Variant, double Sequences, TimePoint Now);

  /// Returns the steps to take now. It updates only the rate limit of loads and
  /// the times of low demand: it is called repeatedly and finds the steps that
  /// it returned in \p Fold.
  std::vector<PlacementStep> decide(const TargetTable &Table,
                                    const PlacementFold &Fold, TimePoint Now);

private:
  struct DemandEstimate {
    double Sequences = 0;
    TimePoint At;
    TimePoint LowSince;
    bool IsLow = false;
  };

  struct Capacity {
    double MaxSequences = 0;
    std::vector<TargetTable::Slot> Holders;
    /// The number of pending loads of the variant.
    std::size_t PendingLoads = 0;
  };

  Capacity capacityOf(ModelId Model, const TargetTable &Table,
                      const PlacementFold &Fold) const;
  bool canStartLoad(const PlacementFold &Fold, std::size_t Planned,
                    TimePoint Now);
  std::optional<TargetTable::Slot>
  selectTarget(ModelId Model, const TargetTable &Table,
               const PlacementFold &Fold,
               const std::vector<PlacementStep> &Planned, TimePoint Now) const;
  std::optional<PlacementStep>
  planLoad(const ModelVariant &Variant, const DemandEstimate &Demand,
           const TargetTable &Table, const PlacementFold &Fold,
           const std::vector<PlacementStep> &Planned, TimePoint Now);
  std::optional<PlacementStep> planUnload(const ModelVariant &Variant,
                                          DemandEstimate &Demand,
                                          const TargetTable &Table,
                                          const PlacementFold &Fold,
                                          TimePoint Now);

  PlacementSettings Settings;
  std::map<ModelVariant, DemandEstimate> Demands;
  double LoadRateTokens;
  TimePoint TokensUpdatedAt;
  bool HasTokensUpdatedAt = false;
};

} // namespace bergamothook

#endif
