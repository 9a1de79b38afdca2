#include "LibOverload/LoadShedder.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <numeric>

namespace bergamothook {

namespace {

/// What a call without a body adds to the link: its head, and an answer.
constexpr std::size_t BytesWithoutBody = 1024;

} // namespace

void LoadShedder::update(double LinkUtilization) {
  if (LinkUtilization > this->Policy.RefuseMoreAbove)
    this->Refused += this->Policy.Step;
  else if (LinkUtilization < this->Policy.RefuseFewerBelow)
    this->Refused -= this->Policy.Step;
  this->Refused = std::clamp(this->Refused, 0.0, this->Policy.MaxRefused);
}

std::size_t LoadShedder::classOf(const CallDemand &Call) {
  auto Rank = static_cast<std::size_t>(
      std::clamp(Call.Rank, 0, static_cast<int>(Ranks) - 1));
  auto Size =
      static_cast<std::size_t>(std::bit_width(Call.Bytes / BytesWithoutBody));
  return Rank * Sizes + std::min(Size, Sizes - 1);
}

void LoadShedder::decay(TimePoint Now) {
  std::chrono::duration<double> Elapsed =
      std::max(Duration::zero(), Now - this->DecayedAt);
  this->DecayedAt = std::max(this->DecayedAt, Now);
  double Factor = std::exp2(-(Elapsed / this->Policy.HalfLife));
  for (double &Bytes : this->Recent)
    Bytes *= Factor;
}

bool LoadShedder::admit(const CallDemand &Call, TimePoint Now) {
  this->decay(Now);
  std::size_t Class = classOf(Call);
  auto Bytes = static_cast<double>(Call.Bytes + BytesWithoutBody);
  this->Recent[Class] += Bytes;
  if (this->Refused <= 0)
    return true;
  auto Place = this->Recent.begin() + static_cast<std::ptrdiff_t>(Class);
  double Before = std::accumulate(this->Recent.begin(), Place, 0.0);
  double Sum = std::accumulate(Place, this->Recent.end(), Before);
  // The class at the boundary is refused in part.
  double Admitted = (1 - this->Refused) * Sum;
  return this->Rng.uniform() * *Place < Admitted - Before;
}

} // namespace bergamothook
