#include "LibRelay/FailureGate.h"
#include "RelayFixture.h"

#include <doctest/doctest.h>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint GateStart{1h};

FailureGate makeClosedGate(std::int64_t Amount) {
  FailureGate Gate;
  for (int I = 0; I < 3; ++I) {
    CHECK(Gate.enter("team", Amount, GateStart) == GateVerdict::Open);
    Gate.onFailure("team", Amount, GateStart);
  }
  return Gate;
}

} // namespace

TEST_CASE("after three failures one call at a time tries, and the others are "
          "refused; a success ends it") {
  FailureGate Gate = makeClosedGate(100);
  CHECK(Gate.enter("team", 100, GateStart) == GateVerdict::Probe);
  CHECK(Gate.enter("team", 100, GateStart) == GateVerdict::Closed);
  CHECK(Gate.enter("other", 100, GateStart) == GateVerdict::Open);
  Gate.onFailure("team", 100, GateStart + 600ms);
  CHECK(Gate.enter("team", 100, GateStart + 600ms) == GateVerdict::Probe);
  Gate.onAbandoned("team");
  CHECK(Gate.enter("team", 100, GateStart + 700ms) == GateVerdict::Probe);
  Gate.onSuccess("team", 100);
  CHECK(Gate.enter("team", 100, GateStart + 700ms) == GateVerdict::Open);
  CHECK(Gate.enter("team", 100, GateStart + 700ms) == GateVerdict::Open);
}

TEST_CASE("a success in between, or two quiet seconds, start the count anew") {
  FailureGate Gate;
  Gate.onFailure("team", 1, GateStart);
  Gate.onFailure("team", 1, GateStart);
  Gate.onSuccess("team", 1);
  Gate.onFailure("team", 1, GateStart);
  Gate.onFailure("team", 1, GateStart);
  CHECK(Gate.enter("team", 1, GateStart) == GateVerdict::Open);
  Gate.onFailure("team", 1, GateStart + 3s);
  CHECK(Gate.enter("team", 1, GateStart + 3s) == GateVerdict::Open);
  FailureGate Closed = makeClosedGate(1);
  CHECK(Closed.enter("team", 1, GateStart + 2s) == GateVerdict::Open);
}

TEST_CASE("what failed for a large amount says nothing on a smaller one") {
  FailureGate Gate = makeClosedGate(10'000);
  CHECK(Gate.enter("team", 500, GateStart) == GateVerdict::Open);
  Gate.onSuccess("team", 500);
  CHECK(Gate.enter("team", 10'000, GateStart) == GateVerdict::Probe);
  CHECK(Gate.enter("team", 12'000, GateStart) == GateVerdict::Closed);
}

TEST_CASE("a probe that never ends does not keep the gate closed") {
  FailureGate Gate = makeClosedGate(1);
  CHECK(Gate.enter("team", 1, GateStart + 1s) == GateVerdict::Probe);
  CHECK(Gate.enter("team", 1, GateStart + 2900ms) == GateVerdict::Closed);
  CHECK(Gate.enter("team", 1, GateStart + 3s) == GateVerdict::Open);
}

// Callers got the refusal "no target could be reached" after 2.5 to 3 s each,
// too late to return at another host.
TEST_CASE("targets that can't be reached: the fourth call is refused at once, "
          "and calls are served again after one that tried") {
  RelayFixture Relay;
  Relay.addTarget("a");
  Relay.configure();
  for (int I = 0; I < 3; ++I) {
    Relay.Responses = {{.IsUnreachable = true}};
    CHECK(Relay.serve(Relay.makeCall()).Reason ==
          RelayReason::TargetUnreachable);
  }
  bool IsReachable = false;
  RelayOutcome During;
  Relay.WhileConnecting = [&] {
    // A second call arrives while the first one tries.
    Relay.WhileConnecting = [] {};
    During = Relay.Dispatcher.serve(Relay.makeCall(), Relay.makeCaller());
    IsReachable = true;
  };
  Relay.Responses = {{.Pieces = {{1ms, "id: 1\ndata: x\n\n"}}}};
  RelayOutcome Tried = Relay.serve(Relay.makeCall());
  CHECK(IsReachable);
  CHECK(During.Reason == RelayReason::TargetUnreachable);
  CHECK(During.End == RelayEnd::NotRun);
  CHECK(During.Sends == 0);
  CHECK(Tried.End == RelayEnd::Done);
  Relay.Responses = {{.Pieces = {{1ms, "id: 1\ndata: x\n\n"}}}};
  CHECK(Relay.serve(Relay.makeCall()).End == RelayEnd::Done);
}
