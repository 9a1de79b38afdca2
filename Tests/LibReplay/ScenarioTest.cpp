#include "LibReplay/Scenario.h"

#include <doctest/doctest.h>

using namespace bergamothook;

namespace {

ScenarioRequest makeOrder(const std::string &Key) {
  ScenarioRequest Request;
  Request.Key = Key;
  Request.Body = "one rail set";
  return Request;
}

ScenarioRequest makeStream(const std::string &Key) {
  ScenarioRequest Request = makeOrder(Key);
  Request.Kind = RequestKind::Stream;
  return Request;
}

} // namespace

TEST_CASE("without faults an order runs once and a stream is complete") {
  Scenario Input;
  Input.Requests = {makeOrder("a"), makeStream("b")};
  ScenarioReport Report = runScenario(Input);
  CHECK(Report.Violations.empty());
  for (const auto &Request : Report.Requests) {
    REQUIRE(Request.Outcomes.size() == 1);
    CHECK(Request.Outcomes[0] == Outcome::Done);
    CHECK(Request.IsComplete);
    CHECK(Request.Runs == 1);
  }
}

TEST_CASE(
    "a hedged request avoids a slow engine, and only if hedging is allowed") {
  Scenario Input;
  Input.Requests = {makeStream("b")};
  ScenarioFault Slow;
  Slow.Kind = FaultKind::TargetSlow;
  Slow.Request = 0;
  Slow.At = Step::Connect;
  Input.Faults = {Slow};
  ScenarioReport Plain = runScenario(Input);
  Input.Requests[0].MayHedge = true;
  ScenarioReport Hedged = runScenario(Input);
  CHECK(Plain.EngineAttempts == 1);
  CHECK(Hedged.EngineAttempts == 2);
  CHECK(Hedged.Requests[0].IsComplete);
  CHECK(Hedged.Requests[0].ElapsedTime < Plain.Requests[0].ElapsedTime);
}

TEST_CASE("a request that may not be repeated is resumed but never restarted") {
  Scenario Input;
  Input.Requests = {makeStream("b")};
  Input.Requests[0].MayRepeat = false;
  Input.Requests[0].Attempts = 1;
  ScenarioFault Fault;
  Fault.Kind = FaultKind::TargetSilence;
  Fault.Request = 0;
  Fault.At = Step::MidStream;
  Input.Faults = {Fault};
  CHECK(runScenario(Input).Requests[0].Outcomes.back() == Outcome::Done);
  Input.Faults[0].Kind = FaultKind::TargetCrash;
  ScenarioReport Truncated = runScenario(Input);
  CHECK(Truncated.Requests[0].Outcomes.back() == Outcome::Unknown);
  CHECK(Truncated.Requests[0].Runs == 1);
}

TEST_CASE("a poison request crashes at most three engines, two from one host") {
  for (std::size_t Hosts : {1, 3}) {
    Scenario Input;
    Input.Hosts = Hosts;
    Input.Engines = 5;
    for (std::size_t Copy = 0; Copy < 4; ++Copy) {
      ScenarioRequest Bad = makeStream("bad" + std::to_string(Copy));
      Bad.IsPoison = true;
      Bad.Host = Copy;
      Bad.At = Milliseconds(Copy * 5000);
      Input.Requests.push_back(Bad);
      Input.Requests.push_back(makeStream("good" + std::to_string(Copy)));
      Input.Requests.back().Body = "neighbour " + std::to_string(Copy);
      Input.Requests.back().At = Bad.At;
    }
    ScenarioReport Report = runScenario(Input);
    CHECK(Report.Violations.empty());
    CHECK(Report.Crashes <= (Hosts == 1 ? 2 : 3));
    CHECK(Report.Crashes > 0);
    for (std::size_t Index = 1; Index < Input.Requests.size(); Index += 2)
      CHECK(Report.Requests[Index].IsComplete);
  }
}

TEST_CASE(
    "a partitioned host quarantines no content for the lost connections") {
  Scenario Input;
  for (std::size_t Index = 0; Index < 6; ++Index) {
    Input.Requests.push_back(makeStream("good" + std::to_string(Index)));
    Input.Requests.back().Body = "good " + std::to_string(Index);
    Input.Requests.back().At = Milliseconds(Index * 40);
  }
  ScenarioFault Partition;
  Partition.Kind = FaultKind::Partition;
  Partition.AtTime = Milliseconds(300);
  Input.Faults = {Partition};
  ScenarioReport Report = runScenario(Input);
  CHECK(Report.TruncatedResponses == 0);
}
