#include "LibReplay/RandomScenario.h"

#include <doctest/doctest.h>

using namespace bergamothook;

namespace {
constexpr std::uint64_t FirstSeed = 1;
constexpr std::uint64_t Scenarios = 10'000;
} // namespace

TEST_CASE("ten thousand random scenarios keep the invariants") {
  std::uint64_t Failed = 0;
  for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + Scenarios; ++Seed) {
    ScenarioReport Report = runScenario(randomScenario(Seed));
    if (Report.Violations.empty())
      continue;
    ++Failed;
    MESSAGE("seed " << Seed << ": " << Report.Violations.front());
  }
  MESSAGE("scenarios " << Scenarios << ", from seed " << FirstSeed
                       << ", failed " << Failed);
  CHECK(Failed == 0);
}

TEST_CASE("a seed gives the same report each time") {
  for (std::uint64_t Seed = 1; Seed < 20; ++Seed) {
    ScenarioReport First = runScenario(randomScenario(Seed));
    ScenarioReport Second = runScenario(randomScenario(Seed));
    REQUIRE(First.Requests.size() == Second.Requests.size());
    for (std::size_t Index = 0; Index < First.Requests.size(); ++Index) {
      CHECK(First.Requests[Index].Outcomes == Second.Requests[Index].Outcomes);
      CHECK(First.Requests[Index].Runs == Second.Requests[Index].Runs);
    }
  }
}
