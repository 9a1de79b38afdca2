#include "RoutingFigures.h"

#include <algorithm>

namespace bergamothook {

void TimeSamples::add(Duration Value) {
  std::chrono::duration<float, std::milli> Milliseconds = Value;
  this->Values.push_back(Milliseconds.count());
  this->IsSorted = false;
}

double TimeSamples::quantile(double Share) {
  if (this->Values.empty())
    return 0;
  if (!this->IsSorted)
    std::sort(this->Values.begin(), this->Values.end());
  this->IsSorted = true;
  auto Place = static_cast<std::size_t>(
      Share * static_cast<double>(this->Values.size() - 1));
  return this->Values[Place];
}

double ClassFigures::lateShare() const {
  if (this->Offered == 0)
    return 0;
  return 1 -
         static_cast<double>(this->InTime) / static_cast<double>(this->Offered);
}

double RoutingFigures::goodput() const {
  std::uint64_t InTime = 0;
  for (const ClassFigures &Class : this->Classes)
    InTime += Class.InTime;
  return static_cast<double>(InTime) / this->Seconds;
}

double RoutingFigures::amplification() const {
  if (this->FirstAttempts == 0)
    return 1;
  return static_cast<double>(this->Attempts) /
         static_cast<double>(this->FirstAttempts);
}

double RoutingFigures::cacheShare() const {
  if (this->PromptTokens == 0)
    return 0;
  return static_cast<double>(this->CachedTokens) /
         static_cast<double>(this->PromptTokens);
}

double RoutingFigures::recoverySeconds(std::size_t From) const {
  constexpr std::size_t Window = 5;
  constexpr double MaxLateShare = 0.05;
  std::size_t End = this->OfferedBySecond.size();
  std::size_t Recovered = From;
  for (std::size_t At = From; At + Window <= End; ++At) {
    double Offered = 0;
    double InTime = 0;
    for (std::size_t I = At; I < At + Window; ++I) {
      Offered += this->OfferedBySecond[I];
      InTime += this->InTimeBySecond[I];
    }
    if (Offered > 0 && InTime < (1 - MaxLateShare) * Offered)
      Recovered = At + 1;
  }
  return static_cast<double>(Recovered - From);
}

} // namespace bergamothook
