#include "LibBase/Random.h"

#include <cmath>

namespace bergamothook {

Random::Random(std::uint64_t Seed) : Engine(Seed) {}

std::uint64_t Random::next() { return this->Engine(); }

std::uint64_t Random::below(std::uint64_t Limit) { return this->Engine(Limit); }

double Random::uniform() {
  constexpr double TwoToMinus53 = 0x1.0p-53;
  return static_cast<double>(this->next() >> 11) * TwoToMinus53;
}

bool Random::chance(double Probability) {
  return this->uniform() < Probability;
}

double Random::exponential(double Mean) {
  return -Mean * std::log1p(-this->uniform());
}

Duration Random::jitter(Duration Base) {
  double JitterFactor = 0.5 + this->uniform();
  return Duration(static_cast<Duration::rep>(static_cast<double>(Base.count()) *
                                             JitterFactor));
}

Hash128 Random::next128() {
  std::uint64_t High = this->next();
  return {High, this->next()};
}

} // namespace bergamothook
