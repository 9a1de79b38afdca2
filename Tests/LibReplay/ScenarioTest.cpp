#include "LibReplay/Scenario.h"

#include <doctest/doctest.h>

using namespace bergamothook;

namespace {

ScenarioRequest orderNamed(const std::string &Key) {
  ScenarioRequest Made;
  Made.Key = Key;
  Made.Body = "one rail set";
  return Made;
}

ScenarioRequest streamNamed(const std::string &Key) {
  ScenarioRequest Made = orderNamed(Key);
  Made.Kind = RequestKind::Stream;
  return Made;
}

} // namespace

TEST_CASE("without faults an order runs once and a stream is whole") {
  Scenario Played;
  Played.Requests = {orderNamed("a"), streamNamed("b")};
  ScenarioReport Report = runScenario(Played);
  CHECK(Report.Violations.empty());
  for (const auto &Request : Report.Requests) {
    REQUIRE(Request.Answers.size() == 1);
    CHECK(Request.Answers[0] == Outcome::Done);
    CHECK(Request.IsWhole);
    CHECK(Request.Runs == 1);
  }
}
