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
    REQUIRE(Request.Outcomes.size() == 1);
    CHECK(Request.Outcomes[0] == Outcome::Done);
    CHECK(Request.IsWhole);
    CHECK(Request.Runs == 1);
  }
}

TEST_CASE("a hedge spares the caller a slow engine, and only where allowed") {
  Scenario Played;
  Played.Requests = {streamNamed("b")};
  ScenarioFault Slow;
  Slow.Kind = FaultKind::TargetSlow;
  Slow.Request = 0;
  Slow.At = Step::Connect;
  Played.Faults = {Slow};
  ScenarioReport Plain = runScenario(Played);
  Played.Requests[0].MayHedge = true;
  ScenarioReport Hedged = runScenario(Played);
  CHECK(Plain.EngineAttempts == 1);
  CHECK(Hedged.EngineAttempts == 2);
  CHECK(Hedged.Requests[0].IsWhole);
  CHECK(Hedged.Requests[0].Took < Plain.Requests[0].Took);
}

TEST_CASE("a request that may not be repeated is resumed, never started anew") {
  Scenario Played;
  Played.Requests = {streamNamed("b")};
  Played.Requests[0].MayRepeat = false;
  Played.Requests[0].Attempts = 1;
  ScenarioFault Struck;
  Struck.Kind = FaultKind::TargetSilence;
  Struck.Request = 0;
  Struck.At = Step::MidStream;
  Played.Faults = {Struck};
  CHECK(runScenario(Played).Requests[0].Outcomes.back() == Outcome::Done);
  Played.Faults[0].Kind = FaultKind::TargetCrash;
  ScenarioReport Cut = runScenario(Played);
  CHECK(Cut.Requests[0].Outcomes.back() == Outcome::Unknown);
  CHECK(Cut.Requests[0].Runs == 1);
}

TEST_CASE("a content that crashes engines takes at most three, two by a host") {
  for (std::size_t Hosts : {1, 3}) {
    Scenario Played;
    Played.Hosts = Hosts;
    Played.Engines = 5;
    for (std::size_t Copy = 0; Copy < 4; ++Copy) {
      ScenarioRequest Bad = streamNamed("bad" + std::to_string(Copy));
      Bad.IsPoison = true;
      Bad.Host = Copy;
      Bad.At = Milliseconds(Copy * 5000);
      Played.Requests.push_back(Bad);
      Played.Requests.push_back(streamNamed("good" + std::to_string(Copy)));
      Played.Requests.back().Body = "neighbour " + std::to_string(Copy);
      Played.Requests.back().At = Bad.At;
    }
    ScenarioReport Report = runScenario(Played);
    CHECK(Report.Violations.empty());
    CHECK(Report.Crashes <= (Hosts == 1 ? 2 : 3));
    CHECK(Report.Crashes > 0);
    for (std::size_t At = 1; At < Played.Requests.size(); At += 2)
      CHECK(Report.Requests[At].IsWhole);
  }
}

TEST_CASE("a host that is cut off blames no content for it") {
  Scenario Played;
  for (std::size_t At = 0; At < 6; ++At) {
    Played.Requests.push_back(streamNamed("good" + std::to_string(At)));
    Played.Requests.back().Body = "good " + std::to_string(At);
    Played.Requests.back().At = Milliseconds(At * 40);
  }
  ScenarioFault Cut;
  Cut.Kind = FaultKind::Partition;
  Cut.AtTime = Milliseconds(300);
  Played.Faults = {Cut};
  ScenarioReport Report = runScenario(Played);
  CHECK(Report.TruncatedResponses == 0);
}
