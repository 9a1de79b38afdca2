/// \file
/// Chooses the target of a request: the least sum of the estimated wait, the
/// uncovered part of the prompt and the generation beside other work.
///
/// A model with few targets has all of them compared. Otherwise the targets
/// that hold the prompt's prefix and a random sample are compared, which bounds
/// the time of a decision and keeps many hosts with one late report from taking
/// the same target.

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
  /// Up to so many targets of a model, all are compared.
  std::uint32_t CompareAllUpTo = 32;
  /// The size of the random sample of a larger model.
  std::uint32_t SampleSize = 16;
  /// What a target in another failure domain costs.
  Duration OtherDomainCost = std::chrono::milliseconds(2);
  /// How much the computation of the uncovered part of a prompt counts: more
  /// than once, since it also delays all other work of the target.
  double PrefillWeight = 4;
  /// How much of the generation's time counts, by class.
  double QuickDecodeWeight = 0.1;
  double DraftDecodeWeight = 0.3;
  /// The share of a held prefix that is believed after a gap in the events.
  double GapConfidence = 0.5;
  /// The answer length assumed of work that is already on a target.
  double MeanAnswerTokens = 200;
  /// The share of the score that is drawn at random, so that hosts with equal
  /// knowledge do not all choose the same target.
  double ScoreNoise = 0.05;
};

/// The chooser of one host. Not thread-safe. The table, the index and the
/// detector outlive it.
class TargetChooser {
public:
  TargetChooser(const TargetTable &Table, PrefixIndex &Prefixes,
                const OutlierDetector &Outliers, ChooserSettings Settings,
                std::uint64_t Seed);

  /// Chooses a target. It counts nothing: the caller tells the table with
  /// TargetTable::dispatched() when it sends. Errors: ModelNotLoaded and
  /// NoTargetLeft, neither of which sent anything.
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

  // Kept between calls so that a decision allocates little.
  std::vector<Slot> Usable;
  std::vector<Slot> LastResorts;
  std::vector<PrefixHolder> Holders;
};

} // namespace bergamothook

#endif
