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

  /// The caller takes up the stream that its attempt "call-1" began.
  RelayCall makeTakeUp() {
    RelayCall Call = this->makeCall();
    Call.Id = "call-2";
    Call.TakenUpFrom = "call-1";
    Call.TakenUpAfter = "2";
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
  RelayOutcome Outcome = Relay.serve(Relay.makeTakeUp());
  CHECK(Outcome.End == RelayEnd::NotRun);
  CHECK(Relay.Status == 503);
  CHECK(Relay.SentCalls.size() == 1);
}
