#include "RelayFixture.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

std::string event(int Id, const std::string &Data = "x") {
  return "id: " + std::to_string(Id) + "\ndata: " + Data + "\n\n";
}

ScriptedResponse streamOf(const std::vector<std::string> &Events,
                          bool IsBroken) {
  ScriptedResponse Response;
  for (const std::string &Each : Events)
    Response.Pieces.emplace_back(10ms, Each);
  if (IsBroken)
    Response.ConnectionError = NetError::Reset;
  return Response;
}

/// A relay with resumable streams that three targets may continue.
struct ContinuedStream : RelayFixture {
  ContinuedStream() {
    this->Route.IsResumable = true;
    this->Route.MaxTargets = 3;
    this->configure();
    for (const char *Id : {"a", "b", "c"})
      this->addTarget(Id);
    for (int I = 0; I < 40; ++I)
      this->Dispatcher.resends().onRequest("engines", this->Simulated.now());
  }

  RelayOutcome runScript(const std::vector<ScriptedResponse> &Script) {
    this->Responses.assign(Script.begin(), Script.end());
    return this->serve(this->makeCall());
  }
};

} // namespace

TEST_CASE(
    "a stream goes on after the last event that its caller has, not after "
    "one for which there was no memory") {
  ContinuedStream Relay;
  const std::string TooLong =
      event(2, std::string(Relay.Memory->policy().MaxBytes / 4, 'x'));
  std::vector<ScriptedResponse> Script;
  std::optional<std::uint64_t> Expected;
  SUBCASE("the first events of a stream") {
    Script = {streamOf({event(1) + TooLong}, false),
              streamOf({event(1), event(2)}, false)};
  }
  SUBCASE("events of a stream that was resumed") {
    Script = {streamOf({event(1)}, true), streamOf({TooLong}, false),
              streamOf({event(2)}, false)};
    Expected = 1;
  }
  CHECK(Relay.runScript(Script).End == RelayEnd::Done);
  REQUIRE(Relay.SentCalls.size() == Script.size());
  CHECK(Relay.SentCalls.back().ResumeAfter == Expected);
  CHECK(Relay.Body == event(1) + event(2));
}

TEST_CASE(
    "a stream goes on after the last event that its caller has, not after "
    "one of a target that was listed anew with another version") {
  ContinuedStream Relay;
  Relay.addTarget("new", "v2");
  Relay.removeTarget("new");
  Relay.Simulated.hooks().Spawn([&] {
    Relay.Simulated.hooks().sleepUntil(Relay.Simulated.now() + 30ms);
    REQUIRE(Relay.SentCalls.size() == 2);
    Relay.addTarget(Relay.SentCalls[1].Target, "v2");
  });
  RelayOutcome Outcome =
      Relay.runScript({streamOf({event(1), event(2)}, true),
                       streamOf({event(3) + event(4), event(5)}, false),
                       streamOf({event(3), event(4), event(5)}, false)});
  CHECK(Outcome.End == RelayEnd::Done);
  REQUIRE(Relay.SentCalls.size() == 3);
  CHECK(Relay.SentCalls[2].ResumeAfter == 2);
  CHECK(Relay.Body == event(1) + event(2) + event(3) + event(4) + event(5));
}

TEST_CASE("a target whose events don't go on does not keep the next one from "
          "continuing the stream") {
  ContinuedStream Relay;
  RelayOutcome Outcome =
      Relay.runScript({streamOf({event(1)}, true), streamOf({event(3)}, false),
                       streamOf({event(2), event(3)}, false)});
  CHECK(Outcome.End == RelayEnd::Done);
  REQUIRE(Relay.SentCalls.size() == 3);
  CHECK(Relay.SentCalls[2].ResumeAfter == 1);
  CHECK(Relay.Body == event(1) + event(2) + event(3));
}

TEST_CASE(
    "a stream whose head or event may be written in part is not continued "
    "if memory runs out in between") {
  for (bool IsHead : {true, false}) {
    CAPTURE(IsHead);
    ContinuedStream Relay;
    Relay.Responses = {streamOf({event(1)}, false),
                       streamOf({event(1), event(2)}, false)};
    CallerHooks Caller = Relay.makeCaller();
    auto Fail = [] { throw std::bad_alloc(); };
    if (IsHead)
      Caller.BeginStream = [&](const HttpResponseHead &) -> Result<void> {
        Fail();
        return success();
      };
    else
      Caller.SendChunk = [&](std::string_view) -> Result<void> {
        Fail();
        return success();
      };
    RelayOutcome Outcome;
    bool IsDone = false;
    Relay.Simulated.hooks().Spawn([&] {
      Outcome = Relay.Dispatcher.serve(Relay.makeCall(), Caller);
      IsDone = true;
    });
    Relay.Simulated.runUntil([&] { return IsDone; }, 1min);
    CHECK(Outcome.End == RelayEnd::Broken);
    CHECK(Relay.IsBroken);
    CHECK(Relay.Body.empty());
    CHECK(Relay.SentCalls.size() == 1);
  }
}
