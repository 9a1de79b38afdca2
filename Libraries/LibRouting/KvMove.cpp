#include "LibRouting/KvMove.h"

#include "LibRouting/Seconds.h"

#include <algorithm>
#include <cmath>

namespace bergamothook {

namespace {

Duration prefill(double Tokens, double Rate) {
  return detail::fromSeconds(Tokens / Rate);
}

} // namespace

KvMoveDecision decideKvMove(const KvMoveInput &Input,
                            const KvMoveSettings &Settings) {
  double Computed = Input.ComputedTokens;
  double Remaining = Input.RemainingPrefillTokens;
  double Covered = std::min<double>(Input.DestinationCoveredTokens, Computed);
  Duration StayTime =
      Input.SourceWait + prefill(Remaining, Input.SourcePrefillTokensPerSecond);
  Duration TransferTime =
      Settings.FixedCost +
      detail::fromSeconds(Computed * Settings.BytesPerToken /
                          Settings.BytesPerSecond);
  // The transfer overlaps with the wait at the destination.
  Duration MoveTime =
      std::max(TransferTime, Input.DestinationWait) +
      prefill(Remaining, Input.DestinationPrefillTokensPerSecond);
  Duration RecomputeTime =
      Input.DestinationWait + prefill(Computed + Remaining - Covered,
                                      Input.DestinationPrefillTokensPerSecond);
  bool IsTransferFaster = MoveTime < RecomputeTime;
  Duration BestMoveTime = IsTransferFaster ? MoveTime : RecomputeTime;
  bool ShouldStay =
      !Input.MustLeave && BestMoveTime + Settings.MinGain > StayTime;
  if (ShouldStay)
    return KvMoveDecision::Stay;
  return IsTransferFaster ? KvMoveDecision::MoveCache
                          : KvMoveDecision::Recompute;
}

std::uint32_t kvMoveThreshold(double PrefillTokensPerSecond,
                              const KvMoveSettings &Settings) {
  double RecomputeSecondsPerToken = 1 / PrefillTokensPerSecond;
  double TransferSecondsPerToken =
      Settings.BytesPerToken / Settings.BytesPerSecond;
  if (TransferSecondsPerToken >= RecomputeSecondsPerToken)
    return NeverMoves;
  double Tokens = detail::toSeconds(Settings.FixedCost) /
                  (RecomputeSecondsPerToken - TransferSecondsPerToken);
  return static_cast<std::uint32_t>(std::ceil(Tokens));
}

} // namespace bergamothook
