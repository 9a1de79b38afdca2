#include "LibReplay/RandomScenario.h"

#include "LibBase/Random.h"

namespace bergamothook {

namespace {

ScenarioRequest randomRequest(Random &Dice) {
  ScenarioRequest Made;
  bool IsOrder = Dice.chance(0.6);
  Made.Kind = IsOrder ? RequestKind::Order : RequestKind::Stream;
  // Few keys, so that callers meet under the same one.
  Made.Key = (IsOrder ? "order-" : "stream-") + std::to_string(Dice.below(3));
  bool HasOtherBody = IsOrder && Dice.chance(0.1);
  Made.Body = Made.Key + (HasOtherBody ? " other" : "");
  Made.At = Milliseconds(Dice.below(2000));
  Made.Host = Dice.below(3);
  Made.Tokens = 40;
  Made.CountsAttempts = Dice.chance(0.5);
  Made.HasTicket = IsOrder && Dice.chance(0.1);
  Made.IsPoison = !IsOrder && Dice.chance(0.05);
  Made.MayHedge = !IsOrder && Dice.chance(0.3);
  return Made;
}

ScenarioFault randomFault(Random &Dice, std::size_t Requests) {
  ScenarioFault Made;
  Made.Kind = static_cast<FaultKind>(Dice.below(FaultKindCount));
  Made.At = static_cast<Step>(Dice.below(StepCount));
  Made.AtTime = Milliseconds(Dice.below(4000));
  Made.Span = Milliseconds(200 + Dice.below(9000));
  Made.Subject = Dice.below(6);
  if (Dice.chance(0.7))
    Made.Request = Dice.below(Requests);
  return Made;
}

} // namespace

Scenario randomScenario(std::uint64_t Seed) {
  Random Dice(Seed);
  Scenario Made;
  Made.Seed = Seed;
  Made.Name = "random " + std::to_string(Seed);
  Made.ChecksFence = Dice.chance(0.5);
  std::size_t Requests = 1 + Dice.below(4);
  for (std::size_t At = 0; At < Requests; ++At) {
    Made.Requests.push_back(randomRequest(Dice));
    // A caller counts its attempts truly only if it alone uses the key.
    for (std::size_t Earlier = 0; Earlier < At; ++Earlier)
      if (Made.Requests[Earlier].Key == Made.Requests[At].Key) {
        Made.Requests[Earlier].CountsAttempts = false;
        Made.Requests[At].CountsAttempts = false;
      }
  }
  std::size_t Faults = Dice.below(5);
  for (std::size_t At = 0; At < Faults; ++At)
    Made.Faults.push_back(randomFault(Dice, Requests));
  return Made;
}

} // namespace bergamothook
