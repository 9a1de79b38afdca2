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

KvMoveAnswer decideKvMove(const KvMoveQuestion &Question,
                          const KvMoveSettings &Settings) {
  double Computed = Question.ComputedTokens;
  double Left = Question.PrefillLeft;
  double Covered = std::min<double>(Question.CoveredThere, Computed);
  Duration Stay = Question.WaitHere + prefill(Left, Question.PrefillHere);
  Duration Transfer = Settings.FixedCost +
                      detail::fromSeconds(Computed * Settings.BytesPerToken /
                                          Settings.BytesPerSecond);
  // The transfer runs while the stream waits for its place.
  Duration Move = std::max(Transfer, Question.WaitThere) +
                  prefill(Left, Question.PrefillThere);
  Duration Anew = Question.WaitThere +
                  prefill(Computed + Left - Covered, Question.PrefillThere);
  bool Moves = Move < Anew;
  Duration Leave = Moves ? Move : Anew;
  bool Stays = !Question.HasToLeave && Leave + Settings.LeastGain > Stay;
  if (Stays)
    return KvMoveAnswer::Stay;
  return Moves ? KvMoveAnswer::MoveCache : KvMoveAnswer::ComputeAnew;
}

std::uint32_t kvMoveThreshold(double PrefillTokensPerSecond,
                              const KvMoveSettings &Settings) {
  double Anew = 1 / PrefillTokensPerSecond;
  double Moved = Settings.BytesPerToken / Settings.BytesPerSecond;
  if (Moved >= Anew)
    return NeverMoves;
  double Tokens = detail::toSeconds(Settings.FixedCost) / (Anew - Moved);
  return static_cast<std::uint32_t>(std::ceil(Tokens));
}

} // namespace bergamothook
