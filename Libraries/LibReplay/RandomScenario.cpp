#include "LibReplay/RandomScenario.h"

#include "LibBase/Random.h"

namespace bergamothook {

namespace {

ScenarioRequest randomRequest(Random &Rng) {
  ScenarioRequest Request;
  bool IsOrder = Rng.chance(0.6);
  Request.Kind = IsOrder ? RequestKind::Order : RequestKind::Stream;
  // Few keys, so that several callers use the same one.
  Request.Key = (IsOrder ? "order-" : "stream-") + std::to_string(Rng.below(3));
  bool HasOtherBody = IsOrder && Rng.chance(0.1);
  Request.Body = Request.Key + (HasOtherBody ? " other" : "");
  Request.At = Milliseconds(Rng.below(2000));
  Request.Host = Rng.below(3);
  Request.Tokens = 40;
  Request.CountsAttempts = Rng.chance(0.5);
  Request.HasTicket = IsOrder && Rng.chance(0.1);
  Request.IsPoison = !IsOrder && Rng.chance(0.05);
  Request.MayHedge = !IsOrder && Rng.chance(0.3);
  return Request;
}

ScenarioFault randomFault(Random &Rng, std::size_t Requests) {
  ScenarioFault Fault;
  Fault.Kind = static_cast<FaultKind>(Rng.below(FaultKindCount));
  Fault.At = static_cast<Step>(Rng.below(StepCount));
  Fault.AtTime = Milliseconds(Rng.below(4000));
  Fault.Span = Milliseconds(200 + Rng.below(9000));
  Fault.Subject = Rng.below(6);
  if (Rng.chance(0.7))
    Fault.Request = Rng.below(Requests);
  return Fault;
}

} // namespace

Scenario randomScenario(std::uint64_t Seed) {
  Random Rng(Seed);
  Scenario Generated;
  Generated.Seed = Seed;
  Generated.Name = "random " + std::to_string(Seed);
  Generated.ChecksFence = Rng.chance(0.5);
  std::size_t Requests = 1 + Rng.below(4);
  for (std::size_t Index = 0; Index < Requests; ++Index) {
    Generated.Requests.push_back(randomRequest(Rng));
    // A caller knows the attempt number only if no other caller uses the key.
    for (std::size_t Earlier = 0; Earlier < Index; ++Earlier)
      if (Generated.Requests[Earlier].Key == Generated.Requests[Index].Key) {
        Generated.Requests[Earlier].CountsAttempts = false;
        Generated.Requests[Index].CountsAttempts = false;
      }
  }
  std::size_t Faults = Rng.below(5);
  for (std::size_t Index = 0; Index < Faults; ++Index)
    Generated.Faults.push_back(randomFault(Rng, Requests));
  return Generated;
}

} // namespace bergamothook
