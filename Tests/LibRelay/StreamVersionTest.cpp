#include "RelayFixture.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

ScriptedResponse streamOf(int First, int Last, bool IsBroken) {
  ScriptedResponse Response;
  for (int Id = First; Id <= Last; ++Id)
    Response.Pieces.emplace_back(10ms,
                                 "id: " + std::to_string(Id) + "\ndata: x\n\n");
  if (IsBroken)
    Response.ConnectionError = NetError::Reset;
  return Response;
}

/// A relay with one target, of the first version, on a route with resumable
/// streams.
struct VersionRelay : RelayFixture {
  VersionRelay() {
    this->Route.IsResumable = true;
    this->configure();
    this->addTarget("old", "v1");
    for (int I = 0; I < 40; ++I)
      this->Dispatcher.resends().onRequest("engines", this->Simulated.now());
  }

  /// The caller resumes the stream that its attempt "call-1" began.
  RelayCall makeResumption() {
    RelayCall Call = this->makeCall();
    Call.Id = "call-2";
    Call.ResumedAttempt = "call-1";
    Call.ResumedAfter = "2";
    return Call;
  }
};

} // namespace

TEST_CASE("a stream of two versions: a host goes on at another version") {
  VersionRelay Relay;
  Relay.Responses = {streamOf(1, 2, true), streamOf(3, 4, false)};
  Relay.BeforeSend = [&](std::size_t) { Relay.addTarget("new", "v2"); };
  RelayOutcome Outcome = Relay.serve(Relay.makeCall());
  CHECK(Outcome.End == RelayEnd::Broken);
  CHECK(Relay.SentCalls.size() == 1);
  CHECK(Relay.IsBroken);
}

TEST_CASE("a stream of two versions: a caller takes it up at another version") {
  VersionRelay Relay;
  Relay.Responses = {streamOf(1, 2, true), streamOf(3, 4, false)};
  Relay.serve(Relay.makeCall());
  Relay.addTarget("new", "v2");
  Relay.removeTarget("old");
  RelayOutcome Outcome = Relay.serve(Relay.makeResumption());
  CHECK(Outcome.End == RelayEnd::NotRun);
  CHECK(Relay.Status == 503);
  CHECK(Relay.SentCalls.size() == 1);
}

TEST_CASE("a stream continues at another target of the version that began it") {
  VersionRelay Relay;
  Relay.addTarget("new", "v2");
  Relay.addTarget("old-2", "v1");
  Relay.removeTarget("new");
  Relay.Responses = {streamOf(1, 2, true), streamOf(3, 4, false)};
  Relay.BeforeSend = [&](std::size_t) { Relay.addTarget("new", "v2"); };
  CHECK(Relay.serve(Relay.makeCall()).End == RelayEnd::Done);
  CHECK(Relay.SentCalls.size() == 2);
  CHECK(Relay.SentCalls[1].Target != "new");
  CHECK(Relay.SentCalls[1].ResumeAfter == 2);

  Relay.Responses = {streamOf(3, 4, false)};
  CHECK(Relay.serve(Relay.makeResumption()).End == RelayEnd::Done);
  CHECK(Relay.SentCalls[2].Target != "new");
}

TEST_CASE("a stream that nobody knows is refused as not run while two versions "
          "serve, and continues while one does") {
  VersionRelay Relay;
  RelayCall Resumption = Relay.makeResumption();
  Relay.Responses = {streamOf(3, 4, false)};
  CHECK(Relay.serve(Resumption).End == RelayEnd::Done);
  Relay.addTarget("new", "v2");
  for (const auto &From :
       {std::optional<std::string>("made-up"),
        std::optional<std::string>("call-1"), std::optional<std::string>()}) {
    Resumption.ResumedAttempt = From;
    RelayOutcome Outcome = Relay.serve(Resumption);
    CHECK(Outcome.Reason == RelayReason::StreamVersionUnknown);
    CHECK(Outcome.End == RelayEnd::NotRun);
    CHECK(Relay.Status == 503);
  }
  CHECK(Relay.SentCalls.size() == 1);
}

TEST_CASE("a stream of another team is not found by its id") {
  VersionRelay Relay;
  Relay.addTarget("new", "v2");
  Relay.Responses = {streamOf(1, 2, true)};
  Relay.Route.MaxTargets = 1;
  Relay.configure();
  Relay.serve(Relay.makeCall());
  RelayTeam Other;
  Other.Name = "other";
  RelayCall Resumption = Relay.makeResumption();
  Resumption.Team = &Other;
  CHECK(Relay.serve(Resumption).Reason == RelayReason::StreamVersionUnknown);
}

TEST_CASE("no stream begins at a version before it is on record, and one that "
          "comes waits for that") {
  VersionRelay Relay;
  Relay.listTarget("new", "v2");
  Relay.removeTarget("old");
  Relay.Simulated.hooks().Spawn([&] {
    Relay.Simulated.hooks().sleepUntil(Relay.Simulated.now() + 300ms);
    Relay.addTarget("new", "v2");
  });
  Relay.Responses = {streamOf(1, 2, false)};
  TimePoint Begin = Relay.Simulated.now();
  CHECK(Relay.serve(Relay.makeCall()).End == RelayEnd::Done);
  CHECK(Relay.Simulated.now() - Begin >= 300ms);

  Relay.listTarget("newest", "v3");
  Relay.removeTarget("new");
  RelayOutcome Outcome = Relay.serve(Relay.makeCall());
  CHECK(Outcome.End == RelayEnd::NotRun);
  CHECK(Relay.SentCalls.size() == 1);
}

TEST_CASE("a stream whose target started again with another version does not "
          "continue") {
  VersionRelay Relay;
  Relay.addTarget("old-2", "v1");
  Relay.addTarget("new", "v2");
  Relay.Responses = {streamOf(1, 9, true), streamOf(10, 11, false)};
  std::string First;
  Relay.Simulated.hooks().Spawn([&] {
    Relay.Simulated.hooks().sleepUntil(Relay.Simulated.now() + 40ms);
    First = Relay.SentCalls.at(0).Target;
    Relay.addTarget(First, First == "new" ? "v1" : "v2");
  });
  CHECK(Relay.serve(Relay.makeCall()).End == RelayEnd::Broken);
  CHECK(Relay.SentCalls.size() == 1);
  CHECK(Relay.serve(Relay.makeResumption()).Reason ==
        RelayReason::StreamVersionUnknown);
}

TEST_CASE(
    "while versions are mixed, a stream does not continue at a target that "
    "was lost before that is listed again") {
  VersionRelay Relay;
  Relay.addTarget("new", "v2");
  Relay.removeTarget("new");
  // The only target of the version is lost twice, by two calls.
  Relay.Responses = {streamOf(1, 2, true), streamOf(3, 4, false)};
  CHECK(Relay.serve(Relay.makeCall()).End == RelayEnd::Broken);
  Relay.Simulated.hooks().Spawn([&] {
    Relay.Simulated.hooks().sleepUntil(Relay.Simulated.now() + 500ms);
    Relay.addTarget("old", "v1");
  });
  TimePoint Begin = Relay.Simulated.now();
  CHECK(Relay.serve(Relay.makeResumption()).End == RelayEnd::Done);
  CHECK(Relay.Simulated.now() - Begin >= 500ms);
}

TEST_CASE("a stream is resumed at the service where it began") {
  VersionRelay Relay;
  Relay.Route.Services = {{"engines", 1}, {"others", 1}};
  Relay.configure();
  Relay.addTarget("old", "v1");
  for (int I = 0; I < 20; ++I) {
    RelayCall First = Relay.makeCall();
    First.Id = "call-" + std::to_string(I);
    RelayCall Second = First;
    Second.Id = "resumption-" + std::to_string(I);
    Second.ResumedAttempt = First.Id;
    Relay.Responses = {streamOf(1, 2, false), streamOf(3, 4, false)};
    bool IsFirstServed = Relay.serve(First).End == RelayEnd::Done;
    bool IsSecondServed = Relay.serve(Second).End == RelayEnd::Done;
    CHECK(IsFirstServed == IsSecondServed);
  }
}

// Guards against a host that has just started and takes itself for the fleet.
TEST_CASE(
    "a host that does not know the other hosts yet does not conclude from "
    "their silence") {
  VirtualRuntime Simulated;
  Runtime Tasks = Simulated.hooks();
  HostRoster Roster({"host1", "domain", "", 1}, {});
  VersionRegister Versions({}, [](const std::string &) { return 0U; });
  Versions.setServices({"engines"});
  Versions.onRead({{"engines", {{"v1", VersionPhase::InUse}}}}, Tasks.Now());
  OriginExchange Origins(
      {}, Versions, Roster,
      {Tasks, Tasks.Now, [](HostId, std::uint16_t, std::string_view) {},
       [](std::uint16_t, PeerNode::Handler) {},
       []() -> Result<void> { return NetError::Closed; },
       [](unsigned) -> Result<void> { return NetError::Closed; }});
  Simulated.runFor(1s);
  auto Resolve = [&] {
    std::optional<OriginDecision> Decision;
    Tasks.Spawn([&] {
      TimePoint Now = Tasks.Now();
      Decision = Origins.resolve("engines", streamIdOf("t", "engines", "s"),
                                 Now, Now + 1s, [] { return false; });
    });
    Simulated.runUntil([&] { return Decision.has_value(); }, 2s);
    return Decision.value_or(OriginDecision{});
  };
  CHECK(Resolve().Basis == OriginBasis::Unknown);
  Roster.setSettled(Tasks.Now());
  CHECK(Resolve().Basis == OriginBasis::Fleet);
}

// Guards against streams that went on at a target which had started again with
// another version, while the list could not be read (review/2).
TEST_CASE("a stream goes on at a target only if that is the run in the list") {
  VersionRelay Relay;
  Relay.addTarget("second", "v1");
  ScriptedResponse Begun = streamOf(1, 2, true);
  ScriptedResponse Rest = streamOf(3, 4, false);
  RunCheck ForBegun = RunCheck::UnlessOther;
  RunCheck ForRest = RunCheck::OnlyListed;
  bool GoesOn = false;
  SUBCASE("the target says that it is another run") {
    Rest.Run = RunAnswer::Other;
  }
  SUBCASE("the targets can't say which run they are") {
    Begun.Run = RunAnswer::Unknown;
    Rest.Run = RunAnswer::Unknown;
  }
  SUBCASE("the target says that it is the run in the list") { GoesOn = true; }
  SUBCASE("the connections were open when the list was read") {
    Begun.ConnectedFor = 20s;
    Rest.ConnectedFor = 20s;
    Rest.Run = RunAnswer::Other;
    ForBegun = ForRest = RunCheck::None;
    GoesOn = true;
    Relay.Simulated.runFor(10s);
    Relay.addTarget("old", "v1");
    Relay.addTarget("second", "v1");
  }
  // The list can't be read.
  Relay.Simulated.runFor(2s);
  Relay.Responses = {Begun, Rest};
  RelayOutcome Outcome = Relay.serve(Relay.makeCall());
  REQUIRE(Relay.SentCalls.size() == 2);
  CHECK(Relay.SentCalls[0].Check == ForBegun);
  CHECK(Relay.SentCalls[1].Check == ForRest);
  CHECK(Relay.IsEnded == GoesOn);
  // Others may call the target.
  CHECK(Relay.Dispatcher.targets().find(Outcome.Target)->ConsecutiveFailures ==
        0);
}

TEST_CASE("a new stream begins at another target if the first one is not the "
          "run in the list") {
  VersionRelay Relay;
  Relay.addTarget("second", "v1");
  Relay.Simulated.runFor(2s);
  ScriptedResponse Other;
  Other.Run = RunAnswer::Other;
  Relay.Responses = {Other, streamOf(1, 2, false)};
  RelayOutcome Outcome = Relay.serve(Relay.makeCall());
  CHECK(Outcome.End == RelayEnd::Done);
  CHECK(Outcome.Sends == 1);
  CHECK(Relay.SentCalls.size() == 2);
}

TEST_CASE("targets are not asked for their run while the list shows it") {
  VersionRelay Relay;
  Relay.addTarget("second", "v1");
  Relay.Responses = {streamOf(1, 2, true), streamOf(3, 4, false)};
  SUBCASE("one version serves") {
    Relay.serve(Relay.makeCall());
    CHECK(Relay.SentCalls[1].Check == RunCheck::None);
  }
  SUBCASE("a stream is resumed while several versions serve") {
    Relay.addTarget("new", "v2");
    Relay.removeTarget("new");
    Relay.serve(Relay.makeCall());
    CHECK(Relay.SentCalls[1].Check == RunCheck::OnlyListed);
  }
  CHECK(Relay.SentCalls[0].Check == RunCheck::None);
  CHECK(Relay.IsEnded);
}

TEST_CASE("a caller is told at once if no target is the run in the list") {
  VersionRelay Relay;
  Relay.Responses = {streamOf(1, 2, true)};
  Relay.serve(Relay.makeCall());
  Relay.Simulated.runFor(2s);
  ScriptedResponse Other;
  Other.Run = RunAnswer::Other;
  Relay.Responses = {Other, Other};
  RelayOutcome Outcome = Relay.serve(Relay.makeResumption());
  CHECK(Outcome.End == RelayEnd::NotRun);
  CHECK(Relay.Status == 503);
  CHECK_FALSE(Relay.RetryAfter);
}
