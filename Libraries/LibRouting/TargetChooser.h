/// \file
/// Chooses the target of a request: the one with the lowest sum of the
/// estimated wait, the prefill time of the part of the prompt that is not
/// cached, and the decode time beside other work.
///
/// For a model with few targets, all of them are compared. Otherwise the
/// targets that have cached the prompt's prefix and a random sample are
/// compared, which bounds the time of a decision and keeps hosts with the same
/// outdated report from all choosing the same target.

#ifndef BERGAMOTHOOK_LIBROUTING_TARGETCHOOSER_H
#define BERGAMOTHOOK_LIBROUTING_TARGETCHOOSER_H

#include "LibBase/Random.h"
#include "LibBase/Result.h"
#include "LibRouting/Choice.h"
#include "LibRouting/OutlierDetector.h"
#include "LibRouting/PrefixIndex.h"
#include "LibRouting/RequestFeatures.h"
#include "LibRouting/RoutingError.h"
#include "LibRouting/TargetTable.h"

namespace bergamothook {

struct ChooserSettings {
  /// Up to this number of targets of a model, all are compared.
  std::uint32_t CompareAllUpTo = 32;
  /// The size of the random sample for a model with more targets.
  std::uint32_t SampleSize = 16;
  /// The penalty for a target in another failure domain.
  Duration OtherDomainCost = std::chrono::milliseconds(2);
  /// The weight of the prefill time of the uncached part of a prompt. It is
  /// above 1 because prefill also delays all other work of the target.
  double PrefillWeight = 4;
  /// The weight of the decode time, by class.
  double QuickDecodeWeight = 0.1;
  double DraftDecodeWeight = 0.3;
  /// The share of a cached prefix that is assumed to be valid after a gap in
  /// the events.
  double GapConfidence = 0.5;
  /// The answer length assumed for work that is already on a target.
  double MeanAnswerTokens = 200;
  /// The relative amplitude of the random noise in a score, so that hosts with
  /// the same data do not all choose the same target.
  double ScoreNoise = 0.05;
};

/// The chooser of one host. Not thread-safe. The table, the index and the
/// detector must outlive it.
class TargetChooser {
public:
  TargetChooser(const TargetTable &Table, PrefixIndex &Prefixes,
                const OutlierDetector &Outliers, ChooserSettings Settings,
                std::uint64_t Seed);

  /// Chooses a target. It does not count the request as dispatched: the caller
  /// calls TargetTable::dispatched() when it sends. Errors: ModelNotLoaded and
  /// NoTargetLeft; nothing was sent in either case.
  Result<Choice> choose(const RequestFeatures &Request, TimePoint Now);

private:
  using Slot = TargetTable::Slot;

  enum class Eligibility { Usable, LastResort, Excluded };

  Eligibility eligibility(Slot SlotIndex, const RequestFeatures &Request,
                          TimePoint Now) const;
  void collectCandidates(const std::vector<Slot> &Serving,
                         const RequestFeatures &Request, TimePoint Now);
  void addCandidate(Slot SlotIndex, const RequestFeatures &Request,
                    TimePoint Now);
  Candidate score(Slot SlotIndex, const RequestFeatures &Request,
                  TimePoint Now);
  std::uint32_t coveredTokens(Slot SlotIndex,
                              const RequestFeatures &Request) const;

  const TargetTable &Table;
  PrefixIndex &Prefixes;
  const OutlierDetector &Outliers;
  ChooserSettings Settings;
  Random Generator;

  // Reused between calls to reduce allocations.
  std::vector<Slot> Usable;
  std::vector<Slot> LastResorts;
  std::vector<PrefixHolder> Holders;
};

} // namespace bergamothook

#endif
