#include "LibReplay/RandomScenario.h"

#include <doctest/doctest.h>

using namespace bergamothook;

namespace {
constexpr std::uint64_t FirstSeed = 1;
constexpr std::uint64_t Schedules = 10'000;
} // namespace

TEST_CASE("ten thousand random schedules keep the invariants") {
  std::uint64_t Broken = 0;
  for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + Schedules; ++Seed) {
    ScenarioReport Report = runScenario(randomScenario(Seed));
    if (Report.Violations.empty())
      continue;
    ++Broken;
    MESSAGE("seed " << Seed << ": " << Report.Violations.front());
  }
  MESSAGE("schedules " << Schedules << ", from seed " << FirstSeed
                       << ", broken " << Broken);
  CHECK(Broken == 0);
}

TEST_CASE("a seed gives the same report each time") {
  for (std::uint64_t Seed = 1; Seed < 20; ++Seed) {
    ScenarioReport First = runScenario(randomScenario(Seed));
    ScenarioReport Second = runScenario(randomScenario(Seed));
    REQUIRE(First.Requests.size() == Second.Requests.size());
    for (std::size_t At = 0; At < First.Requests.size(); ++At) {
      CHECK(First.Requests[At].Outcomes == Second.Requests[At].Outcomes);
      CHECK(First.Requests[At].Runs == Second.Requests[At].Runs);
    }
  }
}
