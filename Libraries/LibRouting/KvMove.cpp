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
  Duration Stay =
      Input.SourceWait + prefill(Remaining, Input.SourcePrefillTokensPerSecond);
  Duration Transfer = Settings.FixedCost +
                      detail::fromSeconds(Computed * Settings.BytesPerToken /
                                          Settings.BytesPerSecond);
  // The transfer overlaps with the wait at the destination.
  Duration Move = std::max(Transfer, Input.DestinationWait) +
                  prefill(Remaining, Input.DestinationPrefillTokensPerSecond);
  Duration Recompute =
      Input.DestinationWait + prefill(Computed + Remaining - Covered,
                                      Input.DestinationPrefillTokensPerSecond);
  bool Moves = Move < Recompute;
  Duration Leave = Moves ? Move : Recompute;
  bool Stays = !Input.MustLeave && Leave + Settings.MinGain > Stay;
  if (Stays)
    return KvMoveDecision::Stay;
  return Moves ? KvMoveDecision::MoveCache : KvMoveDecision::Recompute;
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
